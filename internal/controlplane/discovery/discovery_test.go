package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// If the process is suspended while it reads a page, the list is rejected: it would be distributed as new
// although it is as old as the suspension is long.
func TestADelayedPageIsRejected(t *testing.T) {
	for _, suspension := range []time.Duration{0, pageTimeout, 20 * time.Second} {
		clock := time.Now()
		platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			next := `"next"`
			if r.URL.Query().Get("page_token") == "next" {
				clock, next = clock.Add(suspension), "null"
			}
			fmt.Fprintf(w, `{"servers":{"z":[{"id":"i%s","backend":"b","address":"a:1"}]},"next_token":%s}`,
				r.URL.Query().Get("page_token"), next)
		}))
		client := New(strings.TrimPrefix(platform.URL, "http://"),
			func(ctx context.Context, network, addr string) (net.Conn, error) {
				return new(net.Dialer).DialContext(ctx, network, addr)
			})
		client.now = func() time.Time { return clock }
		list, err := client.Read(context.Background())
		if tooLate := suspension > pageTimeout; tooLate != (err != nil) || !tooLate && len(list) != 2 {
			t.Errorf("suspended for %v: %v, %v", suspension, list, err)
		}
		platform.Close()
	}
}
