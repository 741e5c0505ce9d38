// Package flights keeps the books of questions that many ask at once and that are put only once: who waits
// for which. It knows neither clock nor wire. Whoever leaves takes nobody else along, whoever came first.
package flights

import (
	"maps"
	"slices"
)

// Flight is one question under way, and those who wait for its answer.
type Flight[K comparable, A comparable, V any] struct {
	Key    K
	Value  V // the caller's own
	askers map[A]struct{}
	ended  bool
}

// Group holds the flights under way. It is not safe for concurrent use.
type Group[K comparable, A comparable, V any] struct{ flights map[K]*Flight[K, A, V] }

// New returns a group without flights.
func New[K comparable, A comparable, V any]() *Group[K, A, V] {
	return &Group[K, A, V]{flights: map[K]*Flight[K, A, V]{}}
}

// Join lets an asker wait for the flight of a key. It reports false if there is none.
func (g *Group[K, A, V]) Join(key K, asker A) (*Flight[K, A, V], bool) {
	f := g.flights[key]
	if f == nil {
		return nil, false
	}
	f.askers[asker] = struct{}{}
	return f, true
}

// Begin starts the flight of a key, of which there must be none, with its first asker.
func (g *Group[K, A, V]) Begin(key K, asker A, value V) *Flight[K, A, V] {
	f := &Flight[K, A, V]{Key: key, Value: value, askers: map[A]struct{}{asker: {}}}
	g.flights[key] = f
	return f
}

// Leave takes an asker off a flight. It reports true if that was the last one: the flight has then ended, and
// who asks next begins another.
func (g *Group[K, A, V]) Leave(f *Flight[K, A, V], asker A) (last bool) {
	if f.ended {
		return false
	}
	delete(f.askers, asker)
	if len(f.askers) > 0 {
		return false
	}
	g.End(f)
	return true
}

// End ends a flight and returns those who still wait, each once; of an ended flight, nobody.
func (g *Group[K, A, V]) End(f *Flight[K, A, V]) []A {
	if f.ended {
		return nil
	}
	f.ended = true
	delete(g.flights, f.Key)
	askers := make([]A, 0, len(f.askers))
	for a := range f.askers {
		askers = append(askers, a)
	}
	f.askers = nil
	return askers
}

// Has reports whether a key has a flight.
func (g *Group[K, A, V]) Has(key K) bool { return g.flights[key] != nil }

// All returns the flights under way, in no order.
func (g *Group[K, A, V]) All() []*Flight[K, A, V] { return slices.Collect(maps.Values(g.flights)) }

// Ended reports whether the flight has ended.
func (f *Flight[K, A, V]) Ended() bool { return f.ended }

// Len is the number of flights under way.
func (g *Group[K, A, V]) Len() int { return len(g.flights) }
