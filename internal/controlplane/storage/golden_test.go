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

var update = flag.Bool("update", false, "write the golden stores anew, for a new form only")

// goldenRecord is what the golden stores hold; the two earlier forms hold a part of it.
func goldenRecord() replica.PersistentState {
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

// goldenForms are the forms of a store that are read, with the record that each holds. The first two are
// written by no program any more: their keys are set by hand.
func goldenForms() map[string]struct {
	want replica.PersistentState
	keys map[string][]byte
} {
	want := goldenRecord()
	first := replica.PersistentState{
		CaughtUp:      true,
		Members:       want.Members,
		PromisedEpoch: want.PromisedEpoch,
		Epoch:         want.Epoch,
		Chain:         want.Chain,
		Value:         replica.Value{Version: 7, Config: want.Config},
	}
	second := want
	h := storedState{
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
	numbers, list := message.MarshalAppend(nil, &legacyAcceptedVersions{want.AcceptedVersions}), sum(want.Config)
	h2 := h
	h2.AcceptedEpoch = want.AcceptedEpoch
	h2.StoreID = want.StoreID
	h2.MembershipEpoch = want.MembershipEpoch
	h2.OutgoingMembers = want.OutgoingMembers
	h2.RemovedMembers = want.RemovedMembers
	h2.RemovedByOperator = true
	h2.BootstrapTrusted = true
	h2.Seeds = want.Bootstrap.Seeds
	h2.PromisedBallot, h2.AcceptedBallot, h2.AcceptedMembers = 65, 64, want.Bootstrap.AcceptedMembers
	h2.ConfigIndex, h2.LegacyAcceptedVersions = sum(list), sum(numbers)
	text := message.MarshalAppend(nil, &h2)
	return map[string]struct {
		want replica.PersistentState
		keys map[string][]byte
	}{
		"record": {first, map[string][]byte{"record": message.MarshalAppend(nil, &h),
			"config": message.MarshalAppend(nil, &legacyConfig{7, want.Config})}},
		"past": {second, map[string][]byte{"head": append(sum(text), text...), "ranges": list,
			"range/" + string(list): want.Config, "past": numbers}},
		"head": {want, nil},
	}
}

// contents returns all keys and values of a store, a line each.
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

func writeGolden(t *testing.T, dir string, want replica.PersistentState, keys map[string][]byte) {
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if keys == nil {
		v, _, err := Open(dir)
		if err != nil || !v.save(want) || v.Close(time.Minute) != nil {
			t.Fatal("not written", err)
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

// Given stores as earlier versions of the program left them, when they are opened, then the record is the one
// that was written; and saved again, its keys and values are those that the present form has always had.
func TestStoresOfEveryFormStay(t *testing.T) {
	for form, c := range goldenForms() {
		golden := filepath.Join("testdata", form)
		if *update {
			writeGolden(t, golden, c.want, c.keys)
		}
		dir := t.TempDir()
		if err := os.CopyFS(dir, os.DirFS(golden)); err != nil {
			t.Fatal(err)
		}
		v, got, err := Open(dir)
		if err != nil || v.Damaged() != nil || !reflect.DeepEqual(got, c.want) {
			t.Fatalf("%s: %+v, %v; want %+v", form, got, err, c.want)
		}
		if !v.save(c.want) || v.Close(time.Minute) != nil {
			t.Fatalf("%s: not saved", form)
		}
		file := filepath.Join("testdata", form+".golden")
		now := contents(t, dir)
		if *update {
			if err := os.WriteFile(file, now, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		if want, err := os.ReadFile(file); err != nil || !bytes.Equal(now, want) {
			t.Errorf("%s: saved with other keys or values than before: %v", form, err)
		}
	}
}
