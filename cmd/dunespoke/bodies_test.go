package main

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"testing"
	"time"

	"dunespoke/internal/config"
	"dunespoke/internal/lab/origin"
)

// The platform front forwards concurrent bodies far larger than its store and windows unchanged, with a
// Content-Length and chunked, and keeps its memory below a limit.
func TestPlatformForwardsLongBodiesInBoundedMemory(t *testing.T) {
	t.Cleanup(func() { // the program sets both for the test process
		debug.SetMemoryLimit(math.MaxInt64)
		debug.SetGCPercent(100)
	})
	body, peak := make([]byte, 12<<20), uint64(0)
	origin.Pattern(body, 0)
	var mu sync.Mutex
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := comparePrefix(r.Body, body)
		live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		mu.Lock()
		runtime.GC()
		metrics.Read(live) // allocations after the collection are mostly garbage and aren't counted
		peak = max(peak, live[0].Value.Uint64())
		mu.Unlock()
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
		} else if n%2 == 0 {
			w.Header().Set("Content-Length", fmt.Sprint(n))
		}
		w.Write(body[:n])
	}))
	defer app.Close()
	conf := testConf(false)
	conf.Listen, conf.Limits.MemoryMB = "127.0.0.1:0", 64
	conf.Known = bytes.ReplaceAll(conf.Known, []byte(`"app"`), fmt.Appendf(nil, "%q", app.Listener.Addr()))
	conf.Settings.Plans[0].Burst = 1000
	for i := range conf.Settings.Classes {
		conf.Settings.Classes[i].Aim, conf.Settings.Classes[i].Deadline = time.Minute, time.Minute
	}
	addr := startOnLoopback(t, conf, config.Operator{})
	sizes := []int{65535, 65536, 65537, 300001, 1 << 20, 3<<20 + 1, 12 << 20, 9<<20 + 1}
	var all sync.WaitGroup
	for id := range 3 * len(sizes) {
		if id%3 == 0 {
			all.Wait()
		}
		all.Go(func() {
			var from io.Reader = bytes.NewReader(body[:sizes[(id+id%3*3)%len(sizes)]])
			if id%2 == 1 {
				from = io.MultiReader(from) // hides the length, so that the body is chunked
			}
			q, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/withdrawal?account=0000000000000007", from)
			q.Header = http.Header{"X-Lane": {"withdrawal"}, "X-Txn": {fmt.Sprintf("%016x", id+1)},
				"X-Contract": {"basic"}, "X-Remaining": {"50"}, "X-Metering": {"units=1,spread=1,first=0"}}
			r, err := http.DefaultClient.Do(q)
			if err != nil {
				t.Error(err)
				return
			}
			defer r.Body.Close()
			n, err := comparePrefix(r.Body, body)
			if want := sizes[(id+id%3*3)%len(sizes)]; err != nil || r.StatusCode != http.StatusOK || n != want {
				t.Errorf("%d bytes: status %d, received %d, %v", want, r.StatusCode, n, err)
			}
		})
	}
	all.Wait()
	if most := uint64(len(body) + 14<<20); peak > most {
		t.Errorf("%d bytes of memory in use, want at most %d", peak, most)
	}
}

// comparePrefix reads r to its end and checks that its content is a prefix of want. n is the length.
func comparePrefix(r io.Reader, want []byte) (n int, err error) {
	buf := make([]byte, 32<<10)
	for {
		k, err := r.Read(buf)
		if n+k > len(want) || !bytes.Equal(buf[:k], want[n:n+k]) {
			return n, fmt.Errorf("wrong bytes from %d on", n)
		}
		if n += k; err != nil {
			if err == io.EOF {
				err = nil
			}
			return n, err
		}
	}
}
