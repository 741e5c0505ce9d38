package main

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/internal/config"
	"dunespoke/internal/lab/origin"
	"dunespoke/internal/net/direct"
)

// pattern is a body of a length, made as it is read.
type pattern struct{ at, end int64 }

func (p *pattern) Read(b []byte) (int, error) {
	if p.at == p.end {
		return 0, io.EOF
	}
	n := min(int64(len(b)), p.end-p.at)
	origin.Pattern(b[:n], p.at)
	p.at += n
	return int(n), nil
}

func sum(r io.Reader) (n int64, crc uint32, err error) {
	h := crc32.NewIEEE()
	n, err = io.Copy(h, r)
	return n, h.Sum32(), err
}

// Bodies far over what the store and the windows hold come through whole on the platform's front, several at
// once, with a length and in chunks, and the memory stays within its plan.
func TestPlatformCarriesLongBodiesInBoundedMemory(t *testing.T) {
	t.Cleanup(func() { // which the program sets for the whole process
		debug.SetMemoryLimit(math.MaxInt64)
		debug.SetGCPercent(100)
	})
	var peak atomic.Uint64
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, crc, err := sum(r.Body)
		if _, want, _ := sum(&pattern{end: n}); err != nil || crc != want {
			w.WriteHeader(500)
			return
		}
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		for old := peak.Load(); m.HeapAlloc > old && !peak.CompareAndSwap(old, m.HeapAlloc); old = peak.Load() {
		}
		if n%2 == 0 {
			w.Header().Set("Content-Length", fmt.Sprint(n))
		}
		io.Copy(w, &pattern{end: n})
	}))
	defer app.Close()
	conf := testConf(false)
	conf.Listen, conf.Limits.MemoryMB = "127.0.0.1:0", 64
	conf.Known = fmt.Appendf(nil, `{"generation":4,"reset":true,"instances":[{"instanceId":"s-1","hostPort":%q,
		"zone":"a","lifecycle":"Ready","weight":1}]}`, app.Listener.Addr())
	conf.Settings.Plans[0].Rate, conf.Settings.Plans[0].Burst = 1000, 1000
	for i := range conf.Settings.Classes {
		conf.Settings.Classes[i].Aim, conf.Settings.Classes[i].Deadline = time.Minute, time.Minute
	}
	ctx, end := context.WithCancel(t.Context())
	defer end()
	at := make(chan string, 1)
	p := &program{log: zerolog.Nop(), dial: direct.Dial, work: ctx, failed: make(chan error, 4)}
	p.listen = func(network, addr string) (net.Listener, error) {
		l, err := direct.Listen(network, addr)
		if err == nil {
			at <- l.Addr().String()
		}
		return l, err
	}
	if err := p.start(conf, config.Operator{}); err != nil {
		t.Fatal(err)
	}
	addr := <-at
	sizes := []int64{65535, 65536, 65537, 300001, 1 << 20, 3<<20 + 1, 12 << 20, 9<<20 + 1}
	var all sync.WaitGroup
	for worker := range 3 {
		all.Go(func() {
			for i := range sizes {
				size := sizes[(i+worker*3)%len(sizes)]
				if err := carry(addr, worker*100+i, size); err != nil {
					t.Errorf("%d bytes: %v", size, err)
				}
			}
		})
	}
	all.Wait()
	if most := uint64(16 << 20); peak.Load() > most {
		t.Errorf("%d bytes of memory in use, want %d at most", peak.Load(), most)
	}
	p.drain()
}

// carry sends a body through an ingress and takes one of the same length back.
func carry(addr string, id int, size int64) error {
	url := "http://" + addr + "/withdrawal?account=0000000000000007"
	q, err := http.NewRequest("POST", url, io.NopCloser(&pattern{end: size}))
	if err != nil {
		return err
	}
	if q.ContentLength = size; id%2 == 1 {
		q.ContentLength = -1 // in chunks
	}
	for name, value := range map[string]string{"X-Lane": "withdrawal", "X-Txn": fmt.Sprintf("%016x", id+1),
		"X-Contract": "basic", "X-Remaining": "50", "X-Metering": "units=1,spread=1,first=0"} {
		q.Header.Set(name, value)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	n, crc, err := sum(r.Body)
	if _, want, _ := sum(&pattern{end: size}); err != nil || r.StatusCode != 200 || n != size || crc != want {
		return fmt.Errorf("%d: %d bytes came, right: %v, %w", r.StatusCode, n, crc == want, err)
	}
	return nil
}
