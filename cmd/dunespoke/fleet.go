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

// startFleet takes part in a fleet.
func (p *program) startFleet(set *config.Fleet) error {
	name, zone := set.Name, set.Zone
	if p.conf != nil {
		name, zone = cmp.Or(name, p.conf.Name), cmp.Or(zone, p.conf.Settings.Zone)
	}
	if name == "" {
		return errors.New("fleet.name is missing: without the platform nobody else names this ingress")
	}
	ctx, leave := context.WithCancel(p.work)
	n, err := node.Start(ctx, node.Config{Name: name, Zone: zone, Region: set.Region, Bind: set.BindTo,
		Advertise: set.AdvertiseAs, Seeds: set.Seeds, Keys: set.Ring, Voters: set.Voters,
		Lease: time.Duration(set.Lease), Hold: time.Duration(set.Hold), Log: p.log, Traffic: p.traffic()})
	if err != nil {
		leave()
		return err
	}
	p.fleet, p.leave = n, leave
	return nil
}

// watcher passes on what the core tells of attempts, once the node is there.
type watcher struct{ atomic.Pointer[node.Node] }

func (w *watcher) Ended(zone string, failed bool, took time.Duration) {
	if n := w.Load(); n != nil {
		n.Ended(zone, failed, took)
	}
}

func (w *watcher) Hung(zone string, took time.Duration) {
	if n := w.Load(); n != nil {
		n.Hung(zone, took)
	}
}

// coreWait bounds the wait for the core's goroutine.
const coreWait = 200 * time.Millisecond

// traffic is what the fleet decides about: nothing without the platform's front.
func (p *program) traffic() node.Traffic {
	if p.main == nil {
		return node.Traffic{}
	}
	return node.Traffic{
		Servers: func() map[string][]string {
			all := make(chan map[string][]string, 1)
			p.main.Zones(all)
			select {
			case z := <-all:
				return z
			case <-time.After(coreWait):
				return nil
			}
		},
		Avoid: p.main.Avoid,
		Leave: p.ill.Store,
	}
}

// leaveFleet tells the fleet that this ingress goes, before it ends its answers: the process of an upgrade
// takes its address.
func (p *program) leaveFleet() {
	if p.fleet != nil {
		p.leave()
	}
}

// dump is the figures of DUMP; with a fleet, its record's as well.
func (p *program) dump() any {
	figures := p.main.Stats().Snapshot()
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

// noteKey is the record's key of staff's note.
const noteKey = "note"

// fleetCall answers an operator's call about the fleet.
func (p *program) fleetCall(args []string) mgmt.Answer {
	if p.fleet == nil {
		return mgmt.Fail("this ingress is in no fleet: its operator's file has no [fleet]")
	}
	what := ""
	if len(args) > 0 {
		what = strings.ToUpper(args[0])
	}
	switch {
	case what == "STATUS" && len(args) == 1:
		s, err := p.fleet.Status()
		if err != nil {
			return mgmt.Fail("%v", err)
		}
		return report(s)
	case what == "ZONES" && len(args) == 1:
		return report(p.fleet.Zones())
	case what == "RECORD" && len(args) == 1:
		return report(p.fleet.Record())
	case what == "NOTE":
		text, err := json.Marshal(strings.Join(args[1:], " "))
		if err == nil {
			err = p.fleet.Put(noteKey, text, "staff's note")
		}
		if err != nil {
			return mgmt.Fail("%v", err)
		}
		p.log.Info().Str("code", "mgmt-fleet-note").Msg("told by an operator")
		return mgmt.Answer{OK: true}
	case what == "EVACUATE" && len(args) == 3, what == "HOLD" && len(args) == 2,
		what == "RELEASE" && len(args) < 3:
		if err := p.fleetOrder(what, args[1:]); err != nil {
			return mgmt.Fail("%v", err)
		}
		p.log.Info().Str("code", "mgmt-fleet-order").Strs("order", args).Msg("told by an operator")
		return mgmt.Answer{OK: true}
	case what == "RECOVER" && len(args) == 1:
		if err := p.fleet.Recover(); err != nil {
			return mgmt.Fail("%v", err)
		}
		p.log.Warn().Str("code", "mgmt-fleet-recover").Msg("told by an operator")
		return mgmt.Answer{OK: true}
	}
	return mgmt.Fail("want FLEET STATUS, ZONES, RECORD, NOTE TEXT, EVACUATE ZONE TIME, HOLD TIME, " +
		"RELEASE [ZONE] or RECOVER")
}

// orderMost bounds an order: what staff forget must end.
const orderMost = 24 * time.Hour

// fleetOrder has an order of staff's decided in common.
func (p *program) fleetOrder(what string, args []string) error {
	if what == "RELEASE" {
		zone := strings.Join(args, "")
		return p.fleet.Order("staff: release "+zone, func(now time.Duration, o *zones.Orders) *zones.Orders {
			return o.Without(now, zone)
		})
	}
	long, err := time.ParseDuration(args[len(args)-1])
	if err != nil || long <= 0 || long > orderMost {
		return fmt.Errorf("%q: want a time as in 30m, up to %v", args[len(args)-1], orderMost)
	}
	if what == "HOLD" {
		return p.fleet.Order("staff: hold", func(now time.Duration, o *zones.Orders) *zones.Orders {
			return &zones.Orders{Evacuate: o.Evacuate, Hold: (now + long).Milliseconds()}
		})
	}
	zone := args[0]
	known := p.traffic().Servers()
	if len(known[zone]) == 0 {
		return fmt.Errorf("the list has no server in zone %s, only in %v", zone, slices.Sorted(maps.Keys(known)))
	}
	return p.fleet.Order("staff: evacuate "+zone, func(now time.Duration, o *zones.Orders) *zones.Orders {
		return o.With(now, zone, now+long)
	})
}

func report(v any) mgmt.Answer {
	text, err := json.Marshal(v)
	if err != nil {
		return mgmt.Fail("%v", err)
	}
	return mgmt.Answer{OK: true, Report: true, Lines: []string{string(text), "EOT"}}
}

// fleetCommand is for staff. It asks an ingress, by its operators' address.
type fleetCommand struct {
	Members  fleetMembers  `cmd:"" help:"Who is in the fleet, as one ingress sees it."`
	Zones    fleetZones    `cmd:"" help:"Which zones are left alone from where, why, and who is ill."`
	Record   fleetRecord   `cmd:"" help:"What the fleet has decided in common, as JSON."`
	Note     fleetNote     `cmd:"" help:"Leave a note for other staff in the common record."`
	Evacuate fleetEvacuate `cmd:"" help:"Have all leave a zone's servers alone for a while."`
	Hold     fleetHold     `cmd:"" help:"Have the table of zones stay as it is for a while, whatever fails."`
	Release  fleetRelease  `cmd:"" help:"Take back what evacuate and hold have ordered."`
	Recover  fleetRecover  `cmd:"" help:"Have the voters that are left decide without those that are gone."`
}

// ingressAt is the ingress that is asked.
type ingressAt struct {
	Mgmt string `help:"The operators' address of an ingress." required:"" env:"LB_MGMT" placeholder:"ADDR"`
}

// callWait is more than an ingress takes for any call.
const callWait = 3 * time.Second

// ask calls an ingress, and returns what it says, without the last line of a report.
func (i ingressAt) ask(call string) (string, error) {
	c, err := net.DialTimeout("tcp", i.Mgmt, callWait)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(callWait))
	if _, err := fmt.Fprintln(c, call); err != nil {
		return "", err
	}
	text, err := io.ReadAll(c)
	if err != nil {
		return "", err
	}
	said := strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(string(text)), "EOT"))
	if reason, failed := strings.CutPrefix(said, "FAILURE"); failed {
		return "", errors.New(strings.TrimSpace(reason))
	}
	return said, nil
}

