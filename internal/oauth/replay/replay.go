// Package replay remembers what must be used only once, such as the jti of an assertion, within bounded
// memory. It knows no clock and no wire.
package replay

import (
	"container/heap"
	"crypto/sha256"
	"time"
)

// Verdict is what a Memory says of something that is shown to it.
type Verdict int

// The verdicts.
const (
	Unseen Verdict = iota // not seen before; it is remembered now
	Seen                  // shown before
	Full                  // nothing more can be remembered before something ends: it must not be accepted
)

// Memory remembers what was shown until its end. When it is full it accepts nothing new, since to forget
// something that could still be shown again would open the door to it. So whoever can fill a memory must have
// one of its own: give each client one. It is not safe for concurrent use.
type Memory struct {
	most int
	seen map[key]struct{}
	ends ends
}

type key [16]byte // of SHA-256: chance can't make two the same, and nobody gains by making them so

// New returns a memory for at most so many at a time.
func New(most int) *Memory { return &Memory{most: most, seen: map[key]struct{}{}} }

// Show asks whether something was shown before, and remembers it until its end.
func (m *Memory) Show(now time.Duration, what string, end time.Duration) Verdict {
	for len(m.ends) > 0 && m.ends[0].at <= now {
		delete(m.seen, heap.Pop(&m.ends).(ending).key)
	}
	sum := sha256.Sum256([]byte(what))
	k := key(sum[:16])
	if _, ok := m.seen[k]; ok {
		return Seen
	}
	if len(m.seen) >= m.most {
		return Full
	}
	m.seen[k] = struct{}{}
	heap.Push(&m.ends, ending{k, end})
	return Unseen
}

// Len is how many are remembered.
func (m *Memory) Len() int { return len(m.seen) }

type ending struct {
	key key
	at  time.Duration
}

// ends is a heap of what is remembered, what ends first at the top.
type ends []ending

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(ending)) }

func (e *ends) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
