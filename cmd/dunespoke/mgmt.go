package main

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"dunespoke/internal/mgmt"
)

// mgmt starts where operators call. It is not one of package direct's listeners, since an upgrade gives the
// new process an address of its own for it, and calls must reach the process they are meant for.
func (p *program) mgmt(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listening for operators' calls: %w", err)
	}
	go func() { p.failed <- mgmt.Serve(p.work, l, p.call) }()
	p.log.Info().Str("code", "started").Str("mgmt", addr).Msg("taking operators' calls")
	return nil
}

// call answers an operator's call.
func (p *program) call(verb string, args []string) mgmt.Answer {
	if len(args) > 0 && (verb == "HEALTH" || verb == "LEAVE" || verb == "JOIN") {
		return mgmt.Fail("%s takes no words", verb)
	}
	switch verb {
	case "HEALTH":
		return p.health()
	case "LEAVE", "JOIN":
		leave := verb == "LEAVE"
		p.leaving.Store(leave)
		p.log.Info().Str("code", "mgmt-"+map[bool]string{true: "leave", false: "join"}[leave]).
			Msg("told by an operator")
		return mgmt.Answer{OK: true}
	case "DUMP":
		if p.main == nil {
			return mgmt.Fail("no platform front")
		}
		figures, err := json.Marshal(p.dump())
		if err != nil {
			return mgmt.Fail("figures: %v", err)
		}
		return mgmt.Answer{OK: true, Report: true, Lines: []string{string(figures), "EOT"}}
	case "FLEET":
		return p.fleetCall(args)
	case "OFFLINE", "ONLINE":
		if len(args) != 1 {
			return mgmt.Fail("%s takes one app server's id", verb)
		}
		return p.ban(args[0], verb == "OFFLINE")
	}
	return mgmt.Fail("unknown call %q", verb)
}

// banWait bounds the wait for the core's goroutine: a caller waits a second.
const banWait = 700 * time.Millisecond

// ban takes an app server out of rotation, or puts it back, and keeps the bans for a process that follows.
func (p *program) ban(name string, on bool) mgmt.Answer {
	if p.main == nil {
		return mgmt.Fail("no platform front")
	}
	if !p.main.Ban(name, on) {
		return mgmt.Fail("no app server %s has been listed", name)
	}
	all := make(chan []string, 1)
	p.main.Bans(all)
	code := map[bool]string{true: "mgmt-offline", false: "mgmt-online"}[on]
	p.log.Info().Str("code", code).Str("server", name).Msg("told by an operator")
	select {
	case list := <-all:
		p.keepBans(list)
	case <-time.After(banWait): // the core is slow; the ban goes in the order of its queue
		go func() { p.keepBans(<-all) }()
	}
	return mgmt.Answer{OK: true}
}

// keepBans writes the bans where a process that upgrades this one finds them.
func (p *program) keepBans(list []string) {
	if err := writeBans(bansFile(p.conf.Listen), list); err != nil {
		p.log.Warn().Str("code", "bans-unwritten").Err(err).Msg("a process that follows won't know the bans")
	}
}

// health is yes once this process takes clients, and no once it is told to stop.
func (p *program) health() mgmt.Answer {
	if p.stops.Load() {
		return mgmt.Fail("stopping")
	}
	for _, ready := range p.ready {
		if !ready() {
			return mgmt.Fail("no app server known yet")
		}
	}
	return mgmt.Answer{OK: true}
}
