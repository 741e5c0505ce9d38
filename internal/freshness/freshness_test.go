package freshness

import (
	"testing"
	"time"
)

const sec = time.Second

func key(i int) (k Key) {
	k[0], k[1], k[2] = byte(i), byte(i>>8), byte(i>>16)
	return k
}

func TestGet(t *testing.T) {
	set := Options{Positive: 10 * sec, Negative: 2 * sec}
	for name, c := range map[string]struct {
		set             Options
		answer          Answer
		receivedAt, now time.Duration
		used            bool
	}{
		"active, within the bound": {set,
			Answer{Active: true, Asked: 100 * sec, Came: 101 * sec}, 109 * sec, 109 * sec, true},
		"active, at the bound": {set,
			Answer{Active: true, Asked: 100 * sec, Came: 101 * sec}, 110 * sec, 110 * sec, false},
		"active, expired": {set,
			Answer{Active: true, Expires: 105 * sec, Asked: 100 * sec, Came: 101 * sec}, 105 * sec, 105 * sec, false},
		"expires while the request waits": {Options{},
			Answer{Active: true, Expires: 105 * sec, Asked: 100 * sec, Came: 101 * sec}, 99 * sec, 105 * sec, false},
		"inactive, within its bound": {set,
			Answer{Asked: 100 * sec, Came: 101 * sec}, 101 * sec, 101*sec + 999*time.Millisecond, true},
		"inactive, past its bound": {set,
			Answer{Asked: 100 * sec, Came: 101 * sec}, 102 * sec, 102 * sec, false},
		"no bound, received before it arrived": {Options{},
			Answer{Active: true, Asked: 100 * sec, Came: 101 * sec}, 100 * sec, 102 * sec, true},
		"no bound, received as it arrived": {Options{},
			Answer{Active: true, Asked: 100 * sec, Came: 101 * sec}, 101 * sec, 102 * sec, false},
		"inactive, received before it arrived": {Options{},
			Answer{Asked: 100 * sec, Came: 101 * sec}, 99 * sec, 102 * sec, true},
		"too large": {set,
			Answer{Active: true, Size: 17 << 10, Asked: 100 * sec, Came: 101 * sec}, 102 * sec, 102 * sec, false},
		"active without expiry, past its bound": {set,
			Answer{Active: true, Asked: 100 * sec, Came: 101 * sec}, 200 * sec, 200 * sec, false},
	} {
		s := New(c.set)
		s.Put(key(1), &c.answer)
		if got := s.Get(key(1), c.receivedAt, c.now) != nil; got != c.used {
			t.Errorf("%s: used %v", name, got)
		}
		if s.Get(key(2), c.receivedAt, c.now) != nil {
			t.Errorf("%s: used for another token", name)
		}
	}
}

func TestOlderAnswerDoesNotReplaceNewer(t *testing.T) {
	s := New(Options{Positive: time.Minute, Negative: 20 * sec})
	s.Put(key(1), &Answer{Asked: 5 * sec, Came: 6 * sec}) // revoked by now
	s.Put(key(1), &Answer{Active: true, Asked: 4 * sec, Came: 7 * sec})
	if a := s.Get(key(1), 8*sec, 8*sec); a == nil || a.Active {
		t.Errorf("an older answer replaced a newer one: %+v", a)
	}
}

func TestStoreIsBounded(t *testing.T) {
	s := New(Options{Positive: time.Minute, Most: 100})
	for i := range 10_000 {
		s.Put(key(i), &Answer{Active: true})
	}
	if s.Len() != 100 {
		t.Errorf("%d answers stored, want 100", s.Len())
	}
	s.Clear()
	if s.Len() != 0 || s.Get(key(9999), 0, 0) != nil {
		t.Error("answers remain after Clear")
	}
}

func TestClockOffset(t *testing.T) {
	for _, c := range []struct{ date, sentAt, arrivedAt, offset time.Duration }{
		{0, 100 * sec, 101 * sec, 0},
		{100 * sec, 100*sec + sec/2, 101 * sec, 0},
		{106 * sec, 100 * sec, 101 * sec, 5 * sec},
		{94 * sec, 100 * sec, 101 * sec, -5 * sec},
		{99 * sec, 100 * sec, 101 * sec, 0},
	} {
		if got := Ahead(c.date, c.sentAt, c.arrivedAt); got != c.offset {
			t.Errorf("%+v: %v", c, got)
		}
	}
	// The service is 5 s behind: a token that expires at 200 by its clock expires at 205 by ours.
	for _, c := range []struct{ exp, offset, want time.Duration }{
		{200 * sec, -5 * sec, 205 * sec}, {200 * sec, 5 * sec, 195 * sec}, {200 * sec, sec, 200 * sec},
		{0, 5 * sec, 0},
		{sec, 5 * sec, 1}, // expired long ago, but not zero, which means not reported
	} {
		if got := Expiry(c.exp, c.offset); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestValidate(t *testing.T) {
	for _, o := range []Options{{Positive: -1}, {Negative: -1}, {Most: -1}, {MostSize: -1},
		{Negative: time.Minute}} {
		if o.Validate() == nil {
			t.Errorf("%+v: accepted, want an error", o)
		}
	}
}
