package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"dunespoke/core"
	"dunespoke/fleet/node"
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
		Lease: time.Duration(set.Lease), Hold: time.Duration(set.Hold), Log: p.log})
	if err != nil {
		leave()
		return err
	}
	p.fleet, p.leave = n, leave
	return nil
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
	figures := p.main.Figures().Snapshot()
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
	case what == "RECOVER" && len(args) == 1:
		if err := p.fleet.Recover(); err != nil {
			return mgmt.Fail("%v", err)
		}
		p.log.Warn().Str("code", "mgmt-fleet-recover").Msg("told by an operator")
		return mgmt.Answer{OK: true}
	}
	return mgmt.Fail("want FLEET STATUS, RECORD, NOTE TEXT or RECOVER")
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
	Members fleetMembers `cmd:"" help:"Who is in the fleet, as one ingress sees it."`
	Record  fleetRecord  `cmd:"" help:"What the fleet has decided in common, as JSON."`
	Note    fleetNote    `cmd:"" help:"Leave a note for other staff in the common record."`
	Recover fleetRecover `cmd:"" help:"Have the voters that are left decide without those that are gone for good."`
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
	fmt.Fprintf(out, "%s: record %s, epoch %d of generation %d, leader %s, a majority stood behind it %d ms ago\n",
		s.Name, s.Standing, s.Epoch, s.Generation, cmp.Or(s.Leader, "none"), s.FreshMS)
	c := s.Messages
	fmt.Fprintf(out, "messages in %d, out %d, not sent %d, forged %d, replayed %d, malformed %d\n", c.In, c.Out, c.Unsent,
		c.Forged, c.Replayed, c.Malformed)
	for _, m := range s.Members {
		fmt.Fprintf(out, "%-12s %-8s zone %-8s region %-8s %-22s since %s\n", m.Name, m.State, m.Zone, m.Region, m.Addr,
			m.Since.Format(time.RFC3339))
	}
	return nil
}

type fleetRecord struct{ ingressAt }

// Run prints the record.
func (f *fleetRecord) Run(out io.Writer) error {
	text, err := f.ask("FLEET RECORD")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, text)
	return err
}

type fleetNote struct {
	ingressAt
	Text string `arg:"" help:"One line."`
}

// Run leaves the note.
func (f *fleetNote) Run(out io.Writer) error {
	said, err := f.ask("FLEET NOTE " + strings.Join(strings.Fields(f.Text), " "))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, said)
	return err
}

type fleetRecover struct {
	ingressAt
	Gone bool `help:"You have made sure that the voters who don't answer are dead: alive, they would decide as well." required:""`
}

// Run has one voter found a new group.
func (f *fleetRecover) Run(out io.Writer) error {
	said, err := f.ask("FLEET RECOVER")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, said)
	return err
}
