// Package transfer streams the bodies of one exchange: the request body from the client to the current
// attempt, and the response body from the server to the client. Packages accept and forward read and write
// through it. Package flow decides how much memory may be used and which side is too slow.
package transfer

import (
	"errors"
	"sync"

	"dunespoke/internal/flow"
)

// Sink is an attempt that receives a request body. Its methods may block. They are called by one goroutine at
// a time, except for Cut, which may be called concurrently.
type Sink interface {
	Write(piece []byte) error
	Commit()                    // from now on no other attempt can get the body
	Close(trailer []byte) error // the body is complete
	Cut()                       // the body is truncated
}

// Upload is a request body that is being streamed. The client's side writes it while it is received. Attempts
// attach to it one after the other, and each gets it from its beginning, as long as everything that was sent
// is still buffered.
type Upload struct {
	length      int64
	replayLimit int            // maximum number of bytes that are buffered for retries
	reservation *flow.Transfer // that these bytes are reserved from; nil: they are not counted

	mu         sync.Mutex
	changed    sync.Cond
	sink       Sink
	replaying  bool  // Attach is writing the buffered bytes to the sink
	pos        int64 // bytes of the body passed to the sink
	received   int64 // bytes received from the client, except for the current piece
	buffered   []byte
	blocks     [][]byte // buffered part of a stored body, in place of buffered
	stored     int      // bytes in blocks
	store      *flow.Store
	replayable bool // everything that was sent is still buffered
	ended      bool // the client has sent the whole body
	closed     bool // no attempt will read the body any more
	trailer    []byte
}

// Errors of Attach, Wait and Write.
var (
	ErrUnreplayable = errors.New("part of the body was sent and is not buffered")
	ErrAttached     = errors.New("another attempt is attached to the body")
	ErrClosed       = errors.New("the body is not needed any more")
)

// Buffered returns the upload of a body that was completely received.
func Buffered(body []byte) *Upload {
	u := &Upload{length: int64(len(body)), buffered: body, replayable: true, ended: true}
	u.changed.L = &u.mu
	return u
}

// Streaming returns the upload of a body that is not received yet. A length of -1 means unknown. Up to replay
// bytes are buffered for retries and counted in reservation, which may be nil.
func Streaming(length int64, reservation *flow.Transfer, replay int) *Upload {
	u := &Upload{length: length, reservation: reservation, replayLimit: replay, replayable: true}
	u.changed.L = &u.mu
	return u
}

// Stored returns the upload of a body that is buffered in a store before any attempt gets it, as long as the
// store has capacity.
func Stored(store *flow.Store) *Upload {
	u := Streaming(0, nil, 0)
	u.store = store
	return u
}

// storeBlock is the size in bytes of the memory blocks of stored bodies.
const storeBlock = 32 << 10

// Store adds a piece to a stored body. If the store has no capacity for it or the upload is closed, it adds
// nothing and reports false.
func (u *Upload) Store(piece []byte) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return false
	}
	have := len(u.blocks) * storeBlock
	if need := u.stored + len(piece) - have; need > 0 {
		blocks := (need + storeBlock - 1) / storeBlock
		if !u.store.Reserve(have, blocks*storeBlock) {
			return false
		}
		for range blocks {
			u.blocks = append(u.blocks, (*getBuffer(storeBlock))[:0])
		}
	}
	for i := u.stored / storeBlock; len(piece) > 0; i++ {
		n := min(len(piece), storeBlock-len(u.blocks[i]))
		u.blocks[i] = append(u.blocks[i], piece[:n]...)
		piece = piece[n:]
		u.stored += n
	}
	u.length, u.received = int64(u.stored), int64(u.stored)
	return true
}

// StreamRest says that the store has no capacity for the rest of a stored body: the rest is streamed after
// the stored part. length is that of the whole body, or -1 if it is unknown.
func (u *Upload) StreamRest(length int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.length = length
}

// Length returns the length of the body, or -1 if it is unknown.
func (u *Upload) Length() int64 { return u.length }

// Bytes returns the whole body. ok is false if it is not completely received and in one buffer, or has a
// trailer.
func (u *Upload) Bytes() (body []byte, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.buffered, u.ended && u.replayable && len(u.trailer) == 0 && u.blocks == nil
}

// Ended reports whether the client has sent the whole body.
func (u *Upload) Ended() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ended
}

// Unreplayable reports whether no further attempt can get the whole body.
func (u *Upload) Unreplayable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.replayable
}

