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

// After states were saved in order and the store was closed, the reopened store has the last of them.
func TestStateIsPersistent(t *testing.T) {
	dir := t.TempDir()
	storage, state, err := Open(dir)
	if err != nil || !reflect.DeepEqual(state, replica.PersistentState{}) {
		t.Fatalf("an empty store: %+v, %v", state, err)
	}
	saved := make(chan bool)
	want := replica.PersistentState{
		CaughtUp:      true,
		Members:       []message.Node{{Addr: "a", Zone: "z"}},
		PromisedEpoch: 128,
	}
	for version := range uint64(5) {
		want.Version, want.Config = version+1, []byte{'c', byte(version)}
		storage.Save(want, func(ok bool) { saved <- ok })
		if !<-saved {
			t.Fatal("save failed")
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
	storage.Save(want, func(ok bool) { saved <- ok })
	<-saved
	if err := storage.Close(time.Minute); err != nil {
		t.Fatal(err)
	}
	storage, state, err = Open(dir)
	if err != nil || !reflect.DeepEqual(state, want) {
		t.Fatalf("reopened: %+v, %v; want %+v", state, err, want)
	}
	storage.Close(time.Minute)
}

// A core that is restored from a snapshot of a stopped machine's store has its configuration, and epochs
// above those of the old core.
func TestCoreIsRestoredFromASnapshot(t *testing.T) {
	dir, restoredDir := t.TempDir(), t.TempDir()
	storage, _, err := Open(dir)
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
	if err := storage.write(old); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadSnapshot(dir); !trace.IsCompareFailed(err) {
		t.Errorf("reading a store in use: %v", err)
	}
	storage.Close(time.Minute)
	s, err := ReadSnapshot(dir)
	if err != nil {
		t.Fatal(err)
	}
	text, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeSnapshot(text)
	if err != nil || !reflect.DeepEqual(decoded, s) || s.Epoch != 256 || len(s.Members) != 3 {
		t.Fatalf("%+v, %v; want %+v", decoded, err, s)
	}
	core := []message.Node{{Addr: "d", Zone: "z"}, {Addr: "a", Zone: "y"}}
	if err := Restore(restoredDir, decoded, core); err != nil {
		t.Fatal(err)
	}
	if err := Restore(restoredDir, decoded, core); !trace.IsAlreadyExists(err) {
		t.Errorf("restoring over a store: %v", err)
	}
	storage, got, err := Open(restoredDir)
	if err != nil {
		t.Fatal(err)
	}
	storage.Close(time.Minute)
	if !got.CaughtUp || got.Epoch <= old.PromisedEpoch || got.PromisedEpoch != got.Epoch || got.Version != 7 ||
		string(got.Config) != string(old.Config) || len(got.Members) != 2 || got.Members[0].Addr != "a" {
		t.Errorf("%+v", got)
	}
}

// DecodeSnapshot rejects a document with an unsupported format, a wrong digest or a missing configuration
// with an error that names the fault, and invalid JSON.
func TestInvalidSnapshotIsRejected(t *testing.T) {
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
		t.Errorf("truncated: %v", err)
	}
	if _, err := ReadSnapshot(t.TempDir()); !trace.IsNotFound(err) {
		t.Errorf("no store: %v", err)
	}
}

// Stores in the earlier formats are opened with their state. The first save rewrites them in the present
// format and removes the legacy keys.
func TestLegacyStoresAreConverted(t *testing.T) {
	want := replica.PersistentState{
		CaughtUp:      true,
		Members:       []message.Node{{Addr: "a", Zone: "z"}},
		PromisedEpoch: 192,
		Epoch:         128,
		Chain:         []string{"a"},
		Value:         replica.Value{Version: 7, Config: []byte("text")},
	}
	withVersions := want
	withVersions.AcceptedVersions = acceptedVersions(70)
	stored1 := storedState{
		CaughtUp:      true,
		Members:       want.Members,
		PromisedEpoch: 192,
		Epoch:         128,
		Chain:         want.Chain,
		Version:       7,
	}
	digestOf := func(text []byte) []byte {
		sum := message.DigestOf(text)
		return sum[:]
	}
	index, accepted, stored2 := digestOf(want.Config), message.MarshalAppend(nil,
		&legacyAcceptedVersions{withVersions.AcceptedVersions}), stored1
	stored2.ConfigIndex, stored2.LegacyAcceptedVersions = digestOf(index), digestOf(accepted)
	text := message.MarshalAppend(nil, &stored2)
	for _, c := range []struct {
		want      replica.PersistentState
		keys      map[string][]byte
		legacyKey []byte // the first save removes it
	}{
		{want, map[string][]byte{
			string(keyLegacyState):  message.MarshalAppend(nil, &stored1),
			string(keyLegacyConfig): message.MarshalAppend(nil, &legacyConfig{7, want.Config}),
		}, keyLegacyState},
		{withVersions, map[string][]byte{
			string(keyState):                    append(digestOf(text), text...),
			string(configValue.indexKey):        index,
			string(configValue.chunkKey(index)): want.Config,
			string(keyLegacyAcceptedVersions):   accepted,
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
		for _, acceptedEpoch := range []uint64{0, 256} {
			storage, got, err := Open(dir)
			if err != nil || storage.Damaged() != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("%+v, %v, %v; want %+v", got, err, storage.Damaged(), want)
			}
			_, err = storage.store.get(c.legacyKey)
			if found := err == nil; found != (acceptedEpoch == 0) {
				t.Errorf("legacy key %s found: %v", c.legacyKey, found)
			}
			want.AcceptedEpoch = 256
			if !storage.save(want) || storage.Close(time.Minute) != nil {
				t.Fatal("save failed")
			}
		}
	}
}
