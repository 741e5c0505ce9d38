// Package transfer moves the bodies of one exchange: a request's from the client to whichever attempt takes
// it, and an answer's from the server to the client. Both sides' drivers read and write by it; how much may
// be held, and who is too slow, package flow decides.
package transfer

import (
	"errors"
	"sync"

	"dunespoke/internal/flow"
)

// Sink is an attempt that takes a request's body. Its methods block, and are called by one goroutine at a
// time, Cut by any.
type Sink interface {
	Write(piece []byte) error
	Commit()                    // no other attempt can have the body from here on
	Close(trailer []byte) error // the body is whole
	Cut()                       // it never will be
}

// Upload is a request's body on its way. The client's side writes it, as it comes; attempts take it, one
// after the other, each from its beginning, as long as all that has left is still held.
type Upload struct {
	length int64
	replay int            // bytes that may be held
	room   *flow.Transfer // that they are taken from; nil: they are not counted

	mu      sync.Mutex
	changed sync.Cond
	sink    Sink
	busy    bool  // the sink is getting what is held
	pos     int64 // how much of the body the sink has got
	come    int64 // and how much the client has sent, but for the piece at hand
	held    []byte
	blocks  [][]byte // what is held of a stored body, in the place of held
	stored  int
	store   *flow.Store
	whole   bool // nothing has left that is not held
	ended   bool // the client has sent all of it
	over    bool // nobody takes it any more
	trailer []byte
}

// What may keep an attempt from a body, or a client from sending one.
var (
	ErrLost  = errors.New("part of the body has left and is not held")
	ErrTaken = errors.New("another attempt takes the body")
	ErrOver  = errors.New("nobody takes the body")
)

// Buffered returns the upload of a body that has come already.
func Buffered(body []byte) *Upload {
	u := &Upload{length: int64(len(body)), held: body, whole: true, ended: true}
	u.changed.L = &u.mu
	return u
}

// Streaming returns the upload of a body that is yet to come, of a length or of -1. Up to replay bytes of it are
// held to be sent again, out of the room.
func Streaming(length int64, room *flow.Transfer, replay int) *Upload {
	u := &Upload{length: length, room: room, replay: replay, whole: true}
	u.changed.L = &u.mu
	return u
}

// Stored returns the upload of a body that is held in a store, as long as that has room, before any attempt
// takes it.
func Stored(store *flow.Store) *Upload {
	u := Streaming(0, nil, 0)
	u.store = store
	return u
}

// storeBlock is the size of the pieces of memory that stored bodies are held in.
const storeBlock = 32 << 10

// Store holds more of a stored body. It reports false if there is no room: then nothing is kept of the piece.
func (u *Upload) Store(piece []byte) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.over {
		return false
	}
	have := len(u.blocks) * storeBlock
	if need := u.stored + len(piece) - have; need > 0 {
		blocks := (need + storeBlock - 1) / storeBlock
		if !u.store.Reserve(have, blocks*storeBlock) {
			return false
		}
		for range blocks {
			u.blocks = append(u.blocks, (*buffer(storeBlock))[:0])
		}
	}
	for i := u.stored / storeBlock; len(piece) > 0; i++ {
		n := min(len(piece), storeBlock-len(u.blocks[i]))
		u.blocks[i] = append(u.blocks[i], piece[:n]...)
		piece = piece[n:]
		u.stored += n
	}
	u.length, u.come = int64(u.stored), int64(u.stored)
	return true
}

// Flow makes a stored body, for the rest of which there was no room, one that flows: what is held goes first.
// The length is that of all of it; -1: not told.
func (u *Upload) Flow(length int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.length = length
}

// Length tells how long the body is; -1: not known before its end.
func (u *Upload) Length() int64 { return u.length }

// Held returns all of the body if it has come and is held.
func (u *Upload) Held() (body []byte, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.held, u.ended && u.whole && len(u.trailer) == 0 && u.blocks == nil
}

// Ended reports whether the client has sent all of it.
func (u *Upload) Ended() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ended
}

// Lost reports whether no further attempt can have all of it.
func (u *Upload) Lost() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.whole
}

