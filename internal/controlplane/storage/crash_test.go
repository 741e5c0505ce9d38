package storage

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// disk is a disk in memory whose power can be cut, and that refuses what it is told to.
type disk struct {
	*vfs.MemFS
	mu     sync.Mutex // one change at a time
	n      int        // changes so far, syncs among them
	before func(n int, o operation) error
	after  func(n int, o operation) error
}

// must ends a test at an error of what it is made of.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func newDisk() *disk {
	d := &disk{MemFS: vfs.NewCrashableMem()}
	must(d.MkdirAll("data", 0o700))
	for _, name := range []string{"/", "data"} {
		f, err := d.OpenDir(name)
		must(err)
		must(f.Sync())
		must(f.Close())
	}
	return d
}

// environment are those of the program, over this disk, and with tables that fill up soon.
func (d *disk) environment() environment {
	w := diskEnvironment
	w.fs, w.memTableSize, w.retryDelay = interceptedFS{d.MemFS, d.around}, 24<<10, runtime.Gosched
	began, calls := time.Now(), time.Duration(0)
	w.now = func() time.Time { // an hour goes by between any two looks at the clock
		calls++
		return began.Add(calls * time.Hour)
	}
	return w
}

func (d *disk) around(o operation, do func() error) error {
	if o == operationRead {
		return do()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.n++
	if d.before != nil {
		if err := d.before(d.n, o); err != nil {
			return err
		}
	}
	err := do()
	if err == nil && d.after != nil {
		err = d.after(d.n, o)
	}
	return err
}

// lose is the disk after a loss of power: what was synced, and of the rest what is drawn, each block of a
// file, each new file, rename and removal by itself. It is called where nothing changes the disk.
func (d *disk) lose(percent int, rng *rand.Rand) *disk {
	left := &disk{MemFS: d.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent, RNG: rng})}
	for _, dir := range []string{"data", "data/" + storeName} {
		names, _ := left.List(dir)
		there, _ := d.List(dir)
		slices.Sort(names)
		for _, name := range names { // the clone has all that was removed without a sync
			if percent > 0 && rng.IntN(100) < percent && !slices.Contains(there, name) {
				must(left.RemoveAll(filepath.Join(dir, name)))
			}
		}
	}
	return left
}

// record is the i-th that is saved, i from 1. All share the first ranges of their configurations, which come
// to lie in tables, and no two of them the rest. Of the numbers taken, each has 24 more than the one before,
// and the same chunks but for the first and the last.
func record(i int) replica.PersistentState {
	rng := rand.New(rand.NewPCG(uint64(i), 3))
	var config []byte
	for n := range 100 {
		config = fmt.Appendf(config, `{"item_kind":"routes","metadata":{"name":"shared-%d"},"desired":{}},`, n)
	}
	for n := range 20 + rng.IntN(100) {
		config = fmt.Appendf(
			config,
			`{"item_kind":"routes","metadata":{"name":"%d-%d"},"desired":{"x":"%x"}},`,
			i,
			n,
			rng.Uint64(),
		)
	}
	if i%3 == 0 { // as the one before, but for its epoch
		r := record(i - 1)
		r.PromisedEpoch, r.Epoch = uint64(64*i), uint64(64*i)
		return r
	}
	return replica.PersistentState{
		CaughtUp:      true,
		Members:       []message.Node{{Addr: "a", Zone: "z"}},
		PromisedEpoch: uint64(64 * i),
		Epoch:         uint64(64 * i),
		Chain:         []string{"a", "b"},
		Value: replica.Value{
			AcceptedEpoch:    uint64(64 * i),
			Version:          uint64(i),
			Config:           config,
			AcceptedVersions: past(24 * i),
		},
	}
}

// past are the numbers up to one: 64 of them, and what is dropped with the next chunk.
func past(last int) (list []message.AcceptedVersion) {
	const perChunk = message.AcceptedVersionsPerChunk
	for n := max(0, last-64) / perChunk * perChunk; n < last; n++ {
		sum := message.DigestOf([]byte{byte(n), byte(n >> 8)})
		list = append(list, message.AcceptedVersion{Version: uint64(n + 1), Digest: sum})
	}
	return list
}

// number tells which record one is; -1: none that was ever saved.
func number(r replica.PersistentState) int {
	i := int(r.PromisedEpoch / 64)
	if i == 0 && reflect.DeepEqual(r, replica.PersistentState{}) || i > 0 && reflect.DeepEqual(r, record(i)) {
		return i
	}
	return -1
}

