// Package discovery reads the paginated list of servers from the platform's discovery API. Only the replica
// with the role EndpointReader does so.
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

// Limits on the platform's responses.
const (
	maxPageSize = 1 << 20 // bytes
	maxPages    = 256
	pageTimeout = 900 * time.Millisecond // for requesting and reading a page
	// A page that took longer than pageTimeout by more than maxPageDelay is too old to be used.
	maxPageDelay = 100 * time.Millisecond
)

// serverEntry is the JSON representation of a server in the platform's list.
type serverEntry struct {
	ID       string  `json:"id"`
	Backend  string  `json:"backend"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Capacity uint64  `json:"capacity"`
	State    string  `json:"state"`
	Warmup   float64 `json:"warmup_left_s"`
}

// endpoint converts an entry to the representation that the gateway uses. zone is the zone under which the
// page lists the entry; it applies if the entry has none.
func (e *serverEntry) endpoint(zone string) message.Endpoint {
	const millisPerSecond = 1000
	return message.Endpoint{ID: e.ID, Service: e.Backend, Addr: e.Address, Zone: cmp.Or(e.Zone, zone),
		Capacity: e.Capacity, Draining: e.State == "draining",
		WarmupMillis: uint64(max(0, e.Warmup) * millisPerSecond)}
}

// page is a page of the list, with the servers by zone and the token of the next page. The last page has no
// token.
type page struct {
	Servers map[string][]serverEntry `json:"servers"`
	Next    *string                  `json:"next_token"`
}

// Client reads the list from the platform at an address. It is not safe for concurrent use.
type Client struct {
	addr         string
	client       *http.Client
	now          func() time.Time
	firstWarmups map[string]uint64 // remaining warm-up time of each server when first reported, in ms, by id
}

// New returns a client of the platform at addr, which opens connections with dial.
func New(addr string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	return &Client{addr: addr, now: time.Now, firstWarmups: map[string]uint64{}, client: &http.Client{
		Timeout:   pageTimeout,
		Transport: &http.Transport{DialContext: dial, MaxIdleConns: 1, DisableCompression: true}}}
}

// Read returns the complete list, sorted by server id. It returns an error if any page cannot be read,
// because a missing server would be treated as removed.
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

// normalize sorts the list by id, removes duplicate ids, and replaces the remaining warm-up time of each
// server by the value that was reported first. The remaining time changes with every call and would make
// every list differ from the previous one.
func (c *Client) normalize(all []message.Endpoint) []message.Endpoint {
	slices.SortFunc(all, func(a, b message.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	all = slices.CompactFunc(all, func(a, b message.Endpoint) bool { return a.ID == b.ID })
	currentWarmups := map[string]uint64{}
	for i := range all {
		if s := &all[i]; s.WarmupMillis > 0 {
			if first, ok := c.firstWarmups[s.ID]; ok {
				s.WarmupMillis = first
			}
			currentWarmups[s.ID] = s.WarmupMillis
		}
	}
	c.firstWarmups = currentWarmups
	return all
}

// page requests the page with the given token, or the first page if token is empty.
func (c *Client) page(ctx context.Context, token string) (*page, error) {
	u := url.URL{Scheme: "http", Host: c.addr, Path: "/servers"}
	if token != "" {
		u.RawQuery = url.Values{"page_token": {token}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	started := c.now()
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "list of servers")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.CopyN(io.Discard, resp.Body, maxPageSize) // drain the body, so that the connection can be reused
		return nil, trace.LimitExceeded("list of servers: status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageSize))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "list of servers")
	}
	// If the process was suspended in the meantime, the timeout of the HTTP client may not have expired yet.
	if elapsed := c.now().Sub(started); elapsed > pageTimeout+maxPageDelay {
		return nil, trace.LimitExceeded("list of servers: reading a page took %v", elapsed)
	}
	return decode(body)
}

// decode parses and validates a page.
func decode(body []byte) (*page, error) {
	p := new(page)
	if err := json.Unmarshal(body, p); err != nil {
		return nil, trace.BadParameter("list of servers: %v", err)
	}
	for _, list := range p.Servers {
		for _, e := range list {
			if e.ID == "" || e.Address == "" || e.Backend == "" {
				return nil, trace.BadParameter("list of servers: entry without id, address or backend")
			}
		}
	}
	return p, nil
}
