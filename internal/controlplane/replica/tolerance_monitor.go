package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// gapReportDelay is for how long the members can't tolerate what survive names, were they all healthy, before
// it is logged.
const gapReportDelay = 30 * time.Second

// toleranceMonitor notes what was logged of the fault tolerance.
type toleranceMonitor struct {
	tolerated     bool          // what may be lost at once could be when last looked
	impossible    time.Duration // since when the members can't, were they all healthy; 0: they can
	impossibleLog bool          // and that was logged
}

// ToleratedFailures is how many members may be lost now with nothing lost and a view that serves again; 0 on
// a replica that does not know that a view serves. A repair has ended once it is what is to be tolerated.
func (r *Replica) ToleratedFailures() int {
	return r.tolerance.toleratedFailures(r.healthyMembers(), r.store.saved.Members)
}

// ToleranceGap tells why not all that may be lost at once can be now, by machines, zones and regions; empty:
// it can.
func (r *Replica) ToleranceGap() string {
	if r.tolerance.isZero() {
		return ""
	}
	if !r.ServingWithQuorum() || len(r.store.saved.OutgoingMembers) > 0 {
		return "no view serves here, or its members are changing"
	}
	return r.tolerance.gap(r.healthyMembers(), r.store.saved.Members)
}

// healthyMembers returns the members of the view that can be counted on: heard, caught up, serving in it,
// with the last membership change noted as complete; none on a replica that does not know that a view serves.
func (r *Replica) healthyMembers() []message.Node {
	saved := &r.store.saved
	if !r.ServingWithQuorum() || len(saved.OutgoingMembers) > 0 {
		return nil
	}
	return slices.DeleteFunc(membersAt(saved.Members, r.chain), func(m message.Node) bool {
		return !r.isHealthy(m.Addr)
	})
}

// isHealthy reports whether a member can be counted on in the view.
func (r *Replica) isHealthy(addr string) bool {
	if addr == r.self && !r.DiskUnhealthy() {
		return true
	}
	p := r.peers.byAddr[addr]
	return p != nil && r.isLive(addr) && p.caughtUp && p.epoch == r.epoch && !p.joint &&
		p.membershipEpoch == r.store.saved.MembershipEpoch
}

// monitorTolerance logs when what is to be tolerated can be again, and when not; and once when it never can
// be, by the members that there are.
func (r *Replica) monitorTolerance() {
	gap, was := r.ToleranceGap(), r.monitor.tolerated
	r.monitor.tolerated = gap == ""
	switch {
	case r.monitor.tolerated && !was:
		r.log(events.ToleranceRestored, "tolerated", r.ToleratedFailures(), "epoch", r.epoch,
			"members", len(r.store.saved.Members))
	case !r.monitor.tolerated && was:
		r.log(events.ToleranceLost, "tolerated", r.ToleratedFailures(), "epoch", r.epoch, "why", gap)
	}
	r.reportImpossible()
}

// reportImpossible logs once that the members can't tolerate what the settings name, where no learner changes
// that for a while.
func (r *Replica) reportImpossible() {
	members := r.store.saved.Members
	gap := ""
	if r.tolerance.coversDomains() {
		gap = r.tolerance.gap(members, members)
	}
	monitor := &r.monitor
	switch {
	case gap == "":
		monitor.impossible, monitor.impossibleLog = 0, false
	case monitor.impossibleLog:
	// who is first only for a moment, or alone, can't tell
	case r.proposer() != r.self || !r.ServingWithQuorum():
		monitor.impossible = 0
	case monitor.impossible == 0:
		monitor.impossible = r.now
	case r.now >= monitor.impossible+gapReportDelay:
		monitor.impossibleLog = true
		r.log(events.ToleranceImpossible, "why", gap, "members", len(members))
	}
}
