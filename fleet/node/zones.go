package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"dunespoke/fleet/steer"
	"dunespoke/fleet/zones"
)

// Traffic is what of the ingress's own work the fleet decides about. The zero value is none.
type Traffic struct {
	Servers func() map[string][]string // addresses by zone, to try connections to
	Avoid   func(zones []string)       // send nothing new there
	Leave   func(bool)                 // take no clients
}

func (t Traffic) on() bool { return t.Avoid != nil }

// Times of tries.
const (
	tryEvery = 500 * time.Millisecond
	tryWait  = 300 * time.Millisecond // for a connection
)

// watch is what this ingress has seen of the zones, for its reports.
type watch struct {
	mu     sync.Mutex
	sums   zones.Collector
	tried  map[string]bool
	trying []string // zones; of all of them, everything
	all    bool
}

// Ended takes the end of an attempt of this ingress's own. Any goroutine may call it.
func (n *Node) Ended(zone string, failed bool, took time.Duration) {
	w := &n.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sums.Ended(n.now(), zone, failed, took)
}

// Hung takes an attempt of this ingress's own that is not answered yet. Any goroutine may call it.
func (n *Node) Hung(zone string, took time.Duration) {
	w := &n.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sums.Hung(n.now(), zone, took)
}

// steer reports what was seen, and has traffic follow what is decided.
func (n *Node) steer(s *steer.Steer) {
	now := n.now()
	if s.Due(now) {
		w := &n.watch
		w.mu.Lock()
		sums, tried := w.sums.Sums(now), map[string]bool{}
		for zone, well := range w.tried {
			tried[zone] = well
		}
		w.trying, w.all = s.ToTry()
		w.mu.Unlock()
		s.Report(now, sums, tried)
	}
	before := s.Course().Down
	if !s.Follow(now) {
		return
	}
	c := s.Course()
	n.watch.mu.Lock()
	for _, zone := range before {
		if !slices.Contains(c.Down, zone) {
			n.watch.sums.Forget(now, zone)
		}
	}
	n.watch.mu.Unlock()
	n.c.Traffic.Avoid(c.Down)
	n.c.Traffic.Leave(c.Ill)
	n.c.Log.Info().Str("code", "fleet-zones").Uint64("epoch", c.Epoch).Strs("left_alone", c.Down).
		Bool("ill", c.Ill).Bool("by_itself", c.ByItself).Str("by", c.By).Str("why", c.Why).Msg("table of zones")
}

// Order has staff's orders changed in common.
func (n *Node) Order(why string, change func(now time.Duration, o *zones.Orders) *zones.Orders) error {
	orders := &zones.Orders{}
	if err := steer.Read(n.Record().Entries[steer.OrdersKey], orders); err != nil {
		return fmt.Errorf("the orders so far: %w", err)
	}
	value, err := json.Marshal(change(n.now(), orders))
	if err != nil {
		return err
	}
	return n.Put(steer.OrdersKey, value, why)
}

// try connects to servers of the zones in question, one after the other, and closes at once.
func (n *Node) try(ctx context.Context) {
	tick := time.NewTicker(tryEvery)
	defer tick.Stop()
	w := &n.watch
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		w.mu.Lock()
		trying, all := w.trying, w.all
		w.mu.Unlock()
		var results map[string]bool
		if all || len(trying) > 0 {
			results = map[string]bool{}
			servers := n.c.Traffic.Servers()
			if all {
				for zone := range servers {
					trying = append(trying, zone)
				}
			}
			for _, zone := range trying {
				if addrs := servers[zone]; len(addrs) > 0 {
					results[zone] = connects(ctx, addrs[i%len(addrs)])
				}
			}
		}
		w.mu.Lock()
		w.tried = results
		w.mu.Unlock()
	}
}

func connects(ctx context.Context, addr string) bool {
	d := net.Dialer{Timeout: tryWait}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	c.Close()
	return true
}
