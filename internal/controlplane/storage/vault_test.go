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
func TestARecordOutlivesTheProcess(t *testing.T) {
	dir := t.TempDir()
	v, r, err := Open(dir)
	if err != nil || !reflect.DeepEqual(r, replica.Record{}) {
		t.Fatalf("an empty store: %+v, %v", r, err)
	}
	saved := make(chan bool)
	want := replica.Record{Whole: true, Registry: []message.Machine{{Addr: "a", Zone: "z"}}, Promised: 128}
	for version := range uint64(5) {
		want.Version, want.Config = version+1, []byte{'c', byte(version)}
		v.Save(want, func(ok bool) { saved <- ok })
		if !<-saved {
			t.Fatal("not saved")
		}
	}
	want.Epoch, want.Chain = 128, []string{"a", "b"}
	want.ID, want.Generation = 9, 128
	want.Former = []message.Machine{{Addr: "a", ID: 8, Seat: 1}}
	want.Removed, want.Barred = []message.Machine{{Addr: "b", ID: 7, Seat: 2}}, true
	want.Founding = replica.Founding{Sure: true, Seeds: []string{"a"}, Pledged: 65, Ballot: 64,
		Draft: want.Registry}
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

// Given the store of a stopped machine, when it is looked at and a core is founded anew from it, then the new
// stores hold the configuration, under epochs above all of the old ones.
func TestACoreIsFoundedAnewFromWhatIsLeft(t *testing.T) {
	dir, fresh := t.TempDir(), t.TempDir()
	v, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	old := replica.Record{Whole: true, Registry: []message.Machine{{Addr: "a"}, {Addr: "b"}, {Addr: "c"}},
		Promised: 256, Epoch: 192, Chain: []string{"a", "b"},
		Content: replica.Content{Version: 7, Config: []byte(`{"version":"r7"}`)}}
	if err := v.write(old); err != nil {
		t.Fatal(err)
	}
	if _, err := Look(dir); !trace.IsCompareFailed(err) {
		t.Errorf("a store in use: %v", err)
	}
	v.Close(time.Minute)
	s, err := Look(dir)
	if err != nil {
		t.Fatal(err)
	}
	text, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	read, err := DecodeSnapshot(text)
	if err != nil || !reflect.DeepEqual(read, s) || s.Epoch != 256 || len(s.Core) != 3 {
		t.Fatalf("%+v, %v; want %+v", read, err, s)
	}
	core := []message.Machine{{Addr: "d", Zone: "z"}, {Addr: "a", Zone: "y"}}
	if err := Found(fresh, read, core); err != nil {
		t.Fatal(err)
	}
	if err := Found(fresh, read, core); !trace.IsAlreadyExists(err) {
		t.Errorf("over a store: %v", err)
	}
	v, got, err := Open(fresh)
	if err != nil {
		t.Fatal(err)
	}
	v.Close(time.Minute)
	if !got.Whole || got.Epoch <= old.Promised || got.Promised != got.Epoch || got.Version != 7 ||
		string(got.Config) != string(old.Config) || len(got.Registry) != 2 || got.Registry[0].Addr != "a" {
		t.Errorf("%+v", got)
	}
}

func TestASnapshotThatIsNotWholeIsNotTaken(t *testing.T) {
	good := Snapshot{Form: 1, Version: 3, Config: "x", Digest: digest([]byte("x"))}
	for name, change := range map[string]func(*Snapshot){
		"form":          func(s *Snapshot) { s.Form = 2 },
		"digest":        func(s *Snapshot) { s.Config = "y" },
		"configuration": func(s *Snapshot) { s.Config, s.Digest = "", digest(nil) },
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
	if _, err := Look(t.TempDir()); !trace.IsNotFound(err) {
		t.Errorf("no store: %v", err)
	}
}

// Given the stores of machines that ran earlier programs, when they are opened, then the record is there, and
// the first save writes it in the form that there is now.
func TestAStoreOfAnEarlierFormIsTakenOver(t *testing.T) {
	want := replica.Record{Whole: true, Registry: []message.Machine{{Addr: "a", Zone: "z"}}, Promised: 192,
		Epoch: 128, Chain: []string{"a"}, Content: replica.Content{Version: 7, Config: []byte("text")}}
	numbered := want
	numbered.Past = past(70)
	h := head{Whole: true, Registry: want.Registry, Promised: 192, Epoch: 128, Chain: want.Chain, Version: 7}
	under := func(text []byte) []byte {
		sum := message.SumOf(text)
		return sum[:]
	}
	range1, whole, numberedHead := under(want.Config), message.Encode(nil, &earlierPast{numbered.Past}), h
	numberedHead.Ranges, numberedHead.Past = under(range1), under(whole)
	text := message.Encode(nil, &numberedHead)
	for _, c := range []struct {
		want replica.Record
		keys map[string][]byte
		gone []byte // a key that the first save removes
	}{
		{want, map[string][]byte{
			string(keyEarlier):       message.Encode(nil, &h),
			string(keyEarlierConfig): message.Encode(nil, &earlierConfig{7, want.Config}),
		}, keyEarlier},
		{numbered, map[string][]byte{
			string(keyHead):                append(under(text), text...),
			string(configText.list):        range1,
			string(configText.key(range1)): want.Config,
			string(keyPast):                whole,
		}, keyPast},
	} {
		dir, want := t.TempDir(), c.want
		db, err := pebble.Open(filepath.Join(dir, storeName), &pebble.Options{Logger: quiet{}})
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
			want.Stamp = 256
			if !v.save(want) || v.Close(time.Minute) != nil {
				t.Fatal("not saved")
			}
		}
	}
}
