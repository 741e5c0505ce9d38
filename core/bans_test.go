package core

import (
	"testing"
	"testing/synctest"
	"time"

	"dunespoke/choice"
)

func (b *bench) ban(name string, on bool) bool {
	synctest.Wait()
	defer synctest.Wait()
	return b.Ban(name, on)
}

// A banned server gets nothing new, whatever the list says of it and over its restart, until it is put back.
func TestABanHoldsUntilTheCallBack(t *testing.T) {
	withCore(t, false, func(t *testing.T, b *bench) {
		if b.ban("never", true) {
			t.Error("a server never listed was banned")
		}
		for call := range 2 { // calls out may be repeated
			if !b.ban("s", true) {
				t.Fatalf("call %d: a listed server was not banned", call+1)
			}
		}
		b.ask("read", time.Second)
		time.Sleep(2 * time.Second)
		b.want(t, 0, "1 <nil>")
		if b.Ready() || b.Stats().Snapshot().OutOfRotation != 1 || b.up.dropped != 1 {
			t.Errorf("ready %v, figures %+v, dropped %d", b.Ready(), b.Stats().Snapshot(), b.up.dropped)
		}
		b.Servers(false, []Server{{Name: "s", State: choice.Gone}}) // restarted
		b.Servers(false, []Server{{Name: "s", State: choice.Live}})
		b.ask("read", time.Second)
		time.Sleep(2 * time.Second)
		b.want(t, 0, "1 <nil>", "1 <nil>")
		if !b.ban("s", false) {
			t.Fatal("a banned server could not be put back")
		}
		b.ask("read", time.Second)
		b.want(t, 1, "1 <nil>", "1 <nil>")
	})
}

// Bans kept from an earlier process hold before the list names the server.
func TestBansKeptFromBeforeHoldAtOnce(t *testing.T) {
	withCore(t, false, func(t *testing.T, b *bench) {
		b.RestoreBans([]string{"t"})
		b.Servers(false, []Server{{Name: "t", State: choice.Live}})
		b.Servers(false, []Server{{Name: "s", State: choice.Gone}})
		b.ask("read", time.Second)
		time.Sleep(2 * time.Second)
		b.want(t, 0, "1 <nil>")
		names := make(chan []string, 1)
		b.Bans(names)
		synctest.Wait()
		if got := <-names; len(got) != 1 || got[0] != "t" {
			t.Errorf("bans %q", got)
		}
	})
}

func TestFiguresCountAnswersAndAttempts(t *testing.T) {
	withCore(t, false, func(t *testing.T, b *bench) {
		b.ask("read", time.Second)
		if got := b.Stats().Snapshot(); got.Open != 1 || got.Listed != 1 || got.OutOfRotation != 0 {
			t.Errorf("%+v", got)
		}
		b.up.started[0].End(Result{Code: choice.OK, Body: "x"})
		b.ask("pay", time.Second)
		b.up.started[1].End(Result{Code: choice.Reset, Final: true})
		synctest.Wait()
		got := b.Stats().Snapshot()
		if got.Fulfilled["read"] != 1 || got.Faulted["pay"] != 1 || got.Relayed != 2 || got.Open != 0 {
			t.Errorf("%+v", got)
		}
	})
}

// An answer that is passed on counts as open until its end, and as failed if it did not come whole.
func TestFiguresFollowAnswersThatArePassedOn(t *testing.T) {
	withCore(t, false, func(t *testing.T, b *bench) {
		for i, whole := range []bool{true, false} {
			b.ask("read", time.Second)
			b.up.started[i].End(Result{Code: choice.OK, Body: "x"})
			ended := b.TrackResponse("read")
			synctest.Wait()
			if got := b.Stats().Snapshot(); got.Open != 1 || got.Fulfilled["read"] != int64(i+1) {
				t.Errorf("while it is passed on: %+v", got)
			}
			ended(whole)
		}
		synctest.Wait()
		if got := b.Stats().Snapshot(); got.Open != 0 || got.Fulfilled["read"] != 1 || got.Faulted["read"] != 1 {
			t.Errorf("want one whole and one failed: %+v", got)
		}
	})
}
