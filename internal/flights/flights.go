// Package flights tracks which callers wait for which shared queries, so that concurrent identical queries
// are sent only once. It reads no clock and does no I/O. A waiter that leaves does not affect the other
// waiters, not even if it started the flight.
package flights

import (
	"maps"
	"slices"
)

// Flight is one query in flight, with the callers that wait for its answer.
type Flight[K comparable, A comparable, V any] struct {
	Key     K
	Value   V // chosen by the caller
	waiters map[A]struct{}
	ended   bool
}

// Group is the set of flights in progress. It is not safe for concurrent use.
type Group[K comparable, A comparable, V any] struct{ flights map[K]*Flight[K, A, V] }

// New returns an empty Group.
func New[K comparable, A comparable, V any]() *Group[K, A, V] {
	return &Group[K, A, V]{flights: map[K]*Flight[K, A, V]{}}
}

// Join adds a waiter to the flight of a key. It returns false if there is none.
func (g *Group[K, A, V]) Join(key K, waiter A) (*Flight[K, A, V], bool) {
	f := g.flights[key]
	if f == nil {
		return nil, false
	}
	f.waiters[waiter] = struct{}{}
	return f, true
}

// Begin starts a flight with its first waiter. The key must not have a flight.
func (g *Group[K, A, V]) Begin(key K, waiter A, value V) *Flight[K, A, V] {
	f := &Flight[K, A, V]{Key: key, Value: value, waiters: map[A]struct{}{waiter: {}}}
	g.flights[key] = f
	return f
}

// Leave removes a waiter from a flight. It returns true if that was the last waiter: the flight has then
// ended, and the next query for the key needs a new flight.
func (g *Group[K, A, V]) Leave(f *Flight[K, A, V], waiter A) (last bool) {
	if f.ended {
		return false
	}
	delete(f.waiters, waiter)
	if len(f.waiters) > 0 {
		return false
	}
	g.End(f)
	return true
}

// End ends a flight and returns its remaining waiters, each once. If the flight has ended already, it returns
// nil.
func (g *Group[K, A, V]) End(f *Flight[K, A, V]) []A {
	if f.ended {
		return nil
	}
	f.ended = true
	delete(g.flights, f.Key)
	waiters := make([]A, 0, len(f.waiters))
	for a := range f.waiters {
		waiters = append(waiters, a)
	}
	f.waiters = nil
	return waiters
}

// Has reports whether a key has a flight.
func (g *Group[K, A, V]) Has(key K) bool { return g.flights[key] != nil }

// All returns the flights in progress, in no particular order.
func (g *Group[K, A, V]) All() []*Flight[K, A, V] { return slices.Collect(maps.Values(g.flights)) }

// Ended reports whether the flight has ended.
func (f *Flight[K, A, V]) Ended() bool { return f.ended }

// Len returns the number of flights in progress.
func (g *Group[K, A, V]) Len() int { return len(g.flights) }
