// Package flow decides how much of a long body may be held at a time, how many long transfers there may be,
// and which side of one is too slow. It knows neither clock nor wire: whoever moves the bytes asks before it
// reads, and tells what it read and wrote.
//
// A Budget bounds the memory of all transfers. Each that is admitted is sure of a least window in both
// directions, so that none can be starved into standing still; beyond that, windows come out of what is
// free, and shrink as that gets short. Reads stop while a window is full, and so the slower side sets the
// pace: nothing grows with the length of a body.
package flow

import (
	"errors"
	"math"
	"sync"
	"time"
)

// Direction is one of the two that a transfer has.
type Direction int

// The directions.
const (
	Up   Direction = iota // from the client
	Down                  // to the client
	directions
)

// Options bound a budget, in bytes.
type Options struct {
	Bytes     int // for all transfers
	Window    int // of one direction of one transfer, at most
	MinWindow int // and at least: with Bytes, it says how many transfers there may be
}

// What may be wrong with options.
var (
	errWindow = errors.New("flow: want 0 < least <= window")
	errBytes  = errors.New("flow: the bytes don't hold one transfer")
)

// Validate names the first option that makes no sense.
func (o Options) Validate() error {
	switch {
	case o.MinWindow <= 0 || o.Window < o.MinWindow || o.Window > math.MaxInt32:
		return errWindow
	case o.Bytes < int(directions)*o.MinWindow:
		return errBytes
	}
	return nil
}

// MaxTransfers is how many transfers there may be at a time.
func (o Options) MaxTransfers() int { return o.Bytes / (int(directions) * o.MinWindow) }

// pressed is the part of the budget from which windows shrink.
const pressed = 0.8

// endsW is the weight of one ended transfer in the mean distance between ends.
const endsW = 0.2

// Budget is the memory of all transfers. It is safe for concurrent use.
type Budget struct {
	set Options

	mu    sync.Mutex
	open  int           // transfers
	extra int           // bytes held beyond the least windows
	ended time.Duration // when the last one ended
	every time.Duration // smoothed distance between ends; 0: none has ended
}

// NewBudget returns a budget of which nothing is held. The options must be valid.
func NewBudget(o Options) *Budget { return &Budget{set: o} }

// Transfer is one that was admitted.
type Transfer struct {
	budget *Budget
	held   [directions]int // guarded by the budget's lock
	closed bool
}

// Admit lets a transfer begin, or says when to come back: after so long another one will have ended, by how
// they ended of late.
func (b *Budget) Admit(now time.Duration) (t *Transfer, after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= b.set.MaxTransfers() {
		return nil, max(b.every, time.Second)
	}
	// What others hold beyond their least is never taken back: a new one has to wait until it is written.
	if b.extra > b.set.Bytes-(b.open+1)*int(directions)*b.set.MinWindow {
		return nil, time.Second
	}
	b.open++
	return &Transfer{budget: b}, 0
}

// Reserved tells how many bytes may be held at present, least windows counted whole.
func (b *Budget) Reserved() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open*int(directions)*b.set.MinWindow + b.extra
}

// Open tells how many transfers there are.
func (b *Budget) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// window is what one direction may hold now: all of it while there is plenty, and less and less, down to the
// least, as the budget gets short. The lock is held.
func (b *Budget) window() int {
	used := float64(b.open*int(directions)*b.set.MinWindow+b.extra) / float64(b.set.Bytes)
	part := min(1, max(0, (1-used)/(1-pressed)))
	return b.set.MinWindow + int(part*float64(b.set.Window-b.set.MinWindow))
}

// Reserve reserves room for up to so many bytes that are about to be read, and returns for how many. 0 means to
// read nothing before some were given back.
func (t *Transfer) Reserve(d Direction, want int) int {
	b := t.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.closed {
		return 0
	}
	n := max(0, min(want, b.window()-t.held[d]))
	// What goes beyond the least window comes out of what is free of all.
	free := b.set.Bytes - b.open*int(directions)*b.set.MinWindow - b.extra
	sure := max(0, b.set.MinWindow-t.held[d])
	if over := n - sure; over > 0 {
		over = min(over, max(0, free))
		n = sure + over
		b.extra += over
	}
	t.held[d] += n
	return n
}

// Release returns room that was taken: of bytes that were written, or not read after all.
func (t *Transfer) Release(d Direction, n int) {
	b := t.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !t.closed {
		t.give(d, n)
	}
}

func (t *Transfer) give(d Direction, n int) {
	n = min(n, t.held[d])
	over := max(0, t.held[d]-t.budget.set.MinWindow)
	t.budget.extra -= min(over, n)
	t.held[d] -= n
}

// Close ends a transfer and returns all that it holds. Only the first call counts.
func (t *Transfer) Close(now time.Duration) {
	b := t.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.closed {
		return
	}
	for d := range directions {
		t.give(d, t.held[d])
	}
	t.closed = true
	b.open--
	if b.ended > 0 && now > b.ended {
		if b.every == 0 {
			b.every = now - b.ended
		}
		b.every += time.Duration(endsW * float64(now-b.ended-b.every))
	}
	b.ended = now
}