// Attach gives the body to an attempt, which has written its head. What has come is written before it
// returns; the rest as it comes.
func (u *Upload) Attach(s Sink) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.busy { // with one that has been given up
		u.changed.Wait()
	}
	switch {
	case !u.whole:
		return ErrLost
	case u.over:
		return ErrOver
	case u.sink != nil:
		return ErrTaken
	}
	u.sink, u.busy, u.pos = s, true, int64(len(u.held)+u.stored)
	ended, blocks := u.ended, u.blocks
	err := u.write(s, u.held)
	for i := 0; i < len(blocks) && err == nil; i++ {
		err = u.write(s, blocks[i])
	}
	if err == nil && ended {
		err = u.finish(s)
	}
	u.busy = false
	if u.over {
		u.letGo()
	}
	if err != nil && u.sink == s {
		u.sink = nil
	}
	u.changed.Broadcast()
	return err
}

// Detach tells that an attempt takes nothing any more.
func (u *Upload) Detach(s Sink) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sink == s {
		u.sink = nil
	}
}

// Over tells that the request has its final answer.
func (u *Upload) Over() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.over = true
	if u.sink == nil || !u.ended || u.store != nil && !u.busy {
		u.letGo()
	}
	u.changed.Broadcast()
}

// Wait returns once an attempt takes the body, or nobody will.
func (u *Upload) Wait() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.wait()
}

// wait waits for a sink that has got what is held. The lock is held.
func (u *Upload) wait() error {
	for (u.sink == nil || u.busy) && !u.over && u.whole {
		u.changed.Wait()
	}
	switch {
	case u.over:
		return ErrOver
	case u.sink == nil:
		return ErrLost
	}
	return nil
}

// Write passes on a piece. If the attempt breaks, it waits for another, which gets all from the beginning.
// An error says that nobody will take more.
func (u *Upload) Write(piece []byte) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	kept := u.hold(piece)
	for {
		if err := u.wait(); err != nil {
			return err
		}
		s := u.sink
		if !kept && u.whole {
			u.whole = false
			u.mu.Unlock()
			s.Commit()
			u.mu.Lock()
		}
		err := error(nil)
		if u.pos == u.come { // else it was held already when the sink came
			u.pos += int64(len(piece))
			err = u.write(s, piece)
		}
		if err == nil {
			u.come += int64(len(piece))
			if !u.whole {
				u.letGo()
			}
			return nil
		}
		if u.sink == s {
			u.sink = nil
		}
	}
}

// End tells that the client has sent all, with the lines of a trailer.
func (u *Upload) End(trailer []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.busy {
		u.changed.Wait()
	}
	u.trailer, u.ended = trailer, true // from here on a sink that comes gets all by itself
	if s := u.sink; s != nil && !u.over && u.finish(s) != nil && u.sink == s {
		u.sink = nil
	}
}

// Break tells that the client will never send all of it.
func (u *Upload) Break() {
	u.mu.Lock()
	if u.ended {
		u.mu.Unlock()
		return
	}
	s := u.sink
	u.whole, u.sink = false, nil
	u.letGo()
	u.changed.Broadcast()
	u.mu.Unlock()
	if s != nil {
		s.Cut()
	}
}

// write hands a piece to a sink, without the lock, which is held before and after.
func (u *Upload) write(s Sink, piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	u.mu.Unlock()
	err := s.Write(piece)
	u.mu.Lock()
	return err
}

// finish tells a sink of the end. The lock is held, but for the writing.
func (u *Upload) finish(s Sink) error {
	trailer := u.trailer
	u.mu.Unlock()
	err := s.Close(trailer)
	u.mu.Lock()
	return err
}

// hold keeps a piece to be sent again, if that is allowed and there is room. The lock is held.
func (u *Upload) hold(piece []byte) bool {
	if !u.whole || len(u.held)+len(piece) > u.replay {
		return false
	}
	if u.room != nil {
		if n := u.room.Reserve(flow.Up, len(piece)); n < len(piece) {
			u.room.Release(flow.Up, n)
			return false
		}
	}
	u.held = append(u.held, piece...)
	return true
}

// letGo gives back what is held. The lock is held.
func (u *Upload) letGo() {
	if u.store != nil && !u.busy { // else the writer of what is held does it
		for _, b := range u.blocks {
			b = b[:storeBlock]
			release(&b)
		}
		u.store.Release(len(u.blocks) * storeBlock)
		u.blocks = nil
	}
	if u.room != nil && len(u.held) > 0 {
		u.room.Release(flow.Up, len(u.held))
	}
	u.held = nil
}