func (s *Storage) save(r replica.PersistentState) bool {
	told := make(chan bool)
	s.Save(r, func(ok bool) { told <- ok })
	return <-told
}

// holds opens what a disk holds, and says what is wrong with it, if the record of a number was told as saved.
func holds(d *disk, w environment, told int) string {
	w.fs = interceptedFS{d.MemFS, d.around}
	v, r, err := open("data", w)
	if err != nil {
		return fmt.Sprint("it does not open: ", err)
	}
	defer v.Close(time.Minute)
	switch i := number(r); {
	case v.Damaged() != nil:
		return fmt.Sprint("it is damaged: ", v.Damaged())
	case i < 0:
		return fmt.Sprintf("it holds what was never saved: stamp %d, version %d", r.AcceptedEpoch, r.Version)
	case i < told:
		return fmt.Sprintf("it holds record %d, and %d was told as saved", i, told)
	case !v.save(record(i + 1)):
		return "it takes no more"
	}
	return ""
}

// outage saves records while the power goes at each change of the disk in turn, each time with a loss of its
// own, and returns what is found wrong first.
func outage(change func(*environment), saves int) (found string, changes int) {
	d := newDisk()
	rng := rand.New(rand.NewPCG(7, 1))
	var told atomic.Int64
	w := d.environment()
	change(&w)
	d.before = func(n int, _ operation) error {
		for _, percent := range []int{0, 50} {
			if found != "" || n%2 != percent/50 {
				continue
			}
			if f := holds(d.lose(percent, rng), w, int(told.Load())); f != "" {
				found = fmt.Sprintf("power lost at change %d, %d%% of the rest kept: %s", n, percent, f)
			}
		}
		return nil
	}
	v, _, err := open("data", w)
	if err != nil {
		return err.Error(), 0
	}
	for i := 1; i <= saves; i++ {
		if v.save(record(i)) {
			told.Store(int64(i))
		}
	}
	v.Close(time.Minute)
	return found, d.n
}

// Given records that are saved one after the other, when the power goes at any change of the disk, and what
// was not synced is kept or lost piece by piece, then the store opens, with a record at least as new as the
// last that was told as saved, and all of that one.
func TestALossOfPowerAnywhere(t *testing.T) {
	found, changes := outage(func(*environment) {}, 40)
	if found != "" {
		t.Error(found)
	}
	t.Logf("%d changes of the disk", changes)
	if changes < 200 {
		t.Errorf("only %d changes of the disk: no table was written", changes)
	}
}

// Seeded defects, each of which the test above finds.
func TestALossOfPowerFinds(t *testing.T) {
	for name, defect := range map[string]func(*environment){
		"a save told before its sync": func(w *environment) {
			w.commit = func(db *pebble.DB, b *pebble.Batch) error { return db.Apply(b, pebble.NoSync) }
		},
		"a record written in two batches": func(w *environment) {
			w.commit = inParts
		},
	} {
		found, _ := outage(defect, 20)
		if found == "" {
			t.Errorf("%s: not found", name)
		}
		t.Log(name, "->", found)
	}
}

