package transfers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var (
	errRefused   = errors.New("refused")
	errNotServed = errors.New("not served")
)

// do sends a request. Any status but 200 is an error; 503 and 429 are errRefused. A length of 0 with a body
// is one that is not known.
func do(ctx context.Context, client *http.Client, method, address, account string, body io.Reader,
	length int64) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Account", account)
	if body != nil {
		request.ContentLength = length
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	reason := errNotServed
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		reason = errRefused
	}
	return nil, errors.Join(fmt.Errorf("status %d: %w", response.StatusCode, reason), response.Body.Close())
}

// Latencies is what became of small requests.
type Latencies struct {
	Sent, Served int
	Microseconds *hdrhistogram.Histogram // of those that were served
}

// Milliseconds is the time within which so many in a hundred were served.
func (l *Latencies) Milliseconds(quantile float64) float64 {
	return float64(l.Microseconds.ValueAtQuantile(quantile)) / 1000
}

// accounts is how many accounts small requests are spread over.
const accounts = 100

// MeasureLatencies sends small requests at a rate a second for so long, in an open loop: each is sent at its
// time, whether or not the ones before it have been answered.
func MeasureLatencies(ctx context.Context, address string, rate float64,
	d time.Duration) (*Latencies, error) {
	if err := Check(address, 1, d); err != nil {
		return nil, err
	}
	client := NewClient()
	defer client.CloseIdleConnections()
	result := &Latencies{Microseconds: hdrhistogram.New(1, 60_000_000, 3)}
	var mu sync.Mutex
	var wait sync.WaitGroup
	startedAt := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		at := time.Duration(float64(i) / rate * float64(time.Second))
		if at >= d {
			break
		}
		time.Sleep(time.Until(startedAt.Add(at)))
		result.Sent++
		wait.Go(func() {
			took, err := timeRequest(ctx, client, address, fmt.Sprint("s", i%accounts))
			if err != nil {
				return // it counts as not served
			}
			mu.Lock()
			defer mu.Unlock()
			result.Served++
			_ = result.Microseconds.RecordValue(took.Microseconds()) // over a minute: out of its range
		})
	}
	wait.Wait()
	return result, nil
}

// timeRequest returns how long a request took until its answer had been read.
func timeRequest(ctx context.Context, client *http.Client, address, account string) (time.Duration, error) {
	startedAt := time.Now()
	response, err := do(ctx, client, http.MethodGet, address, account, nil, 0)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return time.Since(startedAt), nil
}
