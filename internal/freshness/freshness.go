// Package freshness decides which answers about tokens may be used again, and until when. It knows neither
// clock nor wire.
//
// An answer speaks of the moment at which the service made it, which is after it was asked. So its age counts
// from the asking: a token revoked later is still told as active for no longer than the revocation bound. An
// answer that came after somebody's question was taken is never too old for that question, whatever the
// bounds: asking again could tell nothing that was not known then.
package freshness

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Options bound a store.
type Options struct {
	Positive time.Duration // revocation bound: how long an answer on an active token may be used; 0: not at all
	Negative time.Duration // the same of an inactive one, which may become active (nbf), or be known late
	Most     int           // answers kept; 0: 4096
	MostSize int           // bytes of an answer; larger ones are not kept; 0: 16 KiB
}

// MostNegative bounds Options.Negative: a token that has just been issued must not be refused for longer.
const MostNegative = 30 * time.Second

// Validate names the first option that makes no sense.
func (o Options) Validate() error {
	switch {
	case o.Positive < 0 || o.Negative < 0 || o.Most < 0 || o.MostSize < 0:
		return errors.New("freshness: a bound is below 0")
	case o.Negative > MostNegative:
		return fmt.Errorf("freshness: answers on inactive tokens may be used for %v at most", MostNegative)
	}
	return nil
}

// Key names what was asked, and for whom: a hash, so that no token is kept.
type Key [32]byte

// Answer is what a service said of a token.
type Answer struct {
	Active  bool
	Expires time.Duration // by the caller's clock; 0: not told
	Asked   time.Duration // when the question left
	Came    time.Duration // when the answer came
	Size    int           // bytes that it takes
	Value   any           // the caller's own
}

// Holds reports whether the answer still tells the truth as far as its own words go: exp has not passed.
func (a *Answer) Holds(now time.Duration) bool {
	return !a.Active || a.Expires == 0 || now < a.Expires
}

// Store keeps the latest answers. It is not safe for concurrent use.
type Store struct {
	set  Options
	kept *simplelru.LRU[Key, *Answer]
}

// New returns an empty store. The options must be valid.
func New(o Options) *Store {
	if o.Most == 0 {
		o.Most = 4096
	}
	if o.MostSize == 0 {
		o.MostSize = 16 << 10
	}
	kept, err := simplelru.NewLRU[Key, *Answer](o.Most, nil)
	if err != nil { // Most is above 0
		panic(err)
	}
	return &Store{set: o, kept: kept}
}

// Put takes an answer.
func (s *Store) Put(key Key, a *Answer) {
	if a.Size > s.set.MostSize {
		s.kept.Remove(key) // an older one must not outlive it
		return
	}
	if old, ok := s.kept.Peek(key); ok && old.Asked > a.Asked {
		return // answers may overtake each other
	}
	s.kept.Add(key, a)
}

// Get returns an answer for a question taken at the given time, if one may be used now. Active ones whose exp
// has passed are used for nobody: the caller asks again, and the service has its say.
func (s *Store) Get(key Key, taken, now time.Duration) *Answer {
	a, ok := s.kept.Get(key)
	if !ok {
		return nil
	}
	bound := s.set.Negative
	if a.Active {
		bound = s.set.Positive
	}
	if a.Holds(now) && (a.Came > taken || now < a.Asked+bound) {
		return a
	}
	if !a.Holds(now) || now > a.Asked+max(s.set.Positive, s.set.Negative, grace) {
		s.kept.Remove(key)
	}
	return nil
}

// grace is how long an answer without a bound is kept for those who asked before it came: over any patience.
const grace = 10 * time.Second

// Len is the number of answers kept.
func (s *Store) Len() int { return s.kept.Len() }

// Clear forgets all: whoever asks next is asked for anew.
func (s *Store) Clear() { s.kept.Purge() }

// Ahead is how far a service's clock is ahead of the caller's, as far as one exchange shows it: date is the
// service's own time with its answer, in whole seconds as HTTP has it. Within the exchange's length and that
// second, nothing is known, and 0 is returned.
func Ahead(date, asked, came time.Duration) time.Duration {
	switch {
	case date == 0:
		return 0
	case date > came:
		return date - came
	case date+time.Second < asked:
		return date + time.Second - asked
	}
	return 0
}

// Expiry turns the exp of an answer into a reading of the caller's clock. The service measured exp by its own
// clock; a second's error or two that HTTP dates can't tell is not corrected.
func Expiry(exp, ahead time.Duration) time.Duration {
	if exp == 0 {
		return 0
	}
	if ahead < slack && ahead > -slack {
		ahead = 0
	}
	return max(1, exp-ahead)
}

const slack = 2 * time.Second
