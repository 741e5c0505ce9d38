// Package transfers loads a front with transfers of many speeds at once, half downloads and half uploads, and
// with small requests beside them. It is for loopback addresses, and bounded in count and time.
package transfers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dunespoke/internal/lab/origin"
)

// Side is an end of a transfer.
type Side string

// The sides that may set the pace of transfers.
const (
	Client Side = "client"
	Server Side = "server"
)

// Options set up the transfers.
type Options struct {
	URL      string // of a front before an origin
	Count    int
	Duration time.Duration // of each transfer: it is as long as its rate makes it last so long
	SlowSide Side          // which sets the pace; the other takes and sends as fast as it can
}

// Report is what became of them.
type Report struct {
	Done, Failed, Wrong, Refused int   // Wrong: other bytes arrived than were sent
	Bytes                        int64 // of all
	FirstError                   error // of those that were not done; nil: all were
}

// add counts the end of a transfer.
func (r *Report) add(bytes int64, err error) {
	r.Bytes += bytes
	switch {
	case err == nil:
		r.Done++
	case errors.Is(err, errRefused):
		r.Refused++
	case errors.Is(err, origin.ErrWrongBytes):
		r.Wrong++
	default:
		r.Failed++
	}
	if r.FirstError == nil {
		r.FirstError = err
	}
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
	maxCount    = 4000
	maxDuration = 10 * time.Minute
)

// startInterval is between the starts of two transfers: without it, the listener's backlog would be measured.
const startInterval = time.Millisecond

var errLimits = errors.New("transfers: want up to 4000, for up to 10m, before a loopback address")

// Check reports whether a URL and bounds are ones that a laboratory may use.
func Check(address string, count int, d time.Duration) error {
	u, err := url.Parse(address)
	if err != nil {
		return fmt.Errorf("transfers: %w", err)
	}
	ip := net.ParseIP(u.Hostname())
	if ip == nil || !ip.IsLoopback() || count < 1 || count > maxCount || d <= 0 || d > maxDuration {
		return errLimits
	}
	return nil
}

// NewClient returns a client that keeps enough connections for all transfers.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxCount, MaxIdleConns: maxCount,
		DisableCompression: true}}
}

// Run makes the transfers and waits for their ends. When all have started it calls running in a goroutine of
// its own; nil: nobody wants to know.
func Run(ctx context.Context, o Options, running func()) (*Report, error) {
	if err := Check(o.URL, o.Count, o.Duration); err != nil {
		return nil, err
	}
	client := NewClient()
	defer client.CloseIdleConnections()
	var started atomic.Int64
	onStart := func() {
		if started.Add(1) == int64(o.Count) && running != nil {
			go running()
		}
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	report := &Report{}
	for i := range o.Count {
		wait.Go(func() {
			bytes, err := transfer(ctx, client, o, i, onStart)
			mu.Lock()
			defer mu.Unlock()
			report.add(bytes, err)
		})
		time.Sleep(startInterval)
	}
	wait.Wait()
	return report, nil
}

// transfer makes the i-th transfer: a download if i is even, else an upload.
func transfer(ctx context.Context, client *http.Client, o Options, i int, onStart func()) (int64, error) {
	rate := Rate(i)
	total := int64(rate * o.Duration.Seconds())
	clientRate, serverRate := rate, 0.0 // 0: as fast as it goes
	if o.SlowSide == Server {
		clientRate, serverRate = 0, rate
	}
	account := fmt.Sprint("c", i)
	if i%2 == 0 {
		address := fmt.Sprintf("%s/down?bytes=%d&rate=%.0f", o.URL, total, serverRate)
		return download(ctx, client, address, account, total, clientRate, onStart)
	}
	address := fmt.Sprintf("%s/up?rate=%.0f", o.URL, serverRate)
	return total, upload(ctx, client, address, account, total, clientRate, onStart)
}

// download reads a body at a rate, and checks its bytes.
func download(ctx context.Context, client *http.Client, address, account string, total int64, rate float64,
	onStart func()) (int64, error) {
	response, err := do(ctx, client, http.MethodGet, address, account, nil, 0)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	onStart()
	n, err := origin.Take(response.Body, rate)
	if err == nil && n != total {
		err = fmt.Errorf("%d bytes of %d", n, total)
	}
	return n, err
}

// upload sends a body at a rate, and checks that the server had all of it.
func upload(ctx context.Context, client *http.Client, address, account string, total int64, rate float64,
	onStart func()) error {
	reader, writer := io.Pipe()
	go func() {
		onStart()
		_, err := origin.Send(writer, 0, total, rate)
		writer.CloseWithError(err)
	}()
	response, err := do(ctx, client, http.MethodPut, address, account, reader, total)
	if err != nil {
		reader.CloseWithError(err)
		return err
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if string(received) != strconv.FormatInt(total, 10) {
		return fmt.Errorf("the server got %s of %d", received, total)
	}
	return nil
}

// Download gets so many bytes as fast as it goes.
func Download(ctx context.Context, client *http.Client, address string, total int64) error {
	if err := Check(address, 1, time.Second); err != nil {
		return err
	}
	address = fmt.Sprintf("%s/down?bytes=%d", address, total)
	response, err := do(ctx, client, http.MethodGet, address, bulkAccount, nil, 0)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	if err == nil && n != total {
		err = fmt.Errorf("%d bytes of %d", n, total)
	}
	return err
}

// Upload sends so many bytes as fast as it goes.
func Upload(ctx context.Context, client *http.Client, address string, total int64) error {
	if err := Check(address, 1, time.Second); err != nil {
		return err
	}
	return upload(ctx, client, address+"/up", bulkAccount, total, 0, func() {})
}

const bulkAccount = "bulk"
