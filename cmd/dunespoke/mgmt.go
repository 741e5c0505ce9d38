package main

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"dunespoke/internal/mgmt"
)

// startMgmt starts the management listener. It doesn't use a listener of package direct: in an upgrade the
// new process has a management address of its own, and each call must reach the process that it is meant for.
func (p *program) startMgmt(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listening for management calls: %w", err)
	}
	go func() { p.failed <- mgmt.Serve(p.work, l, p.handleCall) }()
	p.log.Info().Str("code", "started").Str("mgmt", addr).Msg("accepting management calls")
	return nil
}

// handleCall executes a management call and returns the reply.
func (p *program) handleCall(verb string, args []string) mgmt.Answer {
	if len(args) > 0 && (verb == "HEALTH" || verb == "LEAVE" || verb == "JOIN") {
		return mgmt.Fail("%s takes no words", verb)
	}
	switch verb {
	case "HEALTH":
		return p.health()
	case "LEAVE", "JOIN":
		leave := verb == "LEAVE"
		p.leaveOrdered.Store(leave)
		p.log.Info().Str("code", "mgmt-"+map[bool]string{true: "leave", false: "join"}[leave]).
			Msg("executed an operator's call")
		return mgmt.Answer{OK: true}
	case "DUMP":
		if p.platformCore == nil {
			return mgmt.Fail("no platform front")
		}
		figures, err := json.Marshal(p.dump())
		if err != nil {
			return mgmt.Fail("figures: %v", err)
		}
		return mgmt.Answer{OK: true, Report: true, Lines: []string{string(figures), "EOT"}}
	case "FLEET":
		return p.handleFleetCall(args)
	case "OFFLINE", "ONLINE":
		if len(args) != 1 {
			return mgmt.Fail("%s takes one app server's id", verb)
		}
		return p.setBan(args[0], verb == "OFFLINE")
	}
	return mgmt.Fail("unknown call %q", verb)
}

// bansTimeout limits the wait for the core's goroutine. It is below the caller's timeout of 1 s.
const bansTimeout = 700 * time.Millisecond

// setBan takes an app server out of rotation (on) or puts it back, and saves the list of bans for the process
// of a later upgrade.
func (p *program) setBan(name string, on bool) mgmt.Answer {
	if p.platformCore == nil {
		return mgmt.Fail("no platform front")
	}
	if !p.platformCore.Ban(name, on) {
		return mgmt.Fail("no app server %s has been listed", name)
	}
	all := make(chan []string, 1)
	p.platformCore.Bans(all)
	code := map[bool]string{true: "mgmt-offline", false: "mgmt-online"}[on]
	p.log.Info().Str("code", code).Str("server", name).Msg("executed an operator's call")
	select {
	case list := <-all:
		p.saveBans(list)
	case <-time.After(bansTimeout): // the core is slow and executes the ban later, in the order of its queue
		go func() { p.saveBans(<-all) }()
	}
	return mgmt.Answer{OK: true}
}

// saveBans writes the list of bans to the file from which the process of an upgrade restores it. A failure is
// only logged.
func (p *program) saveBans(list []string) {
	if err := writeBans(bansFile(p.conf.Listen), list); err != nil {
		p.log.Warn().Str("code", "bans-unwritten").Err(err).
			Msg("cannot save the bans; an upgraded process will not restore them")
	}
}

// health replies OK if all fronts are ready and the process isn't stopping.
func (p *program) health() mgmt.Answer {
	if p.stopping.Load() {
		return mgmt.Fail("stopping")
	}
	for _, ready := range p.ready {
		if !ready() {
			return mgmt.Fail("no app server known yet")
		}
	}
	return mgmt.Answer{OK: true}
}