// Attach starts to send the body to an attempt whose head was written. The part that was received is written
// before Attach returns, the rest when it is received.
func (u *Upload) Attach(s Sink) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.replaying { // with an attempt that was aborted
		u.changed.Wait()
	}
	switch {
	case !u.replayable:
		return ErrUnreplayable
	case u.closed:
		return ErrClosed
	case u.sink != nil:
		return ErrAttached
	}
	u.sink, u.replaying, u.pos = s, true, int64(len(u.buffered)+u.stored)
	ended, blocks := u.ended, u.blocks
	err := u.write(s, u.buffered)
	for i := 0; i < len(blocks) && err == nil; i++ {
		err = u.write(s, blocks[i])
	}
	if err == nil && ended {
		err = u.finish(s)
	}
	u.replaying = false
	if u.closed {
		u.releaseMemory()
	}
	if err != nil && u.sink == s {
		u.sink = nil
	}
	u.changed.Broadcast()
	return err
}

// Detach stops sending the body to an attempt, if it is attached.
func (u *Upload) Detach(s Sink) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sink == s {
		u.sink = nil
	}
}

// Close records that the request has its final response, so that no attempt needs the body any more, and
// releases the buffered bytes, unless an attempt may still be reading them.
func (u *Upload) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	if u.sink == nil || !u.ended || u.store != nil && !u.replaying {
		u.releaseMemory()
	}
	u.changed.Broadcast()
}

// Wait waits until an attempt is attached and has got the buffered part of the body. It returns an error if
// no attempt will attach.
func (u *Upload) Wait() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.waitForSink()
}

// waitForSink waits for a sink that has got the buffered bytes. It must be called with mu held.
func (u *Upload) waitForSink() error {
	for (u.sink == nil || u.replaying) && !u.closed && u.replayable {
		u.changed.Wait()
	}
	switch {
	case u.closed:
		return ErrClosed
	case u.sink == nil:
		return ErrUnreplayable
	}
	return nil
}

// Write passes on a piece of the body. If the attempt fails, it waits for another one, which gets the body
// from its beginning. An error means that no attempt will accept more.
func (u *Upload) Write(piece []byte) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	kept := u.keepForReplay(piece)
	for {
		if err := u.waitForSink(); err != nil {
			return err
		}
		s := u.sink
		if !kept && u.replayable {
			u.replayable = false
			u.mu.Unlock()
			s.Commit()
			u.mu.Lock()
		}
		err := error(nil)
		if u.pos == u.received { // else the piece was buffered when the sink attached, and written then
			u.pos += int64(len(piece))
			err = u.write(s, piece)
		}
		if err == nil {
			u.received += int64(len(piece))
			if !u.replayable {
				u.releaseMemory()
			}
			return nil
		}
		if u.sink == s {
			u.sink = nil
		}
	}
}

// End records that the client has sent the whole body, and its trailer lines.
func (u *Upload) End(trailer []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.replaying {
		u.changed.Wait()
	}
	u.trailer, u.ended = trailer, true // from now on Attach also finishes the sink
	if s := u.sink; s != nil && !u.closed && u.finish(s) != nil && u.sink == s {
		u.sink = nil
	}
}

// Abort records that the client will never send the whole body, unless it has. The attached attempt is cut.
func (u *Upload) Abort() {
	u.mu.Lock()
	if u.ended {
		u.mu.Unlock()
		return
	}
	s := u.sink
	u.replayable, u.sink = false, nil
	u.releaseMemory()
	u.changed.Broadcast()
	u.mu.Unlock()
	if s != nil {
		s.Cut()
	}
}

// write writes a piece to a sink. It must be called with mu held, and releases mu while it writes.
func (u *Upload) write(s Sink, piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	u.mu.Unlock()
	err := s.Write(piece)
	u.mu.Lock()
	return err
}

// finish closes a sink at the end of the body. It must be called with mu held, and releases mu meanwhile.
func (u *Upload) finish(s Sink) error {
	trailer := u.trailer
	u.mu.Unlock()
	err := s.Close(trailer)
	u.mu.Lock()
	return err
}

// keepForReplay buffers a piece for retries. It reports false if the limit or the memory does not allow that,
// or an earlier piece is no longer buffered. It must be called with mu held.
func (u *Upload) keepForReplay(piece []byte) bool {
	if !u.replayable || len(u.buffered)+len(piece) > u.replayLimit {
		return false
	}
	if u.reservation != nil {
		if n := u.reservation.Reserve(flow.Up, len(piece)); n < len(piece) {
			u.reservation.Release(flow.Up, n)
			return false
		}
	}
	u.buffered = append(u.buffered, piece...)
	return true
}

// releaseMemory releases the buffered bytes. It must be called with mu held.
func (u *Upload) releaseMemory() {
	if u.store != nil && !u.replaying { // else Attach does it when it has written the blocks
		for _, b := range u.blocks {
			b = b[:storeBlock]
			putBuffer(&b)
		}
		u.store.Release(len(u.blocks) * storeBlock)
		u.blocks = nil
	}
	if u.reservation != nil && len(u.buffered) > 0 {
		u.reservation.Release(flow.Up, len(u.buffered))
	}
	u.buffered = nil
}
