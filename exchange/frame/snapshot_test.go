package frame

import (
	"testing"
	"time"

	"dunespoke/exchange/signal"
)

// Given many who lack the same, when they ask, then it is encoded once; and it is not kept for long after.
func TestASnapshotIsEncodedOnceForAll(t *testing.T) {
	var s snapshots
	made := 0
	ask := func(now time.Duration, seq uint64) {
		s.of(now, version{signal.ServerTable, [2]uint64{1, seq}}, func() *signal.Message {
			made++
			return &signal.Message{List: &signal.List{Epoch: 1, Seq: seq}}
		})
		s.forget(now)
	}
	for i := range 100 {
		ask(time.Hour+time.Duration(i)*time.Millisecond, 1)
	}
	if made != 1 {
		t.Errorf("encoded %d times", made)
	}
	if ask(time.Hour+time.Minute, 2); len(s.made) != 1 {
		t.Errorf("%d snapshots are kept", len(s.made))
	}
}

// Given ever more who ask for parts, then what is on its way to all together stays within the bound, as long
// as each gets the least; and whoever stops asking is no longer counted.
func TestWhatIsOnItsWayIsBounded(t *testing.T) {
	s := snapshots{pulls: map[string]time.Duration{}}
	p := &poll{Message: signal.Message{Room: 1 << 40}}
	for n := range roomAll / roomLeast {
		if room := s.room(p); room > roomMost || room*n > roomAll {
			t.Fatalf("%d get %d bytes each", n, room)
		}
		s.pulls[string(rune(n+1000))] = time.Hour
	}
	if s.forget(time.Hour + 2*pullsFor); s.room(p) != roomMost {
		t.Errorf("%d bytes for the only one", s.room(p))
	}
}
