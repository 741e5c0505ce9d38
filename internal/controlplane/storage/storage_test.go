package storage

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// Given records saved in order, when the store is opened again, then the last is there, with the
// configuration.
func TestAStateOutlivesTheProcess(t *testing.T) {
	dir := t.TempDir()
	v, r, err := Open(dir)
	if err != nil || !reflect.DeepEqual(r, replica.PersistentState{}) {
		t.Fatalf("an empty store: %+v, %v", r, err)
	}
	saved := make(chan bool)
	want := replica.PersistentState{
		CaughtUp:      true,
		Members:       []message.Node{{Addr: "a", Zone: "z"}},
		PromisedEpoch: 128,
	}
	for version := range uint64(5) {
		want.Version, want.Config = version+1, []byte{'c', byte(version)}
		v.Save(want, func(ok bool) { saved <- ok })
		if !<-saved {
			t.Fatal("not saved")
		}
	}
	want.Epoch, want.Chain = 128, []string{"a", "b"}
	want.StoreID, want.MembershipEpoch = 9, 128
	want.OutgoingMembers = []message.Node{{Addr: "a", StoreID: 8, ProposerID: 1}}
	want.RemovedMembers, want.RemovedByOperator = []message.Node{{Addr: "b", StoreID: 7, ProposerID: 2}}, true
	want.Bootstrap = replica.BootstrapState{
		Trusted:         true,
		Seeds:           []string{"a"},
		PromisedBallot:  65,
		AcceptedBallot:  64,
		AcceptedMembers: want.Members,
	}
	v.Save(want, func(ok bool) { saved <- ok })
	<-saved
	if err := v.Close(time.Minute); err != nil {
		t.Fatal(err)
	}
	v, r, err = Open(dir)
	if err != nil || !reflect.DeepEqual(r, want) {
		t.Fatalf("opened again: %+v, %v; want %+v", r, err, want)
	}
	v.Close(time.Minute)
}

// Given the store of a stopped machine, when it is looked at and a core is restored from it, then the new
// stores hold the configuration, under epochs above all of the old ones.
func TestACoreIsRestoredFromWhatIsLeft(t *testing.T) {
	dir, fresh := t.TempDir(), t.TempDir()
	v, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	old := replica.PersistentState{
		CaughtUp:      true,
		Members:       []message.Node{{Addr: "a"}, {Addr: "b"}, {Addr: "c"}},
		PromisedEpoch: 256,
		Epoch:         192,
		Chain:         []string{"a", "b"},
		Value:         replica.Value{Version: 7, Config: []byte(`{"version":"r7"}`)},
	}
	if err := v.write(old); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadSnapshot(dir); !trace.IsCompareFailed(err) {
		t.Errorf("a store in use: %v", err)
	}
	v.Close(time.Minute)
	s, err := ReadSnapshot(dir)
	if err != nil {
		t.Fatal(err)
	}
	text, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	read, err := DecodeSnapshot(text)
	if err != nil || !reflect.DeepEqual(read, s) || s.Epoch != 256 || len(s.Members) != 3 {
		t.Fatalf("%+v, %v; want %+v", read, err, s)
	}
	core := []message.Node{{Addr: "d", Zone: "z"}, {Addr: "a", Zone: "y"}}
	if err := Restore(fresh, read, core); err != nil {
		t.Fatal(err)
	}
	if err := Restore(fresh, read, core); !trace.IsAlreadyExists(err) {
		t.Errorf("over a store: %v", err)
	}
	v, got, err := Open(fresh)
	if err != nil {
		t.Fatal(err)
	}
	v.Close(time.Minute)
	if !got.CaughtUp || got.Epoch <= old.PromisedEpoch || got.PromisedEpoch != got.Epoch || got.Version != 7 ||
		string(got.Config) != string(old.Config) || len(got.Members) != 2 || got.Members[0].Addr != "a" {
		t.Errorf("%+v", got)
	}
}

func TestASnapshotThatIsNotWholeIsNotTaken(t *testing.T) {
	good := Snapshot{Format: 1, Version: 3, Config: "x", Digest: configDigest([]byte("x"))}
	for name, change := range map[string]func(*Snapshot){
		"form":          func(s *Snapshot) { s.Format = 2 },
		"digest":        func(s *Snapshot) { s.Config = "y" },
		"configuration": func(s *Snapshot) { s.Config, s.Digest = "", configDigest(nil) },
	} {
		s := good
		change(&s)
		text, _ := s.Encode()
		if _, err := DecodeSnapshot(text); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := DecodeSnapshot([]byte("{")); !trace.IsBadParameter(err) {
		t.Errorf("cut off: %v", err)
	}
	if _, err := ReadSnapshot(t.TempDir()); !trace.IsNotFound(err) {
		t.Errorf("no store: %v", err)
	}
}

// Given the stores of machines that ran earlier programs, when they are opened, then the record is there, and
// the first save writes it in the form that there is now.
func TestStoresOfEarlierFormsAreRead(t *testing.T) {
	want := replica.PersistentState{
		CaughtUp:      true,
		Members:       []message.Node{{Addr: "a", Zone: "z"}},
		PromisedEpoch: 192,
		Epoch:         128,
		Chain:         []string{"a"},
		Value:         replica.Value{Version: 7, Config: []byte("text")},
	}
	numbered := want
	numbered.AcceptedVersions = past(70)
	h := storedState{
		CaughtUp:      true,
		Members:       want.Members,
		PromisedEpoch: 192,
		Epoch:         128,
		Chain:         want.Chain,
		Version:       7,
	}
	under := func(text []byte) []byte {
		sum := message.DigestOf(text)
		return sum[:]
	}
	range1, whole, numberedHead := under(want.Config), message.MarshalAppend(nil,
		&legacyAcceptedVersions{numbered.AcceptedVersions}), h
	numberedHead.ConfigIndex, numberedHead.LegacyAcceptedVersions = under(range1), under(whole)
	text := message.MarshalAppend(nil, &numberedHead)
	for _, c := range []struct {
		want replica.PersistentState
		keys map[string][]byte
		gone []byte // a key that the first save removes
	}{
		{want, map[string][]byte{
			string(keyLegacyState):  message.MarshalAppend(nil, &h),
			string(keyLegacyConfig): message.MarshalAppend(nil, &legacyConfig{7, want.Config}),
		}, keyLegacyState},
		{numbered, map[string][]byte{
			string(keyState):                     append(under(text), text...),
			string(configValue.indexKey):         range1,
			string(configValue.chunkKey(range1)): want.Config,
			string(keyLegacyAcceptedVersions):    whole,
		}, keyLegacyAcceptedVersions},
	} {
		dir, want := t.TempDir(), c.want
		db, err := pebble.Open(filepath.Join(dir, storeName), &pebble.Options{Logger: quietLogger{}})
		if err != nil {
			t.Fatal(err)
		}
		for key, value := range c.keys {
			if err := db.Set([]byte(key), value, pebble.Sync); err != nil {
				t.Fatal(err)
			}
		}
		if err := db.Close(); err != nil {
			t.Fatal(err)
		}
		for _, stamp := range []uint64{0, 256} {
			v, got, err := Open(dir)
			if err != nil || v.Damaged() != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("%+v, %v, %v; want %+v", got, err, v.Damaged(), want)
			}
			_, err = v.store.get(c.gone)
			if earlier := err == nil; earlier != (stamp == 0) {
				t.Errorf("%s: what there was before is there: %v", c.gone, earlier)
			}
			want.AcceptedEpoch = 256
			if !v.save(want) || v.Close(time.Minute) != nil {
				t.Fatal("not saved")
			}
		}
	}
}
