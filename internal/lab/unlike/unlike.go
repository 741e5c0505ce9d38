// Package unlike makes transfers of unlike speeds, all at once, half up and half down, and counts what became
// of them. It is for loopback addresses, and bounded in count, bytes and time.
package unlike

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunespoke/internal/lab/origin"
)

// Options set up the transfers.
type Options struct {
	URL   string // of a front before an origin
	Count int
	For   time.Duration // each is as long as its rate makes it last so long
	Slow  string        // which side sets the pace: "client" or "server"
}

// Report is what became of them.
type Report struct {
	Done, Failed, Wrong, Refused int
	Bytes                        int64
	First                        error // of those that failed
}

// Rate is the speed of the i-th transfer of many, in bytes a second: of 100, 90 at 2 to 64 KB/s, 9 at 1 MB/s,
// one at 50 MB/s.
func Rate(i int) float64 {
	switch i % 100 {
	case 99:
		return 50e6
	case 9, 19, 29, 39, 49, 59, 69, 79, 89:
		return 1e6
	}
	return 2e3 * float64(int(1)<<(i%6))
}

// Limits of what may be asked for.
const (
	mostCount = 4000
	mostTime  = 10 * time.Minute
)

var errLimits = errors.New("transfers: want up to 4000, for up to 10m, before a loopback address")

// Check reports whether a URL and bounds are ones that a laboratory may use.
func Check(address string, count int, d time.Duration) error {
	u, err := url.Parse(address)
	if err != nil {
		return fmt.Errorf("transfers: %w", err)
	}
	ip := net.ParseIP(u.Hostname())
	if ip == nil || !ip.IsLoopback() || count < 1 || count > mostCount || d <= 0 || d > mostTime {
		return errLimits
	}
	return nil
}

// Client returns one with connections enough.
func Client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: mostCount, MaxIdleConns: mostCount,
		DisableCompression: true}}
}

// Run makes the transfers, and tells how many are running by the function it is given, when all have begun.
func Run(ctx context.Context, o Options, running func()) (*Report, error) {
	if err := Check(o.URL, o.Count, o.For); err != nil {
		return nil, err
	}
	client := Client()
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var wait sync.WaitGroup
	var begun atomic.Int64
	r := &Report{}
	for i := range o.Count {
		wait.Add(1)
		go func() {
			defer wait.Done()
			n, err := one(ctx, client, &o, i, func() {
				if begun.Add(1) == int64(o.Count) && running != nil {
					go running()
				}
			})
			mu.Lock()
			defer mu.Unlock()
			r.Bytes += n
			switch {
			case err == nil:
				r.Done++
				return
			case errors.Is(err, errRefused):
				r.Refused++
			case strings.Contains(err.Error(), "wrong bytes"):
				r.Wrong++
			default:
				r.Failed++
			}
			if r.First == nil {
				r.First = err
			}
		}()
		time.Sleep(time.Millisecond) // or the listener's queue would be measured
	}
	wait.Wait()
	return r, nil
}

var errRefused = errors.New("refused")

// one makes the i-th transfer.
func one(ctx context.Context, client *http.Client, o *Options, i int, begun func()) (int64, error) {
	rate := Rate(i)
	total := int64(rate * o.For.Seconds())
	client0, server0 := rate, float64(0)
	if o.Slow == "server" {
		client0, server0 = 0, rate
	}
	account := fmt.Sprint("c", i)
	if i%2 == 0 {
		address := fmt.Sprintf("%s/down?bytes=%d&rate=%.0f", o.URL, total, server0)
		r, err := ask(ctx, client, "GET", address, account, nil, -1)
		if err != nil {
			return 0, err
		}
		defer r.Body.Close()
		begun()
		n, err := origin.Take(r.Body, client0)
		if err == nil && n != total {
			err = fmt.Errorf("%d bytes of %d", n, total)
		}
		return n, err
	}
	reader, writer := io.Pipe()
	go func() {
		begun()
		_, err := origin.Send(writer, 0, total, client0)
		writer.CloseWithError(err)
	}()
	r, err := ask(ctx, client, "PUT", fmt.Sprintf("%s/up?rate=%.0f", o.URL, server0), account, reader, total)
	if err != nil {
		reader.CloseWithError(err)
		return 0, err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err == nil && string(text) != fmt.Sprint(total) {
		err = fmt.Errorf("the server got %s of %d", text, total)
	}
	return total, err
}

// Bulk makes one transfer of so many bytes as fast as it goes.
func Bulk(ctx context.Context, client *http.Client, address string, total int64, down bool) error {
	if err := Check(address, 1, time.Second); err != nil {
		return err
	}
	if down {
		r, err := ask(ctx, client, "GET", fmt.Sprintf("%s/down?bytes=%d", address, total), "bulk", nil, -1)
		if err != nil {
			return err
		}
		defer r.Body.Close()
		n, err := io.Copy(io.Discard, r.Body)
		if err == nil && n != total {
			err = fmt.Errorf("%d bytes of %d", n, total)
		}
		return err
	}
	reader, writer := io.Pipe()
	go func() {
		_, err := origin.Send(writer, 0, total, 0)
		writer.CloseWithError(err)
	}()
	r, err := ask(ctx, client, "PUT", address+"/up", "bulk", reader, total)
	if err != nil {
		reader.CloseWithError(err)
		return err
	}
	return r.Body.Close()
}

func ask(ctx context.Context, client *http.Client, method, address, account string, body io.Reader,
	length int64) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return nil, err
	}
	q.Header.Set("X-Account", account)
	if body != nil && length >= 0 {
		q.ContentLength = length
	}
	r, err := client.Do(q)
	if err != nil {
		return nil, err
	}
	switch r.StatusCode {
	case http.StatusOK:
		return r, nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		err = errRefused
	}
	r.Body.Close()
	return nil, fmt.Errorf("status %d: %w", r.StatusCode, errOr(err))
}

var errStatus = errors.New("not served")

func errOr(err error) error {
	if err == nil {
		return errStatus
	}
	return err
}

// Small is what became of small requests.
type Small struct {
	Asked, Served int
	Took          *hdrhistogram.Histogram // µs
}

// Ask puts small requests at a rate, in an open loop.
func Ask(ctx context.Context, address string, rate float64, d time.Duration) (*Small, error) {
	if err := Check(address, 1, d); err != nil {
		return nil, err
	}
	client := Client()
	defer client.CloseIdleConnections()
	s := &Small{Took: hdrhistogram.New(1, 60_000_000, 3)}
	var mu sync.Mutex
	var wait sync.WaitGroup
	start := time.Now()
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / rate * float64(time.Second))
		if at >= d || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(start.Add(at)))
		wait.Add(1)
		s.Asked++
		go func() {
			defer wait.Done()
			begun := time.Now()
			r, err := ask(ctx, client, "GET", address, fmt.Sprint("s", i%100), nil, -1)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, r.Body)
			r.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				s.Served++
				s.Took.RecordValue(time.Since(begun).Microseconds())
			}
		}()
	}
	wait.Wait()
	return s, nil
}