type fleetMembers struct {
	ingressAt
	JSON bool `help:"Print the answer as it came."`
}

// Run prints a line a member.
func (f *fleetMembers) Run(out io.Writer) error {
	text, err := f.ask("FLEET STATUS")
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

type fleetZones struct{ ingressAt }

// Run prints the table, a line a link.
func (f *fleetZones) Run(out io.Writer) error {
	text, err := f.ask("FLEET ZONES")
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

type fleetRecord struct{ ingressAt }

// Run prints the record.
func (f *fleetRecord) Run(out io.Writer) error {
	return f.say(out, "FLEET RECORD")
}

type fleetNote struct {
	ingressAt
	Text string `arg:"" help:"One line."`
}

// Run leaves the note.
func (f *fleetNote) Run(out io.Writer) error {
	return f.say(out, "FLEET NOTE "+strings.Join(strings.Fields(f.Text), " "))
}

// say gives an order and prints what became of it.
func (i ingressAt) say(out io.Writer, call string) error {
	said, err := i.ask(call)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, said)
	return err
}

type fleetEvacuate struct {
	ingressAt
	Zone string        `arg:""`
	For  time.Duration `help:"How long, 24 h at the most." required:""`
}

// Run gives the order.
func (f *fleetEvacuate) Run(out io.Writer) error {
	return f.say(out, fmt.Sprintf("FLEET EVACUATE %s %v", f.Zone, f.For))
}

type fleetHold struct {
	ingressAt
	For time.Duration `help:"How long, 24 h at the most." required:""`
}

// Run gives the order.
func (f *fleetHold) Run(out io.Writer) error { return f.say(out, fmt.Sprintf("FLEET HOLD %v", f.For)) }

type fleetRelease struct {
	ingressAt
	Zone string `arg:"" optional:"" help:"The zone; all orders without it."`
}

// Run gives the order.
func (f *fleetRelease) Run(out io.Writer) error { return f.say(out, "FLEET RELEASE "+f.Zone) }

type fleetRecover struct {
	ingressAt
	Gone bool `help:"Whoever does not answer is dead: you have made sure." required:""`
}

// Run has one voter found a new group.
func (f *fleetRecover) Run(out io.Writer) error {
	return f.say(out, "FLEET RECOVER")
}
