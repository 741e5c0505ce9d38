// Package flights keeps the books of questions that many ask at once and that are put only once: who waits
// for which. It knows neither clock nor wire. Whoever leaves takes nobody else along, whoever came first.
package flights

// Flight is one question under way, and those who wait for its answer.
type Flight[K comparable, A comparable] struct {
	Key    K
	askers map[A]struct{}
	ended  bool
}

// Group holds the flights under way. It is not safe for concurrent use.
type Group[K comparable, A comparable] struct{ flights map[K]*Flight[K, A] }

// New returns a group without flights.
func New[K comparable, A comparable]() *Group[K, A] {
	return &Group[K, A]{flights: map[K]*Flight[K, A]{}}
}

// Join lets an asker wait for the flight of a key. It reports false if there is none.
func (g *Group[K, A]) Join(key K, asker A) (*Flight[K, A], bool) {
	f := g.flights[key]
	if f == nil {
		return nil, false
	}
	f.askers[asker] = struct{}{}
	return f, true
}

// Begin starts the flight of a key, of which there must be none, with its first asker.
func (g *Group[K, A]) Begin(key K, asker A) *Flight[K, A] {
	f := &Flight[K, A]{Key: key, askers: map[A]struct{}{asker: {}}}
	g.flights[key] = f
	return f
}

// Leave takes an asker off a flight. It reports true if that was the last one: the flight has then ended, and
// who asks next begins another.
func (g *Group[K, A]) Leave(f *Flight[K, A], asker A) (last bool) {
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
func (g *Group[K, A]) End(f *Flight[K, A]) []A {
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

// Len is the number of flights under way.
func (g *Group[K, A]) Len() int { return len(g.flights) }
