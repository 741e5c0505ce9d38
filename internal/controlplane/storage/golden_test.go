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
func goldenRecord() replica.Record {
	config := []byte(`{"version":"r7","items_of":[` +
		`{"item_kind":"routes","metadata":{"name":"a"},"desired":{"domain":"a.example"}},` +
		`{"item_kind":"limits","metadata":{},"desired":{"idle_s":15}}]}`)
	members := []message.Machine{{Addr: "10.1.0.1:7560", Zone: "z1", ID: 11, Seat: 1},
		{Addr: "10.2.0.1:7560", Zone: "z2", ID: 12, Seat: 2}}
	return replica.Record{Whole: true, ID: 11, Registry: members, Generation: 130,
		Former:  []message.Machine{{Addr: "10.3.0.1:7560", Zone: "z3", ID: 13, Seat: 3}},
		Removed: []message.Machine{{Addr: "10.4.0.1:7560", Zone: "z4", ID: 14, Seat: 4}}, Barred: true,
		Promised: 258, Epoch: 193, Chain: []string{"10.1.0.1:7560", "10.2.0.1:7560"},
		Content: replica.Content{Stamp: 193, Version: 7, Config: config,
			Past: []message.Taken{{Version: 5, Digest: message.SumOf([]byte("five"))},
				{Version: 7, Digest: message.SumOf(config)}}},
		Founding: replica.Founding{Sure: true, Seeds: []string{"10.1.0.1:7560"}, Pledged: 65, Ballot: 64,
			Draft: members}}
}

// goldenForms are the forms of a store that are read, with the record that each holds. The first two are
// written by no program any more: their keys are set by hand.
func goldenForms() map[string]struct {
	want replica.Record
	keys map[string][]byte
} {
	want := goldenRecord()
	first := replica.Record{Whole: true, Registry: want.Registry, Promised: want.Promised, Epoch: want.Epoch,
		Chain: want.Chain, Content: replica.Content{Version: 7, Config: want.Config}}
	second := want
	h := head{
		Whole:    true,
		Registry: want.Registry,
		Promised: want.Promised,
		Epoch:    want.Epoch,
		Chain:    want.Chain,
		Version:  7,
	}
	sum := func(text []byte) []byte {
		s := message.SumOf(text)
		return s[:]
	}
	numbers, list := message.Encode(nil, &earlierPast{want.Past}), sum(want.Config)
	h2 := h
	h2.Stamp, h2.ID, h2.Generation, h2.Former = want.Stamp, want.ID, want.Generation, want.Former
	h2.Removed, h2.Barred, h2.Sure, h2.Seeds = want.Removed, true, true, want.Founding.Seeds
	h2.Pledged, h2.Ballot, h2.Draft = 65, 64, want.Founding.Draft
	h2.Ranges, h2.Past = sum(list), sum(numbers)
	text := message.Encode(nil, &h2)
	return map[string]struct {
		want replica.Record
		keys map[string][]byte
	}{
		"record": {first, map[string][]byte{"record": message.Encode(nil, &h),
			"config": message.Encode(nil, &earlierConfig{7, want.Config})}},
		"past": {second, map[string][]byte{"head": append(sum(text), text...), "ranges": list,
			"range/" + string(list): want.Config, "past": numbers}},
		"head": {want, nil},
	}
}

// contents returns all keys and values of a store, a line each.
func contents(t *testing.T, dir string) []byte {
	db, err := pebble.Open(filepath.Join(dir, "vault"), &pebble.Options{Logger: quiet{}})
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

func writeGolden(t *testing.T, dir string, want replica.Record, keys map[string][]byte) {
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
	db, err := pebble.Open(filepath.Join(dir, "vault"), &pebble.Options{Logger: quiet{}})
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
