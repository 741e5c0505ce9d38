// Package discovery reads the platform's list of servers, page by page. Only the replica that holds the role
// EndpointReader does so.
package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/message"
)

// Bounds on what the platform may send.
const (
	maxPageSize  = 1 << 20 // bytes
	maxPages     = 256
	pageTimeout  = 900 * time.Millisecond // for a page
	maxPageDelay = 100 * time.Millisecond // beyond which a page that came is too old
)

// serverEntry is a server as the platform writes it.
type serverEntry struct {
	ID       string  `json:"id"`
	Backend  string  `json:"backend"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Capacity uint64  `json:"capacity"`
	State    string  `json:"state"`
	Warmup   float64 `json:"warmup_left_s"`
}

// endpoint returns an entry as the gateway keeps it; zone is that of the page's list.
func (e *serverEntry) endpoint(zone string) message.Endpoint {
	const millisPerSecond = 1000
	return message.Endpoint{ID: e.ID, Service: e.Backend, Addr: e.Address, Zone: cmp.Or(e.Zone, zone),
		Capacity: e.Capacity, Draining: e.State == "draining",
		WarmupMillis: uint64(max(0, e.Warmup) * millisPerSecond)}
}

// page is a page of the list, with the token of the next.
type page struct {
	Servers map[string][]serverEntry `json:"servers"`
	Next    *string                  `json:"next_token"`
}

// Client reads the list at an address.
type Client struct {
	addr    string
	client  *http.Client
	now     func() time.Time
	warmups map[string]uint64 // how long a server was to stay slow, when it was first seen
}

// New returns a client of the platform at an address.
func New(addr string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	return &Client{addr: addr, now: time.Now, warmups: map[string]uint64{}, client: &http.Client{
		Timeout:   pageTimeout,
		Transport: &http.Transport{DialContext: dial, MaxIdleConns: 1, DisableCompression: true}}}
}

// Read reads the whole list, in an agreed order. A list that can't be read whole is an error: a server that
// is missing would be taken for gone.
func (c *Client) Read(ctx context.Context) ([]message.Endpoint, error) {
	var all []message.Endpoint
	token := ""
	for range maxPages {
		p, err := c.page(ctx, token)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for zone, list := range p.Servers {
			for _, e := range list {
				all = append(all, e.endpoint(zone))
			}
		}
		if p.Next == nil || *p.Next == "" {
			return c.normalize(all), nil
		}
		token = *p.Next
	}
	return nil, trace.LimitExceeded("list of servers: more than %d pages", maxPages)
}

// normalize sorts the list, and tells of each server that is slow what was told first: the time that is left
// changes from call to call, and would make every list another.
func (c *Client) normalize(all []message.Endpoint) []message.Endpoint {
	slices.SortFunc(all, func(a, b message.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	all = slices.CompactFunc(all, func(a, b message.Endpoint) bool { return a.ID == b.ID })
	colds := map[string]uint64{}
	for i := range all {
		if s := &all[i]; s.WarmupMillis > 0 {
			if first, ok := c.warmups[s.ID]; ok {
				s.WarmupMillis = first
			}
			colds[s.ID] = s.WarmupMillis
		}
	}
	c.warmups = colds
	return all
}

func (c *Client) page(ctx context.Context, token string) (*page, error) {
	u := url.URL{Scheme: "http", Host: c.addr, Path: "/servers"}
	if token != "" {
		u.RawQuery = url.Values{"page_token": {token}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	began := c.now()
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "list of servers")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.CopyN(io.Discard, resp.Body, maxPageSize) // so that the connection can be used again
		return nil, trace.LimitExceeded("list of servers: status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageSize))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "list of servers")
	}
	// The process stood still meanwhile: the call's own limit may not have struck yet.
	if took := c.now().Sub(began); took > pageTimeout+maxPageDelay {
		return nil, trace.LimitExceeded("list of servers: a page took %v", took)
	}
	return decode(body)
}

// decode reads a page.
func decode(body []byte) (*page, error) {
	p := new(page)
	if err := json.Unmarshal(body, p); err != nil {
		return nil, trace.BadParameter("list of servers: %v", err)
	}
	for _, list := range p.Servers {
		for _, e := range list {
			if e.ID == "" || e.Address == "" || e.Backend == "" {
				return nil, trace.BadParameter("list of servers: an entry without id, address or backend")
			}
		}
	}
	return p, nil
}
