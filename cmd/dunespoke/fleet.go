package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"dunespoke/core"
	"dunespoke/fleet/node"
	"dunespoke/fleet/zones"
	"dunespoke/internal/config"
	"dunespoke/internal/mgmt"
)

// startFleet joins the fleet. Name and zone default to those of the platform's configuration.
func (p *program) startFleet(set *config.Fleet) error {
	name, zone := set.Name, set.Zone
	if p.conf != nil {
		name, zone = cmp.Or(name, p.conf.Name), cmp.Or(zone, p.conf.Settings.Zone)
	}
	if name == "" {
		return errors.New("fleet.name is missing; it is required without a platform configuration")
	}
	ctx, cancel := context.WithCancel(p.work)
	n, err := node.Start(ctx, node.Config{Name: name, Zone: zone, Region: set.Region, Bind: set.BindTo,
		Advertise: set.AdvertiseAs, Seeds: set.Seeds, Keys: set.Ring, Voters: set.Voters,
		Lease: time.Duration(set.Lease), Hold: time.Duration(set.Hold), Log: p.log, Traffic: p.traffic()})
	if err != nil {
		cancel()
		return err
	}
	p.fleet, p.cancelFleet = n, cancel
	return nil
}

// fleetWatcher forwards the core's reports on attempts to the fleet node, and drops them until the node is
// stored. Safe for concurrent use.
type fleetWatcher struct{ atomic.Pointer[node.Node] }

func (w *fleetWatcher) Ended(zone string, failed bool, took time.Duration) {
	if n := w.Load(); n != nil {
		n.Ended(zone, failed, took)
	}
}

func (w *fleetWatcher) Hung(zone string, took time.Duration) {
	if n := w.Load(); n != nil {
		n.Hung(zone, took)
	}
}

// coreTimeout limits the wait for a reply of the core's goroutine.
const coreTimeout = 200 * time.Millisecond

// traffic returns the fleet node's access to this ingress's traffic. It is empty without the platform front.
func (p *program) traffic() node.Traffic {
	if p.platformCore == nil {
		return node.Traffic{}
	}
	return node.Traffic{
		Servers: func() map[string][]string {
			all := make(chan map[string][]string, 1)
			p.platformCore.Zones(all)
			select {
			case z := <-all:
				return z
			case <-time.After(coreTimeout):
				return nil
			}
		},
		Avoid: p.platformCore.Avoid,
		Leave: p.isolated.Store,
	}
}

// leaveFleet leaves the fleet. It must be called before drain, as the process of an upgrade takes over the
// fleet address.
func (p *program) leaveFleet() {
	if p.fleet != nil {
		p.cancelFleet()
	}
}

// dump returns the figures for DUMP, including the generation and epoch of the fleet's record if there is a
// fleet.
func (p *program) dump() any {
	figures := p.platformCore.Stats().Snapshot()
	if p.fleet == nil {
		return figures
	}
	r := p.fleet.Record()
	return struct {
		core.Snapshot
		Generation uint64 `json:"fleet_generation"`
		Epoch      uint64 `json:"fleet_epoch"`
	}{figures, r.Generation, r.Epoch}
}

// noteKey is the record's key of the operators' note.
const noteKey = "note"

// handleFleetCall executes a management call about the fleet and returns the reply.
func (p *program) handleFleetCall(args []string) mgmt.Answer {
	if p.fleet == nil {
		return mgmt.Fail("this ingress is in no fleet: its operator's file has no [fleet]")
	}
	verb := ""
	if len(args) > 0 {
		verb = strings.ToUpper(args[0])
	}
	switch {
	case verb == "STATUS" && len(args) == 1:
		s, err := p.fleet.Status()
		if err != nil {
			return mgmt.Fail("%v", err)
		}
		return jsonReport(s)
	case verb == "ZONES" && len(args) == 1:
		return jsonReport(p.fleet.Zones())
	case verb == "RECORD" && len(args) == 1:
		return jsonReport(p.fleet.Record())
	case verb == "NOTE":
		text, err := json.Marshal(strings.Join(args[1:], " "))
		if err == nil {
			err = p.fleet.Put(noteKey, text, "staff's note")
		}
		if err != nil {
			return mgmt.Fail("%v", err)
		}
		p.log.Info().Str("code", "mgmt-fleet-note").Msg("executed an operator's call")
		return mgmt.Answer{OK: true}
	case verb == "EVACUATE" && len(args) == 3, verb == "HOLD" && len(args) == 2,
		verb == "RELEASE" && len(args) < 3:
		if err := p.orderFleet(verb, args[1:]); err != nil {
			return mgmt.Fail("%v", err)
		}
		p.log.Info().Str("code", "mgmt-fleet-order").Strs("order", args).Msg("executed an operator's call")
		return mgmt.Answer{OK: true}
	case verb == "RECOVER" && len(args) == 1:
		if err := p.fleet.Recover(); err != nil {
			return mgmt.Fail("%v", err)
		}
		p.log.Warn().Str("code", "mgmt-fleet-recover").Msg("executed an operator's call")
		return mgmt.Answer{OK: true}
	}
	return mgmt.Fail("want FLEET STATUS, ZONES, RECORD, NOTE TEXT, EVACUATE ZONE TIME, HOLD TIME, " +
		"RELEASE [ZONE] or RECOVER")
}

