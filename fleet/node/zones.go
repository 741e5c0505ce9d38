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

// Traffic connects the fleet's decisions to the traffic of the ingress. With the zero value the fleet
// decides nothing about traffic.
type Traffic struct {
	Servers func() map[string][]string // server addresses by zone, to probe with connections
	Avoid   func(zones []string)       // send no new requests to these zones
	Leave   func(bool)                 // whether to accept no clients
}

// enabled reports whether the fleet decides about traffic.
func (t Traffic) enabled() bool { return t.Avoid != nil }

// Timing of probes.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond // to establish a connection
)

// watch holds this ingress's observations of the zones, for its reports.
type watch struct {
	mu       sync.Mutex
	sums     zones.Collector
	probed   map[string]bool // by zone: whether the latest probe succeeded
	toProbe  []string        // zones to probe
	probeAll bool            // probe all zones instead
}

// Ended records the end of an attempt of this ingress. It is safe for concurrent use.
func (n *Node) Ended(zone string, failed bool, took time.Duration) {
	w := &n.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sums.Ended(n.now(), zone, failed, took)
}

// Hung records an attempt of this ingress that has not been answered yet. It is safe for concurrent use.
func (n *Node) Hung(zone string, took time.Duration) {
	w := &n.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sums.Hung(n.now(), zone, took)
}

// applyDecisions reports this ingress's observations if a report is due, and applies the fleet's decisions to
// its traffic.
func (n *Node) applyDecisions(s *steer.Steer) {
	now := n.now()
	if s.Due(now) {
		w := &n.watch
		w.mu.Lock()
		sums, tried := w.sums.Sums(now), map[string]bool{}
		for zone, succeeded := range w.probed {
			tried[zone] = succeeded
		}
		w.toProbe, w.probeAll = s.ZonesToProbe()
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
		Bool("ill", c.Ill).Bool("by_itself", c.Independent).Str("by", c.By).Str("why", c.Why).
		Msg("traffic decision changed")
}

// Order proposes a change of the operators' orders. The change function gets the present orders and returns
// the new ones.
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

// probe connects to one server of each zone to be probed, one after the other, and closes the connections
// at once. It repeats this every probeInterval.
func (n *Node) probe(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	w := &n.watch
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		w.mu.Lock()
		zoneNames, all := w.toProbe, w.probeAll
		w.mu.Unlock()
		var results map[string]bool
		if all || len(zoneNames) > 0 {
			results = map[string]bool{}
			servers := n.c.Traffic.Servers()
			if all {
				for zone := range servers {
					zoneNames = append(zoneNames, zone)
				}
			}
			for _, zone := range zoneNames {
				if addrs := servers[zone]; len(addrs) > 0 {
					results[zone] = canConnect(ctx, addrs[i%len(addrs)])
				}
			}
		}
		w.mu.Lock()
		w.probed = results
		w.mu.Unlock()
	}
}

// canConnect reports whether a TCP connection to addr can be established within probeTimeout.
func canConnect(ctx context.Context, addr string) bool {
	d := net.Dialer{Timeout: probeTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	c.Close()
	return true
}
