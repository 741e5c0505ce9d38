package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// gapReportDelay is how long the members must be unable to provide the required fault tolerance, even if all
// were healthy, before that is logged.
const gapReportDelay = 30 * time.Second

// toleranceMonitor tracks the fault tolerance and what has been logged about it.
type toleranceMonitor struct {
	tolerated        bool          // the required failures could be tolerated at the last check
	impossibleSince  time.Duration // since when all members together can't tolerate them; 0: they can
	impossibleLogged bool          // the event has been logged
}

// ToleratedFailures returns how many members may fail now without data loss, so that a view can serve again.
// It is 0 on a replica that doesn't know that a view serves. A repair is complete once it equals the required
// number.
func (r *Replica) ToleratedFailures() int {
	return r.tolerance.toleratedFailures(r.healthyMembers(), r.store.saved.Members)
}

// ToleranceGap explains why the required failures of machines, zones and regions can't all be tolerated now;
// it is empty if they can.
func (r *Replica) ToleranceGap() string {
	if r.tolerance.isZero() {
		return ""
	}
	if !r.ServingWithQuorum() || len(r.store.saved.OutgoingMembers) > 0 {
		return "no view serves here, or its members are changing"
	}
	return r.tolerance.gap(r.healthyMembers(), r.store.saved.Members)
}

// healthyMembers returns the healthy members of the serving view: heard, caught up, serving in it, and with
// the last membership change recorded as complete. It returns none on a replica that doesn't know that a view
// serves.
func (r *Replica) healthyMembers() []message.Node {
	saved := &r.store.saved
	if !r.ServingWithQuorum() || len(saved.OutgoingMembers) > 0 {
		return nil
	}
	return slices.DeleteFunc(membersAt(saved.Members, r.chain), func(m message.Node) bool {
		return !r.isHealthy(m.Addr)
	})
}

// isHealthy reports whether a member of the view is healthy.
func (r *Replica) isHealthy(addr string) bool {
	if addr == r.self && !r.DiskUnhealthy() {
		return true
	}
	p := r.peers.byAddr[addr]
	return p != nil && r.isLive(addr) && p.caughtUp && p.epoch == r.epoch && !p.joint &&
		p.membershipEpoch == r.store.saved.MembershipEpoch
}

// monitorTolerance logs when the required fault tolerance is lost or restored, and once if the current
// members can never provide it.
func (r *Replica) monitorTolerance() {
	gap, wasTolerated := r.ToleranceGap(), r.monitor.tolerated
	r.monitor.tolerated = gap == ""
	switch {
	case r.monitor.tolerated && !wasTolerated:
		r.log(events.ToleranceRestored, "tolerated", r.ToleratedFailures(), "epoch", r.epoch,
			"members", len(r.store.saved.Members))
	case !r.monitor.tolerated && wasTolerated:
		r.log(events.ToleranceLost, "tolerated", r.ToleratedFailures(), "epoch", r.epoch, "why", gap)
	}
	r.reportImpossible()
}

// reportImpossible logs once that the members can't provide the required fault tolerance even if all are
// healthy, if that has lasted for gapReportDelay without a learner that changes it.
func (r *Replica) reportImpossible() {
	members := r.store.saved.Members
	gap := ""
	if r.tolerance.coversDomains() {
		gap = r.tolerance.gap(members, members)
	}
	monitor := &r.monitor
	switch {
	case gap == "":
		monitor.impossibleSince, monitor.impossibleLogged = 0, false
	case monitor.impossibleLogged:
	// a replica that is the proposer only briefly, or is isolated, can't judge this
	case r.proposer() != r.self || !r.ServingWithQuorum():
		monitor.impossibleSince = 0
	case monitor.impossibleSince == 0:
		monitor.impossibleSince = r.now
	case r.now >= monitor.impossibleSince+gapReportDelay:
		monitor.impossibleLogged = true
		r.log(events.ToleranceImpossible, "why", gap, "members", len(members))
	}
}
