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

func TestWhatMayBeUsedAgain(t *testing.T) {
	set := Options{Positive: 10 * sec, Negative: 2 * sec}
	for name, c := range map[string]struct {
		set        Options
		answer     Answer
		taken, now time.Duration
		used       bool
	}{
		"active, within the bound": {set,
			Answer{Active: true, Asked: 100 * sec, Came: 101 * sec}, 109 * sec, 109 * sec, true},
		"active, at the bound of asking": {set,
			Answer{Active: true, Asked: 100 * sec, Came: 101 * sec}, 110 * sec, 110 * sec, false},
		"active, past its own end": {set,
			Answer{Active: true, Expires: 105 * sec, Asked: 100 * sec, Came: 101 * sec}, 105 * sec, 105 * sec, false},
		"ends while the question waits": {Options{},
			Answer{Active: true, Expires: 105 * sec, Asked: 100 * sec, Came: 101 * sec}, 99 * sec, 105 * sec, false},
		"inactive, within its bound": {set,
			Answer{Asked: 100 * sec, Came: 101 * sec}, 101 * sec, 101*sec + 999*time.Millisecond, true},
		"inactive, past it": {set,
			Answer{Asked: 100 * sec, Came: 101 * sec}, 102 * sec, 102 * sec, false},
		"no bound, taken before it came": {Options{},
			Answer{Active: true, Asked: 100 * sec, Came: 101 * sec}, 100 * sec, 102 * sec, true},
		"no bound, taken as it came": {Options{},
			Answer{Active: true, Asked: 100 * sec, Came: 101 * sec}, 101 * sec, 102 * sec, false},
		"inactive, taken before it came": {Options{},
			Answer{Asked: 100 * sec, Came: 101 * sec}, 99 * sec, 102 * sec, true},
		"too large": {set,
			Answer{Active: true, Size: 17 << 10, Asked: 100 * sec, Came: 101 * sec}, 102 * sec, 102 * sec, false},
		"active without an end, past bound": {set,
			Answer{Active: true, Asked: 100 * sec, Came: 101 * sec}, 200 * sec, 200 * sec, false},
	} {
		s := New(c.set)
		s.Put(key(1), &c.answer)
		if got := s.Get(key(1), c.taken, c.now) != nil; got != c.used {
			t.Errorf("%s: used %v", name, got)
		}
		if s.Get(key(2), c.taken, c.now) != nil {
			t.Errorf("%s: used for another token", name)
		}
	}
}

func TestAnswersThatOvertakeEachOther(t *testing.T) {
	s := New(Options{Positive: time.Minute, Negative: 20 * sec})
	s.Put(key(1), &Answer{Asked: 5 * sec, Came: 6 * sec}) // revoked by now
	s.Put(key(1), &Answer{Active: true, Asked: 4 * sec, Came: 7 * sec})
	if a := s.Get(key(1), 8*sec, 8*sec); a == nil || a.Active {
		t.Errorf("an older answer took the place of a newer one: %+v", a)
	}
}

func TestAFloodOfTokensKeepsWithinBounds(t *testing.T) {
	s := New(Options{Positive: time.Minute, Most: 100})
	for i := range 10_000 {
		s.Put(key(i), &Answer{Active: true})
	}
	if s.Len() != 100 {
		t.Errorf("%d answers are kept", s.Len())
	}
	s.Clear()
	if s.Len() != 0 || s.Get(key(9999), 0, 0) != nil {
		t.Error("not forgotten")
	}
}

func TestClocksApart(t *testing.T) {
	for _, c := range []struct{ date, asked, came, ahead time.Duration }{
		{0, 100 * sec, 101 * sec, 0},
		{100 * sec, 100*sec + sec/2, 101 * sec, 0},
		{106 * sec, 100 * sec, 101 * sec, 5 * sec},
		{94 * sec, 100 * sec, 101 * sec, -5 * sec},
		{99 * sec, 100 * sec, 101 * sec, 0},
	} {
		if got := Ahead(c.date, c.asked, c.came); got != c.ahead {
			t.Errorf("%+v: %v", c, got)
		}
	}
	// The service is 5 s behind: its token that ends at 200 by its clock ends at 205 by ours.
	for _, c := range []struct{ exp, ahead, want time.Duration }{
		{200 * sec, -5 * sec, 205 * sec}, {200 * sec, 5 * sec, 195 * sec}, {200 * sec, sec, 200 * sec},
		{0, 5 * sec, 0},
		{sec, 5 * sec, 1}, // long over, and never "not told"
	} {
		if got := Expiry(c.exp, c.ahead); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestOptionsThatMakeNoSense(t *testing.T) {
	for _, o := range []Options{{Positive: -1}, {Negative: -1}, {Most: -1}, {MostSize: -1},
		{Negative: time.Minute}} {
		if o.Validate() == nil {
			t.Errorf("%+v is taken", o)
		}
	}
}