// inParts commits each key of a batch by itself.
func inParts(db *pebble.DB, b *pebble.Batch) error {
	for r := b.Reader(); len(r) > 0; {
		kind, key, value, ok, err := r.Next()
		if !ok || err != nil {
			return err
		}
		if kind == pebble.InternalKeyKindDelete {
			err = db.Delete(key, pebble.Sync)
		} else {
			err = db.Set(key, value, pebble.Sync)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// refusals are how a disk refuses changes, told by how far past the first one it is.
type refusals struct {
	name          string
	before, after func(past int) error
}

// full refuses all from a change on.
var full = refusals{"all are refused", func(int) error { return syscall.ENOSPC }, nil}

// play saves records on a disk that begins to refuse at a change, and is well again once three saves have
// failed. It returns how many failed, whether the change came at all, and what is found wrong.
func (c refusals) play(at int, change func(*environment)) (failed int, begun bool, found string) {
	const saves = 14
	d := newDisk()
	w := d.environment()
	change(&w)
	var began atomic.Bool
	around := func(f func(int) error) func(int, operation) error {
		return func(n int, _ operation) error {
			if f == nil || n < at {
				return nil
			}
			began.Store(true)
			return f(n - at)
		}
	}
	d.before, d.after = around(c.before), around(c.after)
	if c.after != nil && at%2 == 0 {
		d.before = nil
	} else {
		d.after = nil
	}
	v, _, err := open("data", w)
	if err != nil {
		return 0, began.Load(), fmt.Sprint("not opened: ", err)
	}
	told := 0
	for i := 1; told < saves && failed <= 6; i++ {
		if v.save(record(i)) {
			told = i
			continue
		}
		if !began.Load() {
			return failed, false, fmt.Sprintf("save %d failed before", i)
		}
		if failed++; failed == 3 { // it is well again
			d.mu.Lock()
			d.before, d.after = nil, nil
			d.mu.Unlock()
		}
	}
	if told < saves {
		return failed, began.Load(), fmt.Sprintf("%d saves of %d, %d failed", told, saves, failed)
	}
	d.mu.Lock()
	d.before, d.after = nil, nil
	left := d.lose(0, nil)
	d.mu.Unlock()
	found = holds(left, d.environment(), told)
	v.Close(time.Minute)
	return failed, began.Load(), found
}

// Given a disk that refuses a change, any one or all from there on, or that says so of a change that it made,
// when it takes changes again, then so does the storage, and it never told as saved what it doesn't hold.
func TestARefusalAnywhere(t *testing.T) {
	one := func(past int) error {
		if past > 0 {
			return nil
		}
		return syscall.ENOSPC
	}
	for _, c := range []refusals{full, {"one is refused, or is made and said to have failed", one, one}} {
		refused, at := 0, 1
		for begun := true; begun; at++ {
			var failed int
			var found string
			if failed, begun, found = c.play(at, func(*environment) {}); found != "" {
				t.Fatalf("%s, at change %d: %s", c.name, at, found)
			}
			refused += failed
		}
		t.Logf("%s: at %d changes, %d saves failed", c.name, at-1, refused)
		if refused == 0 {
			t.Errorf("%s: no save failed", c.name)
		}
	}
}

// seeded names the defect that a test process is to play instead of its tests: those that end the process.
const seeded = "VAULT_SEEDED_DEFECT"

// Seeded defects of what stands between pebble and a full disk, each of which ends the process, so that
// another is started for each. The first is none: with the fence that process ends well.
func TestARefusalFinds(t *testing.T) {
	unfenced := func(l func(*pebbleStore) pebble.Logger) func(*pebbleStore, *pebble.Options) {
		return func(s *pebbleStore, o *pebble.Options) { o.FS, o.Logger = s.fs, l(s) }
	}
	ownLogger := unfenced(func(*pebbleStore) pebble.Logger { return pebble.DefaultLogger })
	d := newDisk()
	v, _, err := open("data", d.environment())
	if err != nil || !v.save(record(1)) || v.Close(time.Minute) != nil {
		t.Fatal("no store: ", err)
	}
	defects := []struct {
		name   string
		guard  func(*pebbleStore, *pebble.Options)
		from   int // the first change at which the disk is full
		memory uint64
		code   int
		says   string
	}{
		{"none", guardPebble, 1, d.environment().memTableSize, 0, "PASS"},
		{"pebble meets a full disk as it opens", ownLogger, 1, d.environment().memTableSize, 1,
			"MANIFEST flush failed: no space left"},
		{
			"pebble meets a full disk at a save",
			ownLogger,
			d.n,
			diskEnvironment.memTableSize,
			1, // no table comes first
			"pebble: fatal commit error: no space left",
		},
		{"Fatalf alone is held back", unfenced(func(s *pebbleStore) pebble.Logger { return quietLogger{s} }), d.n,
			d.environment().memTableSize, 2, "fatal error: sync: unlock of unlocked mutex"},
	}
	for _, c := range defects {
		if os.Getenv(seeded) != c.name {
			continue
		}
		for at, begun := c.from, true; begun; at++ {
			var found string
			_, begun, found = full.play(at, func(w *environment) { w.guard, w.memTableSize = c.guard, c.memory })
			if found != "" {
				t.Errorf("at change %d: %s", at, found)
			}
		}
		return
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	for _, c := range defects {
		cmd := exec.CommandContext(ctx, os.Args[0], "-test.run=^"+t.Name()+"$")
		cmd.Env = append(os.Environ(), seeded+"="+c.name)
		out, err := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != c.code || !bytes.Contains(out, []byte(c.says)) {
			t.Errorf("%s: ended with %v; want %d, %q:\n%.3000s", c.name, err, c.code, c.says, out)
		}
		t.Logf("%s -> %d, %s", c.name, c.code, c.says)
	}
}

// Given a disk that takes nothing, when a machine starts on it, then it has the record that is there, its
// saves fail, and once the disk is well they don't. The same at each change that opening makes.
func TestAStartOnADiskThatTakesNothing(t *testing.T) {
	for _, saves := range []int{0, 1, 14} {
		old := newDisk()
		v, _, err := open("data", old.environment())
		if err != nil {
			t.Fatal(err)
		}
		for i := 1; i <= saves; i++ {
			v.save(record(i))
		}
		old.mu.Lock()
		left := func() *disk { return old.lose(100, rand.New(rand.NewPCG(1, 1))) }
		for at := 1; ; at++ {
			d := left()
			d.before = func(n int, _ operation) error {
				if n < at {
					return nil
				}
				return syscall.ENOSPC
			}
			v, r, err := open("data", d.environment())
			if err != nil || v.Damaged() != nil || number(r) != saves {
				t.Fatalf("%d saves, full from change %d on: record %d, %v, %v", saves, at, number(r), err, v.Damaged())
			}
			d.mu.Lock()
			opened := d.n < at
			d.mu.Unlock()
			if !opened && v.save(record(saves+1)) {
				t.Fatalf("%d saves, full from change %d on: a save went well", saves, at)
			}
			d.mu.Lock()
			d.before = nil
			d.mu.Unlock()
			for n := 0; !v.save(record(saves + 2)); n++ {
				if n > 3 {
					t.Fatalf("%d saves, full from change %d on: no save goes well again", saves, at)
				}
			}
			d.mu.Lock()
			f := holds(d.lose(0, nil), d.environment(), saves+2)
			d.mu.Unlock()
			if f != "" {
				t.Fatalf("%d saves, full from change %d on: %s", saves, at, f)
			}
			v.Close(time.Minute)
			if opened {
				break
			}
		}
		old.mu.Unlock()
		v.Close(time.Minute)
	}
}

// Given a disk that hangs at any change, when more is to be saved, then nothing is told until it goes on, and
// then all of it, in order; and a close does not wait for the disk.
func TestAHangAnywhere(t *testing.T) {
	const saves = 14
	for at := 1; ; at++ {
		d := newDisk()
		hung, on := make(chan struct{}), make(chan struct{})
		d.before = func(n int, _ operation) error {
			if n == at {
				close(hung)
				<-on
			}
			return nil
		}
		var order []int
		opened := make(chan *Storage, 1)
		told := make(chan int, saves)
		go func() {
			v, _, err := open("data", d.environment())
			if err != nil {
				t.Error(err)
			}
			for i := 1; i <= saves; i++ {
				v.Save(record(i), func(ok bool) {
					if !ok {
						i = -i
					}
					told <- i
				})
			}
			opened <- v
		}()
		closed := false
		for len(order) < saves {
			select {
			case i := <-told:
				order = append(order, i)
			case <-hung:
				hung = nil
				if len(opened) > 0 {
					v := <-opened
					if err := v.Close(time.Millisecond); err == nil {
						t.Fatalf("hung at change %d: closed", at)
					}
					opened <- v
					closed = true
				}
				close(on)
			}
		}
		if hung != nil { // it may hang yet, at what goes on behind the saves
			close(on)
		}
		for i, got := range order {
			if got != i+1 {
				t.Fatalf("hung at change %d: told %v", at, order)
			}
		}
		d.mu.Lock()
		d.before = nil
		f, changes := holds(d.lose(0, nil), d.environment(), saves), d.n
		d.mu.Unlock()
		if f != "" {
			t.Fatalf("hung at change %d: %s", at, f)
		}
		if v := <-opened; !closed {
			v.Close(time.Minute)
		}
		if changes < at {
			break
		}
	}
}

// damages opens a store of which one thing was altered, and says what is wrong: it must be told, and nothing
// of it served; and the machine can keep what it is given next.
func damages(d *disk, w environment) string {
	w.fs = interceptedFS{d.MemFS, d.around}
	v, r, err := open("data", w)
	if err != nil {
		return fmt.Sprint("it does not open: ", err)
	}
	defer v.Close(time.Minute)
	switch {
	case v.Damaged() == nil && number(r) < 0:
		return fmt.Sprintf("it serves what was never saved: stamp %d, version %d", r.AcceptedEpoch, r.Version)
	case v.Damaged() != nil && !reflect.DeepEqual(r, replica.PersistentState{}):
		return "it is told as damaged, and served"
	}
	for n := 0; !v.save(record(50)); n++ { // the damage may show only now
		if n == 3 {
			return "it takes no more"
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return holds(d.lose(0, nil), w, 50)
}

// altered calls f with stores of which one key each has another value, or none.
func altered(t *testing.T, f func(key string, d *disk)) {
	d := newDisk()
	v, _, err := open("data", d.environment())
	if err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= 5; i++ {
		v.save(record(i))
	}
	keys := map[string][]byte{}
	i, _ := v.store.db.NewIter(nil)
	for i.First(); i.Valid(); i.Next() {
		keys[string(i.Key())] = bytes.Clone(i.Value())
	}
	i.Close()
	v.Close(time.Minute)
	if len(keys) < 8 {
		t.Fatalf("%d keys", len(keys))
	}
	for key, value := range keys {
		for _, drop := range []bool{false, true} {
			left := d.lose(100, rand.New(rand.NewPCG(1, 1)))
			db, err := pebble.Open("data/"+storeName, &pebble.Options{FS: left.MemFS,
				Logger: quietLogger{&pebbleStore{}}})
			if err != nil {
				t.Fatal(err)
			}
			if drop {
				must(db.Delete([]byte(key), pebble.Sync))
			} else {
				value[len(value)/2] ^= 1
				must(db.Set([]byte(key), value, pebble.Sync))
			}
			db.Close()
			if !drop || key != string(keyState) { // without a head it is an empty store
				f(key, left)
			}
		}
	}
}

// Given a store in which any one value is not as it was written, when a machine starts on it, then it is told
// as damaged, laid aside, and nothing of it is served.
func TestADamagedStoreIsNotServed(t *testing.T) {
	altered(t, func(key string, d *disk) {
		if f := damages(d, d.environment()); f != "" {
			t.Errorf("%q: %s", key, f)
		}
		if _, err := d.Stat("data/" + damagedName); err != nil {
			t.Errorf("%q: not laid aside: %v", key, err)
		}
	})
}

// Seeded defect: a store that is read without a look at the digests. The test above finds it by the head, by
// a range and by a chunk of numbers. A list that is altered has a digest under which nothing lies.
func TestADamagedStoreFinds(t *testing.T) {
	found := map[string]string{}
	altered(t, func(key string, d *disk) {
		w := d.environment()
		w.verify = func(message.Digest, []byte) bool { return true }
		if f := damages(d, w); f != "" {
			kind, _, _ := strings.Cut(key, "/")
			found[kind] = fmt.Sprintf("%q: %s", key, f)
		}
	})
	for _, kind := range []string{"head", "range", "chunk"} {
		if found[kind] == "" {
			t.Errorf("%s: not found", kind)
		}
		t.Log(found[kind])
	}
}

// Given a store of which any file is cut off, altered or gone, when a machine starts on it, then it is told
// as damaged, or what it serves was saved once, all of it.
func TestAFileThatIsNotAsItWasWritten(t *testing.T) {
	d := newDisk()
	v, _, err := open("data", d.environment())
	if err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= 24; i++ {
		v.save(record(i))
	}
	v.Close(time.Minute)
	names, _ := d.List("data/" + storeName)
	slices.Sort(names)
	tried, told := 0, 0
	for _, name := range names {
		path := filepath.Join("data", storeName, name)
		text, err := d.UnsafeGetFileDataBuffer(path)
		if err != nil {
			t.Fatal(err)
		}
		text = bytes.Clone(text)
		for part := range 4 {
			at := len(text) * part / 4
			flipped := bytes.Clone(text)
			if len(text) > 0 {
				flipped[at] ^= 0x20
			}
			for what, now := range map[string][]byte{"cut off": text[:at], "altered": flipped} {
				left := d.lose(100, rand.New(rand.NewPCG(1, 1)))
				f, err := left.Create(path, "")
				if err != nil {
					t.Fatal(err)
				}
				_, err = f.Write(now)
				must(err)
				must(f.Sync())
				must(f.Close())
				if f := damages(left, left.environment()); f != "" {
					t.Errorf("%s %s at %d of %d: %s", name, what, at, len(text), f)
				}
				tried++
				if _, err := left.Stat("data/" + damagedName); err == nil {
					told++
				}
			}
		}
	}
	t.Logf("%d tried, %d told as damaged", tried, told)
}
