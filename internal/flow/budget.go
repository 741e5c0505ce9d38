// Package flow limits how much of a long body may be in memory at a time, how many long transfers may be
// open, and how slow each side of a transfer may be. It has no clock and does no I/O: callers pass the time,
// reserve memory before they read, and report what they have read and written.
//
// A Budget bounds the memory of all transfers. Each admitted transfer is guaranteed a minimum window in both
// directions, so that none can starve; beyond that, windows come out of the free part of the budget and
// shrink as it runs short. Reads stop while a window is full, so the slower side sets the pace, and memory
// use does not grow with the length of a body.
package flow

import (
	"errors"
	"math"
	"sync"
	"time"
)

// Direction is one of the two directions of a transfer.
type Direction int

// The directions.
const (
	Up   Direction = iota // from the client
	Down                  // to the client
	directions
)

// Options are the limits of a Budget, in bytes.
type Options struct {
	Bytes     int // of all transfers together
	Window    int // maximum for one direction of one transfer
	MinWindow int // guaranteed for each direction; with Bytes, it limits the number of transfers
}

// Errors of Options.Validate. They use the names of the settings.
var (
	errWindow = errors.New("flow: want 0 < least <= window")
	errBytes  = errors.New("flow: bytes must be at least twice least, for one transfer")
)

// Validate returns an error for the first option that is invalid.
func (o Options) Validate() error {
	switch {
	case o.MinWindow <= 0 || o.Window < o.MinWindow || o.Window > math.MaxInt32:
		return errWindow
	case o.Bytes < int(directions)*o.MinWindow:
		return errBytes
	}
	return nil
}

// MaxTransfers returns the maximum number of open transfers.
func (o Options) MaxTransfers() int { return o.Bytes / (int(directions) * o.MinWindow) }

// shrinkThreshold is the used fraction of the budget above which windows shrink.
const shrinkThreshold = 0.8

// endIntervalWeight is the weight of the newest interval in the moving average of the intervals at which
// transfers end.
const endIntervalWeight = 0.2

// Budget is the memory of all transfers. It is safe for concurrent use.
type Budget struct {
	options Options

	mu          sync.Mutex
	open        int           // transfers
	extra       int           // bytes reserved beyond the minimum windows
	lastEnd     time.Duration // when the last transfer ended
	endInterval time.Duration // moving average between ends of transfers; 0 until two have ended
}

// NewBudget returns a budget with nothing reserved. The options must be valid.
func NewBudget(o Options) *Budget { return &Budget{options: o} }

// Transfer is an admitted transfer.
type Transfer struct {
	budget   *Budget
	reserved [directions]int // bytes; guarded by budget.mu
	closed   bool
}

// Admit opens a transfer. If the budget does not allow another one, it returns nil and how long to wait
// before the next try: at the limit of transfers, the recent interval between ends of transfers, and at least
// a second.
func (b *Budget) Admit(now time.Duration) (t *Transfer, retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= b.options.MaxTransfers() {
		return nil, max(b.endInterval, time.Second)
	}
	// What other transfers have reserved beyond their minimum is never revoked: a new transfer has to wait
	// until those bytes are written and released.
	if b.extra > b.options.Bytes-(b.open+1)*int(directions)*b.options.MinWindow {
		return nil, time.Second
	}
	b.open++
	return &Transfer{budget: b}, 0
}

// Reserved returns the number of bytes in use, counting the minimum windows of open transfers in full.
func (b *Budget) Reserved() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open*int(directions)*b.options.MinWindow + b.extra
}

// Open returns the number of open transfers.
func (b *Budget) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// window returns the current limit of one direction: the full window while less than shrinkThreshold of the
// budget is used, then linearly less, down to the minimum window when all of it is used. It must be called
// with mu held.
func (b *Budget) window() int {
	used := float64(b.open*int(directions)*b.options.MinWindow+b.extra) / float64(b.options.Bytes)
	share := min(1, max(0, (1-used)/(1-shrinkThreshold)))
	return b.options.MinWindow + int(share*float64(b.options.Window-b.options.MinWindow))
}

// Reserve reserves memory for up to want bytes that are about to be read, and returns for how many it did. If
// that is 0, the caller must not read before some bytes have been released.
func (t *Transfer) Reserve(d Direction, want int) int {
	b := t.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.closed {
		return 0
	}
	n := max(0, min(want, b.window()-t.reserved[d]))
	// What exceeds the minimum window comes out of the part of the budget that all transfers share.
	free := b.options.Bytes - b.open*int(directions)*b.options.MinWindow - b.extra
	guaranteed := max(0, b.options.MinWindow-t.reserved[d])
	if excess := n - guaranteed; excess > 0 {
		excess = min(excess, max(0, free))
		n = guaranteed + excess
		b.extra += excess
	}
	t.reserved[d] += n
	return n
}

// Release returns n reserved bytes that were written, or not read after all.
func (t *Transfer) Release(d Direction, n int) {
	b := t.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !t.closed {
		t.release(d, n)
	}
}

// release is Release with budget.mu held.
func (t *Transfer) release(d Direction, n int) {
	n = min(n, t.reserved[d])
	excess := max(0, t.reserved[d]-t.budget.options.MinWindow)
	t.budget.extra -= min(excess, n)
	t.reserved[d] -= n
}

// Close ends a transfer and releases all that it has reserved. Calls after the first do nothing.
func (t *Transfer) Close(now time.Duration) {
	b := t.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.closed {
		return
	}
	for d := range directions {
		t.release(d, t.reserved[d])
	}
	t.closed = true
	b.open--
	if b.lastEnd > 0 && now > b.lastEnd {
		if b.endInterval == 0 {
			b.endInterval = now - b.lastEnd
		}
		b.endInterval += time.Duration(endIntervalWeight * float64(now-b.lastEnd-b.endInterval))
	}
	b.lastEnd = now
}
