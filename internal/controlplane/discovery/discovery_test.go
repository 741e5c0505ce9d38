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

// Given a list of two pages, when the process stands still while one of them comes, then there is no list:
// it would be told as new, and is as old as the standstill.
func TestAPageThatWasHeldUpIsNoList(t *testing.T) {
	for _, stands := range []time.Duration{0, pageTimeout, 20 * time.Second} {
		clock := time.Now()
		platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			next := `"next"`
			if r.URL.Query().Get("page_token") == "next" {
				clock, next = clock.Add(stands), "null"
			}
			fmt.Fprintf(w, `{"servers":{"z":[{"id":"i%s","backend":"b","address":"a:1"}]},"next_token":%s}`,
				r.URL.Query().Get("page_token"), next)
		}))
		r := New(strings.TrimPrefix(platform.URL, "http://"),
			func(ctx context.Context, network, addr string) (net.Conn, error) {
				return new(net.Dialer).DialContext(ctx, network, addr)
			})
		r.now = func() time.Time { return clock }
		list, err := r.Read(context.Background())
		if late := stands > pageTimeout; late != (err != nil) || !late && len(list) != 2 {
			t.Errorf("held up for %v: %v, %v", stands, list, err)
		}
		platform.Close()
	}
}
