// Package freshness caches introspection answers and decides which of them may be reused, and until when. It
// reads no clock and does no I/O.
//
// An answer describes the token at the moment at which the service made it, which is after the query was
// sent. Its age is therefore measured from the sending of the query, so that a token revoked later is
// reported as active for no longer than the revocation bound. An answer that arrived after a request was
// received is always fresh enough for that request, whatever the bounds: the request may be answered by any
// state since its receipt.
package freshness

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Options are the limits of a Store.
type Options struct {
	Positive time.Duration // revocation bound: maximum age of an answer on an active token; zero: no reuse
	Negative time.Duration // same for an inactive token, which may become active (nbf) or reach the service late
	Most     int           // maximum number of answers; zero means 4096
	MostSize int           // bytes; larger answers are not stored; zero means 16 KiB
}

// MostNegative is the maximum of Options.Negative. A token that has just been issued must not be rejected for
// longer.
const MostNegative = 30 * time.Second

// Validate returns an error that describes the first invalid option.
func (o Options) Validate() error {
	switch {
	case o.Positive < 0 || o.Negative < 0 || o.Most < 0 || o.MostSize < 0:
		return errors.New("freshness: negative limit")
	case o.Negative > MostNegative:
		return fmt.Errorf("freshness: answers on inactive tokens may be reused for at most %v", MostNegative)
	}
	return nil
}

// Key identifies a query. It is a hash, so that no token is stored.
type Key [32]byte

// Answer is an introspection answer.
type Answer struct {
	Active  bool
	Expires time.Duration // by the caller's clock; zero if not reported
	Asked   time.Duration // when the query was sent
	Came    time.Duration // when the answer arrived
	Size    int           // in bytes
	Value   any           // chosen by the caller
}

// Holds reports whether the answer is not outdated by its own expiry. Answers on inactive tokens don't
// expire.
func (a *Answer) Holds(now time.Duration) bool {
	return !a.Active || a.Expires == 0 || now < a.Expires
}

// Store is an LRU cache of answers. It is not safe for concurrent use.
type Store struct {
	options Options
	entries *simplelru.LRU[Key, *Answer]
}

// New returns an empty Store. The options must be valid.
func New(o Options) *Store {
	if o.Most == 0 {
		o.Most = 4096
	}
	if o.MostSize == 0 {
		o.MostSize = 16 << 10
	}
	entries, err := simplelru.NewLRU[Key, *Answer](o.Most, nil)
	if err != nil { // impossible, as Most is positive
		panic(err)
	}
	return &Store{options: o, entries: entries}
}

// Put stores an answer, unless a stored one was queried later. An answer that is too large removes the stored
// one.
func (s *Store) Put(key Key, a *Answer) {
	if a.Size > s.options.MostSize {
		s.entries.Remove(key) // an older answer must not outlive it
		return
	}
	if old, ok := s.entries.Peek(key); ok && old.Asked > a.Asked {
		return // answers may arrive out of order
	}
	s.entries.Add(key, a)
}

// Get returns the answer that may be used now for a request received at receivedAt, or nil. An answer on an
// active token whose expiry has passed is never used: the caller must query the service again.
func (s *Store) Get(key Key, receivedAt, now time.Duration) *Answer {
	a, ok := s.entries.Get(key)
	if !ok {
		return nil
	}
	bound := s.options.Negative
	if a.Active {
		bound = s.options.Positive
	}
	if a.Holds(now) && (a.Came > receivedAt || now < a.Asked+bound) {
		return a
	}
	if !a.Holds(now) || now > a.Asked+max(s.options.Positive, s.options.Negative, retention) {
		s.entries.Remove(key)
	}
	return nil
}

// retention is the minimum time for which an answer is stored for requests received before it arrived. It
// is meant to exceed the clients' timeouts.
const retention = 10 * time.Second

// Len returns the number of stored answers.
func (s *Store) Len() int { return s.entries.Len() }

// Clear removes all answers.
func (s *Store) Clear() { s.entries.Purge() }

// Ahead returns how far a service's clock is ahead of the caller's, as one exchange shows it. date is the
// service's time in its response, in whole seconds as in HTTP; zero means unknown. It returns 0 if the offset
// lies within the uncertainty, which is the duration of the exchange and that second.
func Ahead(date, sentAt, arrivedAt time.Duration) time.Duration {
	switch {
	case date == 0:
		return 0
	case date > arrivedAt:
		return date - arrivedAt
	case date+time.Second < sentAt:
		return date + time.Second - sentAt
	}
	return 0
}

// Expiry converts the "exp" of an answer from the service's clock to the caller's clock. Offsets below 2 s
// are not corrected, since HTTP dates can't measure them. A zero exp stays zero; other results are at least 1
// ns, since zero means that no expiry was reported.
func Expiry(exp, offset time.Duration) time.Duration {
	if exp == 0 {
		return 0
	}
	if offset < offsetTolerance && offset > -offsetTolerance {
		offset = 0
	}
	return max(1, exp-offset)
}

// offsetTolerance is the clock offset from which Expiry corrects.
const offsetTolerance = 2 * time.Second
