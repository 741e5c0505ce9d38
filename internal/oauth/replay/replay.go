// Package replay detects repeated use of IDs that may be used only once, such as the "jti" of an assertion,
// within bounded memory. It reads no clock and does no I/O.
package replay

import (
	"container/heap"
	"crypto/sha256"
	"time"
)

// Verdict is the result of Memory.Show.
type Verdict int

// Results of Memory.Show.
const (
	Unseen Verdict = iota // not seen before; it is now recorded
	Seen                  // seen before
	Full                  // not recorded for lack of capacity; it must not be accepted
)

// Memory records IDs until they expire. When full it accepts no new ID, since evicting one that has not
// expired would allow its replay. As a client can fill a Memory, each client needs its own, so that it can't
// lock out others. It is not safe for concurrent use.
type Memory struct {
	capacity   int
	seen       map[key]struct{}
	expiryHeap expiryHeap
}

type key [16]byte // truncated SHA-256: accidental collisions are negligible, and deliberate ones gain nothing

// New returns a Memory for at most the given number of unexpired IDs.
func New(capacity int) *Memory { return &Memory{capacity: capacity, seen: map[key]struct{}{}} }

// Show reports whether an unexpired id was seen before, and otherwise records it until expires if there is
// capacity.
func (m *Memory) Show(now time.Duration, id string, expires time.Duration) Verdict {
	for len(m.expiryHeap) > 0 && m.expiryHeap[0].expiresAt <= now {
		delete(m.seen, heap.Pop(&m.expiryHeap).(expiry).key)
	}
	sum := sha256.Sum256([]byte(id))
	k := key(sum[:16])
	if _, ok := m.seen[k]; ok {
		return Seen
	}
	if len(m.seen) >= m.capacity {
		return Full
	}
	m.seen[k] = struct{}{}
	heap.Push(&m.expiryHeap, expiry{k, expires})
	return Unseen
}

// Len returns the number of recorded IDs.
func (m *Memory) Len() int { return len(m.seen) }

type expiry struct {
	key       key
	expiresAt time.Duration
}

// expiryHeap is a heap of the recorded IDs with the earliest expiry at the top.
type expiryHeap []expiry

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].expiresAt < e[j].expiresAt }
func (e expiryHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *expiryHeap) Push(x any)        { *e = append(*e, x.(expiry)) }

func (e *expiryHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