// maxOrderDuration limits the duration of an order, so that an order that operators forget expires.
const maxOrderDuration = 24 * time.Hour

// orderFleet submits an operator's order to the fleet, which decides on it by agreement.
func (p *program) orderFleet(verb string, args []string) error {
	if verb == "RELEASE" {
		zone := strings.Join(args, "")
		return p.fleet.Order("staff: release "+zone, func(now time.Duration, o *zones.Orders) *zones.Orders {
			return o.Without(now, zone)
		})
	}
	duration, err := time.ParseDuration(args[len(args)-1])
	if err != nil || duration <= 0 || duration > maxOrderDuration {
		return fmt.Errorf("%q: want a time as in 30m, up to %v", args[len(args)-1], maxOrderDuration)
	}
	if verb == "HOLD" {
		return p.fleet.Order("staff: hold", func(now time.Duration, o *zones.Orders) *zones.Orders {
			return &zones.Orders{Evacuate: o.Evacuate, Hold: (now + duration).Milliseconds()}
		})
	}
	zone := args[0]
	known := p.traffic().Servers()
	if len(known[zone]) == 0 {
		return fmt.Errorf("the list has no server in zone %s, only in %v", zone, slices.Sorted(maps.Keys(known)))
	}
	return p.fleet.Order("staff: evacuate "+zone, func(now time.Duration, o *zones.Orders) *zones.Orders {
		return o.With(now, zone, now+duration)
	})
}

// jsonReport returns a reply with v as a line of JSON, followed by EOT.
func jsonReport(v any) mgmt.Answer {
	text, err := json.Marshal(v)
	if err != nil {
		return mgmt.Fail("%v", err)
	}
	return mgmt.Answer{OK: true, Report: true, Lines: []string{string(text), "EOT"}}
}

// fleetCommand groups the operators' commands. Each of them calls an ingress at its management address.
type fleetCommand struct {
	Members  fleetMembers  `cmd:"" help:"Print the members of the fleet, as one ingress sees them."`
	Zones    fleetZones    `cmd:"" help:"Print avoided zones with reasons, and unhealthy ingresses."`
	Record   fleetRecord   `cmd:"" help:"Print the record that the fleet has agreed on, as JSON."`
	Note     fleetNote     `cmd:"" help:"Store a note for other operators in the fleet's record."`
	Evacuate fleetEvacuate `cmd:"" help:"Make all ingresses avoid the servers of a zone for a time."`
	Hold     fleetHold     `cmd:"" help:"Freeze the table of zones for a time, whatever fails."`
	Release  fleetRelease  `cmd:"" help:"Revoke the orders of evacuate and hold."`
	Recover  fleetRecover  `cmd:"" help:"Let the remaining voters decide without the lost ones."`
}

// mgmtClient calls the ingress at a management address.
type mgmtClient struct {
	Mgmt string `help:"The management address of an ingress." required:"" env:"LB_MGMT" placeholder:"ADDR"`
}

// callTimeout limits a management call. It is longer than an ingress needs for any call.
const callTimeout = 3 * time.Second

// request sends a management call and returns the reply, without the EOT line that ends a report. A FAILURE
// reply is returned as an error.
func (i mgmtClient) request(call string) (string, error) {
	c, err := net.DialTimeout("tcp", i.Mgmt, callTimeout)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(callTimeout))
	if _, err := fmt.Fprintln(c, call); err != nil {
		return "", err
	}
	text, err := io.ReadAll(c)
	if err != nil {
		return "", err
	}
	reply := strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(string(text)), "EOT"))
	if reason, failed := strings.CutPrefix(reply, "FAILURE"); failed {
		return "", errors.New(strings.TrimSpace(reason))
	}
	return reply, nil
}

type fleetMembers struct {
	mgmtClient
	JSON bool `help:"Print the reply unchanged, as JSON."`
}

