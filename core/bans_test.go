package core

import (
	"testing"
	"testing/synctest"
	"time"

	"dunespoke/choice"
)

// ban bans a server or lifts its ban, and waits until that is in force.
func (b *testCore) ban(name string, on bool) bool {
	synctest.Wait()
	defer synctest.Wait()
	return b.Ban(name, on)
}

// A banned server gets no new requests, regardless of its state in the server list and after a restart, until
// its ban is lifted.
func TestBanLastsUntilLifted(t *testing.T) {
	withTestCore(t, false, func(t *testing.T, b *testCore) {
		if b.ban("never", true) {
			t.Error("a server that was never listed was banned")
		}
		for call := range 2 { // a ban may be repeated
			if !b.ban("s", true) {
				t.Fatalf("call %d: a listed server was not banned", call+1)
			}
		}
		b.submit("read", time.Second)
		time.Sleep(2 * time.Second)
		b.expect(t, 0, "1 <nil>")
		if b.Ready() || b.Stats().Snapshot().OutOfRotation != 1 || b.upstream.dropped != 1 {
			t.Errorf("ready %v, stats %+v, dropped %d", b.Ready(), b.Stats().Snapshot(), b.upstream.dropped)
		}
		b.Servers(false, []Server{{Name: "s", State: choice.Gone}}) // restarted
		b.Servers(false, []Server{{Name: "s", State: choice.Live}})
		b.submit("read", time.Second)
		time.Sleep(2 * time.Second)
		b.expect(t, 0, "1 <nil>", "1 <nil>")
		if !b.ban("s", false) {
			t.Fatal("the ban could not be lifted")
		}
		b.submit("read", time.Second)
		b.expect(t, 1, "1 <nil>", "1 <nil>")
	})
}

// Bans of an earlier process are in force before the server is listed.
func TestRestoredBansApplyBeforeServerIsListed(t *testing.T) {
	withTestCore(t, false, func(t *testing.T, b *testCore) {
		b.RestoreBans([]string{"t"})
		b.Servers(false, []Server{{Name: "t", State: choice.Live}})
		b.Servers(false, []Server{{Name: "s", State: choice.Gone}})
		b.submit("read", time.Second)
		time.Sleep(2 * time.Second)
		b.expect(t, 0, "1 <nil>")
		names := make(chan []string, 1)
		b.Bans(names)
		synctest.Wait()
		if got := <-names; len(got) != 1 || got[0] != "t" {
			t.Errorf("bans %q", got)
		}
	})
}

func TestStatsCountAnswersAndAttempts(t *testing.T) {
	withTestCore(t, false, func(t *testing.T, b *testCore) {
		b.submit("read", time.Second)
		if got := b.Stats().Snapshot(); got.Open != 1 || got.Listed != 1 || got.OutOfRotation != 0 {
			t.Errorf("%+v", got)
		}
		b.upstream.started[0].End(Result{Code: choice.OK, Body: "x"})
		b.submit("pay", time.Second)
		b.upstream.started[1].End(Result{Code: choice.Reset, Final: true})
		synctest.Wait()
		got := b.Stats().Snapshot()
		if got.Fulfilled["read"] != 1 || got.Faulted["pay"] != 1 || got.Relayed != 2 || got.Open != 0 {
			t.Errorf("%+v", got)
		}
	})
}

// A request counts as open until its response was sent, and as failed if the response was not complete.
func TestStatsFollowTrackedResponses(t *testing.T) {
	withTestCore(t, false, func(t *testing.T, b *testCore) {
		for i, complete := range []bool{true, false} {
			b.submit("read", time.Second)
			b.upstream.started[i].End(Result{Code: choice.OK, Body: "x"})
			ended := b.TrackResponse("read")
			synctest.Wait()
			if got := b.Stats().Snapshot(); got.Open != 1 || got.Fulfilled["read"] != int64(i+1) {
				t.Errorf("while the response is being sent: %+v", got)
			}
			ended(complete)
		}
		synctest.Wait()
		if got := b.Stats().Snapshot(); got.Open != 0 || got.Fulfilled["read"] != 1 || got.Faulted["read"] != 1 {
			t.Errorf("want one complete and one failed: %+v", got)
		}
	})
}
