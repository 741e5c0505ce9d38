package main

import (
	"fmt"
	"net"

	"dunespoke/internal/mgmt"
)

// mgmt starts where operators call. It is not one of package direct's listeners, since an upgrade gives the new
// process an address of its own for it, and calls must reach the process they are meant for.
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
		for _, s := range p.servers {
			if leave {
				s.Leave()
			} else {
				s.Join()
			}
		}
		p.log.Info().Str("code", "mgmt-"+map[bool]string{true: "leave", false: "join"}[leave]).
			Msg("told by an operator")
		return mgmt.Answer{OK: true}
	}
	return mgmt.Fail("unknown call %q", verb)
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