// Run prints the state of the record, message counts and one line per member.
func (f *fleetMembers) Run(out io.Writer) error {
	text, err := f.request("FLEET STATUS")
	if err != nil {
		return err
	}
	if f.JSON {
		_, err = fmt.Fprintln(out, text)
		return err
	}
	var s node.Status
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return fmt.Errorf("answer of %s: %w", f.Mgmt, err)
	}
	fmt.Fprintf(out, "%s: record %s, epoch %d of generation %d, leader %s, a majority stood behind it "+
		"%d ms ago\n", s.Name, s.Standing, s.Epoch, s.Generation, cmp.Or(s.Leader, "none"), s.FreshMS)
	c := s.Messages
	fmt.Fprintf(out, "messages in %d, out %d, not sent %d, forged %d, replayed %d, malformed %d\n",
		c.In, c.Out, c.Unsent, c.Forged, c.Replayed, c.Malformed)
	for _, m := range s.Members {
		fmt.Fprintf(out, "%-12s %-8s zone %-8s region %-8s %-22s since %s\n", m.Name, m.State, m.Zone, m.Region,
			m.Addr, m.Since.Format(time.RFC3339))
	}
	return nil
}

type fleetZones struct{ mgmtClient }

// Run prints the table of zones, one line per link, the orders in force and the unhealthy ingresses.
func (f *fleetZones) Run(out io.Writer) error {
	text, err := f.request("FLEET ZONES")
	if err != nil {
		return err
	}
	var z node.Zones
	if err := json.Unmarshal([]byte(text), &z); err != nil {
		return fmt.Errorf("answer of %s: %w", f.Mgmt, err)
	}
	fmt.Fprintf(out, "table of epoch %d, %s; the last change by %s: %s\n", z.Epoch, z.Standing,
		cmp.Or(z.By, "nobody"), cmp.Or(z.Why, "there was none"))
	for _, name := range slices.Sorted(maps.Keys(z.Links)) {
		l, state := z.Links[name], "up"
		if l.Down {
			state = "left alone"
		}
		fmt.Fprintf(out, "%-16s %-10s since %s, flaps %d\n", name, state,
			time.UnixMilli(l.Since).Format(time.RFC3339), l.Flaps)
	}
	now := time.Duration(time.Now().UnixNano())
	for _, zone := range z.Orders.Evacuated(now) {
		fmt.Fprintf(out, "%-16s evacuated by staff until %s\n", zone,
			time.UnixMilli(z.Orders.Evacuate[zone]).Format(time.RFC3339))
	}
	if z.Orders.Held(now) {
		fmt.Fprintf(out, "held by staff until %s\n", time.UnixMilli(z.Orders.Hold).Format(time.RFC3339))
	}
	for _, name := range z.Ill {
		fmt.Fprintf(out, "%-16s ill: it takes no clients\n", name)
	}
	return nil
}

type fleetRecord struct{ mgmtClient }

// Run prints the fleet's record.
func (f *fleetRecord) Run(out io.Writer) error {
	return f.callAndPrint(out, "FLEET RECORD")
}

type fleetNote struct {
	mgmtClient
	Text string `arg:"" help:"The note, one line."`
}

// Run stores the note.
func (f *fleetNote) Run(out io.Writer) error {
	return f.callAndPrint(out, "FLEET NOTE "+strings.Join(strings.Fields(f.Text), " "))
}

// callAndPrint sends a management call and prints the reply.
func (i mgmtClient) callAndPrint(out io.Writer, call string) error {
	reply, err := i.request(call)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, reply)
	return err
}

type fleetEvacuate struct {
	mgmtClient
	Zone string        `arg:""`
	For  time.Duration `help:"Duration, at most 24 h." required:""`
}

// Run gives the order.
func (f *fleetEvacuate) Run(out io.Writer) error {
	return f.callAndPrint(out, fmt.Sprintf("FLEET EVACUATE %s %v", f.Zone, f.For))
}

type fleetHold struct {
	mgmtClient
	For time.Duration `help:"Duration, at most 24 h." required:""`
}

// Run gives the order.
func (f *fleetHold) Run(out io.Writer) error {
	return f.callAndPrint(out, fmt.Sprintf("FLEET HOLD %v", f.For))
}

type fleetRelease struct {
	mgmtClient
	Zone string `arg:"" optional:"" help:"The zone to release. Default: revoke all orders."`
}

// Run gives the order.
func (f *fleetRelease) Run(out io.Writer) error { return f.callAndPrint(out, "FLEET RELEASE "+f.Zone) }

type fleetRecover struct {
	mgmtClient
	Gone bool `help:"Confirms that you have verified that all unreachable voters are dead." required:""`
}

// Run makes the voter that is called found a new group.
func (f *fleetRecover) Run(out io.Writer) error {
	return f.callAndPrint(out, "FLEET RECOVER")
}
