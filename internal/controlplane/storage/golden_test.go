package storage

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

var update = flag.Bool("update", false, "rewrite the golden stores, for a new format only")

// goldenState returns the state in the golden stores. Those of the two earlier formats contain a part of it.
func goldenState() replica.PersistentState {
	config := []byte(`{"version":"r7","items_of":[` +
		`{"item_kind":"routes","metadata":{"name":"a"},"desired":{"domain":"a.example"}},` +
		`{"item_kind":"limits","metadata":{},"desired":{"idle_s":15}}]}`)
	members := []message.Node{{Addr: "10.1.0.1:7560", Zone: "z1", StoreID: 11, ProposerID: 1},
		{Addr: "10.2.0.1:7560", Zone: "z2", StoreID: 12, ProposerID: 2}}
	return replica.PersistentState{
		CaughtUp:        true,
		StoreID:         11,
		Members:         members,
		MembershipEpoch: 130,
		OutgoingMembers: []message.Node{{Addr: "10.3.0.1:7560", Zone: "z3", StoreID: 13, ProposerID: 3}},
		RemovedMembers: []message.Node{
			{Addr: "10.4.0.1:7560", Zone: "z4", StoreID: 14, ProposerID: 4},
		},
		RemovedByOperator: true,
		PromisedEpoch:     258,
		Epoch:             193,
		Chain:             []string{"10.1.0.1:7560", "10.2.0.1:7560"},
		Value: replica.Value{AcceptedEpoch: 193, Version: 7, Config: config,
			AcceptedVersions: []message.AcceptedVersion{{Version: 5, Digest: message.DigestOf([]byte("five"))},
				{Version: 7, Digest: message.DigestOf(config)}}},
		Bootstrap: replica.BootstrapState{
			Trusted:         true,
			Seeds:           []string{"10.1.0.1:7560"},
			PromisedBallot:  65,
			AcceptedBallot:  64,
			AcceptedMembers: members,
		},
	}
}

// goldenFormats returns the supported formats of a store by name, each with the expected state. The first two
// are no longer written, so that their keys are listed here.
func goldenFormats() map[string]struct {
	want replica.PersistentState
	keys map[string][]byte
} {
	want := goldenState()
	first := replica.PersistentState{
		CaughtUp:      true,
		Members:       want.Members,
		PromisedEpoch: want.PromisedEpoch,
		Epoch:         want.Epoch,
		Chain:         want.Chain,
		Value:         replica.Value{Version: 7, Config: want.Config},
	}
	second := want
	stored1 := storedState{
		CaughtUp:      true,
		Members:       want.Members,
		PromisedEpoch: want.PromisedEpoch,
		Epoch:         want.Epoch,
		Chain:         want.Chain,
		Version:       7,
	}
	sum := func(text []byte) []byte {
		s := message.DigestOf(text)
		return s[:]
	}
	accepted, index := message.MarshalAppend(nil, &legacyAcceptedVersions{want.AcceptedVersions}),
		sum(want.Config)
	stored2 := stored1
	stored2.AcceptedEpoch = want.AcceptedEpoch
	stored2.StoreID = want.StoreID
	stored2.MembershipEpoch = want.MembershipEpoch
	stored2.OutgoingMembers = want.OutgoingMembers
	stored2.RemovedMembers = want.RemovedMembers
	stored2.RemovedByOperator = true
	stored2.BootstrapTrusted = true
	stored2.Seeds = want.Bootstrap.Seeds
	stored2.PromisedBallot, stored2.AcceptedBallot, stored2.AcceptedMembers =
		65, 64, want.Bootstrap.AcceptedMembers
	stored2.ConfigIndex, stored2.LegacyAcceptedVersions = sum(index), sum(accepted)
	text := message.MarshalAppend(nil, &stored2)
	return map[string]struct {
		want replica.PersistentState
		keys map[string][]byte
	}{
		"record": {first, map[string][]byte{"record": message.MarshalAppend(nil, &stored1),
			"config": message.MarshalAppend(nil, &legacyConfig{7, want.Config})}},
		"past": {second, map[string][]byte{"head": append(sum(text), text...), "ranges": index,
			"range/" + string(index): want.Config, "past": accepted}},
		"head": {want, nil},
	}
}

// contents returns all keys and values of a store in hexadecimal, one line each.
func contents(t *testing.T, dir string) []byte {
	db, err := pebble.Open(filepath.Join(dir, "vault"), &pebble.Options{Logger: quietLogger{}})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	it, err := db.NewIter(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer it.Close()
	var out bytes.Buffer
	for ok := it.First(); ok; ok = it.Next() {
		fmt.Fprintf(&out, "%s %s\n", hex.EncodeToString(it.Key()), hex.EncodeToString(it.Value()))
	}
	return out.Bytes()
}

// writeGolden rewrites a golden store: from its keys, or if they are nil, by saving the state.
func writeGolden(t *testing.T, dir string, want replica.PersistentState, keys map[string][]byte) {
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if keys == nil {
		storage, _, err := Open(dir)
		if err != nil || !storage.save(want) || storage.Close(time.Minute) != nil {
			t.Fatal("can't write the golden store: ", err)
		}
		return
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	db, err := pebble.Open(filepath.Join(dir, "vault"), &pebble.Options{Logger: quietLogger{}})
	if err != nil {
		t.Fatal(err)
	}
	for key, value := range keys {
		if err := db.Set([]byte(key), value, pebble.Sync); err != nil {
			t.Fatal(err)
		}
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
}

// Stores of all formats are opened with the state that was written. After a save, their keys and values are
// exactly those of the golden files, so that an unintended change of the present format is detected.
func TestStoresOfAllFormats(t *testing.T) {
	for format, c := range goldenFormats() {
		golden := filepath.Join("testdata", format)
		if *update {
			writeGolden(t, golden, c.want, c.keys)
		}
		dir := t.TempDir()
		if err := os.CopyFS(dir, os.DirFS(golden)); err != nil {
			t.Fatal(err)
		}
		storage, got, err := Open(dir)
		if err != nil || storage.Damaged() != nil || !reflect.DeepEqual(got, c.want) {
			t.Fatalf("%s: %+v, %v; want %+v", format, got, err, c.want)
		}
		if !storage.save(c.want) || storage.Close(time.Minute) != nil {
			t.Fatalf("%s: save failed", format)
		}
		file := filepath.Join("testdata", format+".golden")
		saved := contents(t, dir)
		if *update {
			if err := os.WriteFile(file, saved, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		if want, err := os.ReadFile(file); err != nil || !bytes.Equal(saved, want) {
			t.Errorf("%s: saved keys or values differ from the golden file: %v", format, err)
		}
	}
}
