package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Timing of heartbeats.
const (
	heartbeatInterval = 150 * time.Millisecond // four within failureTimeout
	// every so many heartbeats, one reports node leases; a lease lasts for four of those reports
	heartbeatsPerLeaseReport = 5
	failureTimeout           = 650 * time.Millisecond // tolerates some lost packets and a scheduling delay
	// The sequence number of a heartbeat has the incarnation of its process above this many low bits.
	heartbeatSequenceBits = 20
	// unresponsiveTimeout is how long a replica that sends heartbeats but doesn't answer a phase of a view
	// change is left out: within sync_s.
	unresponsiveTimeout = 2 * time.Second
)

// Bounds on the age of what a replica reports. Both are measured by the steady clock of the reporting
// replica, which continues while its process is suspended.
const (
	// contactTimeout is the maximum age of what is reported as fresh: failureTimeout plus a round trip.
	contactTimeout = failureTimeout + 100*time.Millisecond
	// MaxStaleness is the same bound, for other packages.
	MaxStaleness = contactTimeout
	// MaxWatchSilence is the maximum time for which a replica without contact to a quorum leaves a watch
	// pending.
	MaxWatchSilence = contactTimeout + viewChangeAllowance
)

// heartbeatHistorySize is the number of its own heartbeats whose send times a replica remembers: about ten
// seconds.
const heartbeatHistorySize = 64

// heartbeatHistory stores when the last heartbeats of this replica were sent, by sequence number.
type heartbeatHistory struct {
	// last starts at a different number in each incarnation, so that heartbeats of different ones aren't mixed
	// up.
	last   uint64
	sentAt [heartbeatHistorySize]time.Duration
	count  uint64 // sent in this incarnation
}

func newHeartbeatHistory(incarnation uint64) heartbeatHistory {
	const incarnations = 1 << 28
	return heartbeatHistory{last: incarnation % incarnations << heartbeatSequenceBits}
}

// record records a heartbeat that is sent now, and returns its sequence number.
func (h *heartbeatHistory) record(now time.Duration) uint64 {
	h.last++
	h.count++
	h.sentAt[h.last%heartbeatHistorySize] = now
	return h.last
}

// sentTime returns when a heartbeat was sent; ok is false if its time is not remembered.
func (h *heartbeatHistory) sentTime(sequence uint64) (at time.Duration, ok bool) {
	if distance := h.last - sequence; distance >= min(heartbeatHistorySize, h.count) {
		return 0, false
	}
	return h.sentAt[sequence%heartbeatHistorySize], true
}

// peerState is what a replica knows about a peer from its heartbeats. Each component reads its own group of
// fields.
type peerState struct {
	// For the failure detector.
	lastHeard   time.Duration // the last heartbeat that was not delayed
	down        bool          // its address has refused a connection since: no process listens there
	joinableAt  time.Duration // when it has been heard without interruption for long enough to join a chain
	restartedAt time.Duration // when its process was last found to have been replaced by another one
	lastHealthy time.Duration // the last heartbeat that did not report it as unhealthy
	unhealthy   bool
	unreachable []string // members that it doesn't hear

	// When it last reported its view, by this replica's clock; 0: not known.
	contactAt time.Duration
	epoch     uint64 // of the reported view

	// Of its last heartbeat, to be echoed.
	lastSequence    uint64
	lastHeartbeatAt time.Duration

	// For view changes and membership.
	storeID               uint64
	caughtUp              bool
	draining, joint       bool
	membershipEpoch       uint64
	lastInSameView        time.Duration // when it last served in the same view as this replica
	unresponsiveUntil     time.Duration // until then no promise is requested: it has not answered a phase
	endpointsEpoch        uint64        // of its list of endpoints
	endpointsSequence     uint64
	leaseSentAt           time.Duration // when this replica sent the heartbeat that the peer's last one echoes
	heardSelfInEpoch      uint64        // of the view in which it has heard this replica
	releasedEpoch         uint64        // of the last view in which it released the allocator role
	oldLeasesExpiredEpoch uint64        // epoch in which it reported that no lease of an earlier view is valid
}

// heard reports whether a peer is heard: it isn't down, and its last heartbeat is recent.
func (p *peerState) heard(now time.Duration) bool { return !p.down && now < p.lastHeard+failureTimeout }

// silent reports whether a peer is down or has sent no heartbeat for longer than failureTimeout.
func (p *peerState) silent(now time.Duration) bool { return p.down || now > p.lastHeard+failureTimeout }

// recordContact records the view that a heartbeat reports and when the heartbeat was sent. A heartbeat that
// was sent before the last recorded one changes nothing.
func (p *peerState) recordContact(epoch uint64, at time.Duration) {
	if at >= p.contactAt {
		p.contactAt, p.epoch = at, epoch
	}
}

// leaving reports whether a peer's process has announced that it is about to end.
func (p *peerState) leaving() bool { return p.draining && p.unhealthy }

// recordHeartbeat records that a heartbeat was received, delayed or not, and reports whether it comes from
// another process than the previous one.
func (p *peerState) recordHeartbeat(now time.Duration, h *message.Heartbeat) (restarted bool) {
	known, previous := p.lastSequence != 0, p.incarnation()
	p.lastSequence, p.lastHeartbeatAt = h.Sequence, now
	return known && p.incarnation() != previous
}

// incarnation identifies the process of the peer, by its last heartbeat.
func (p *peerState) incarnation() uint64 { return p.lastSequence >> heartbeatSequenceBits }

// update records the state that a heartbeat reports about its sender.
func (p *peerState) update(now time.Duration, h *message.Heartbeat, restarted bool) {
	if p.silent(now) || restarted {
		p.joinableAt = now + p.rejoinDelay(now, restarted)
	}
	if restarted {
		p.restartedAt = now
	}
	if !h.Unhealthy {
		p.lastHealthy = now
	}
	p.down = false
	p.lastHeard, p.caughtUp, p.unhealthy = now, h.CaughtUp, h.Unhealthy
	p.storeID, p.unreachable = h.StoreID, h.UnreachableMembers
	p.draining, p.joint, p.membershipEpoch = h.Draining, h.Joint, h.MembershipEpoch
}

// rejoinDelay returns how long a peer that was silent must be heard before it joins a chain. The longer delay
// prevents a flapping link from making it join and leave repeatedly. The absence of a restarted process is
// explained by its restart, unless it restarts repeatedly.
func (p *peerState) rejoinDelay(now time.Duration, restarted bool) time.Duration {
	if restarted && (p.restartedAt == 0 || now >= p.restartedAt+restartLoopWindow) {
		return restartRejoinDelay
	}
	return flapRejoinDelay
}

// failureDetector tracks which peers are live, by their heartbeats.
type failureDetector struct {
	self          string
	startedAt     time.Duration
	byAddr        map[string]*peerState
	sent          heartbeatHistory
	nextHeartbeat time.Duration
}

func newFailureDetector(now time.Duration, options Options) failureDetector {
	return failureDetector{self: options.Self.Addr, startedAt: now, byAddr: map[string]*peerState{},
		sent: newHeartbeatHistory(options.Incarnation), nextHeartbeat: now}
}

// heartbeatDue reports whether a heartbeat has to be sent now, which is once in each interval.
func (d *failureDetector) heartbeatDue(now time.Duration) bool {
	if now < d.nextHeartbeat {
		return false
	}
	d.nextHeartbeat = now + heartbeatInterval
	return true
}

// starting reports whether this process started so recently that it may not have heard all peers yet.
func (d *failureDetector) starting(now time.Duration) bool { return now <= d.startedAt+failureTimeout }

// peer returns the state of a peer, which is created at its first heartbeat.
func (d *failureDetector) peer(now time.Duration, addr string) *peerState {
	p := d.byAddr[addr]
	if p == nil {
		p = &peerState{joinableAt: now + restartRejoinDelay, lastHealthy: now}
		d.byAddr[addr] = p
	}
	return p
}

// reachable returns the addresses of the members that are heard, including this replica.
func (d *failureDetector) reachable(now time.Duration, members []message.Node) (list []string) {
	for _, m := range members {
		if p := d.byAddr[m.Addr]; m.Addr == d.self || p != nil && p.heard(now) {
			list = append(list, m.Addr)
		}
	}
	return list
}

// unreachable returns the addresses of the members that are not heard; none while this process is starting.
func (d *failureDetector) unreachable(now time.Duration, members []message.Node) (list []string) {
	if d.starting(now) {
		return nil
	}
	for _, m := range members {
		if p := d.byAddr[m.Addr]; m.Addr != d.self && (p == nil || p.silent(now)) {
			list = append(list, m.Addr)
		}
	}
	return list
}

// partitioned reports whether a replica and any of others can't hear each other, so that they can't be in the
// same chain.
func (d *failureDetector) partitioned(addr string, others []string) bool {
	cannotReach := func(a, b string) bool { return a != d.self && slices.Contains(d.byAddr[a].unreachable, b) }
	return slices.ContainsFunc(others, func(other string) bool {
		return cannotReach(addr, other) || cannotReach(other,
			addr)
	})
}

// echo adds the last heartbeat that was received from the recipient to a copy of a heartbeat.
func (d *failureDetector) echo(now time.Duration, to string, h message.Heartbeat) *message.Heartbeat {
	if p := d.byAddr[to]; p != nil && p.lastSequence != 0 {
		h.EchoSequence = p.lastSequence
		h.EchoDelayMillis = uint64((now - p.lastHeartbeatAt).Milliseconds())
	}
	return &h
}

// sentTime returns when a peer sent a heartbeat, by this replica's clock, or slightly earlier. The heartbeat
// echoes the last heartbeat that the peer received from this replica and the delay since it received that.
// Time that the heartbeat spent in a socket or waiting for a suspended process counts towards its age. ok is
// false if the echoed heartbeat is not known.
func (d *failureDetector) sentTime(now time.Duration, h *message.Heartbeat) (at time.Duration, ok bool) {
	echoed, ok := d.sent.sentTime(h.EchoSequence)
	if !ok {
		return 0, false
	}
	return min(now, echoed+time.Duration(h.EchoDelayMillis)*time.Millisecond), true
}

// ReachableMembers returns the addresses of the members of the core that are heard now, including this one.
func (r *Replica) ReachableMembers() []string { return r.peers.reachable(r.now, r.store.saved.Members) }

// hearsQuorum reports whether this replica hears a quorum, or is still starting. A replica that hears none is
// of no use to the members that hear it.
func (r *Replica) hearsQuorum() bool {
	if r.peers.starting(r.now) {
		return true
	}
	return hasQuorum(func(m message.Node) bool {
		return r.isPresent(m) && (m.Addr == r.self || r.peers.byAddr[m.Addr].heard(r.now))
	}, r.store.saved.electorates()...)
}

// inContact reports whether a peer recently reported that it serves in this replica's view.
func (r *Replica) inContact(p *peerState) bool {
	return p != nil && p.epoch == r.epoch && p.contactAt != 0 && r.now < p.contactAt+contactTimeout
}

// sendHeartbeats sends the state of this replica to the other members.
func (r *Replica) sendHeartbeats() {
	h := r.heartbeat()
	for _, m := range r.store.saved.allMembers() {
		if m.Addr != r.self {
			r.send(m.Addr, r.peers.echo(r.now, m.Addr, h))
		}
	}
}

// heartbeat returns the next heartbeat, without an echo.
func (r *Replica) heartbeat() message.Heartbeat {
	saved := &r.store.saved
	isolated := !r.hearsQuorum()
	if isolated {
		r.releaseAllocatorRole()
	}
	h := message.Heartbeat{
		CaughtUp:  saved.CaughtUp && r.store.pending.CaughtUp,
		Unhealthy: r.DiskUnhealthy() || isolated || r.leaving, ReleasedEpoch: r.allocator.releasedEpoch,
		StoreID: saved.StoreID, MembershipEpoch: saved.MembershipEpoch, Joint: len(saved.OutgoingMembers) > 0,
		Draining:           r.draining,
		UnreachableMembers: r.peers.unreachable(r.now, saved.allMembers()),
		Sequence:           r.peers.sent.record(r.now),
		Endpoints:          r.endpoints.version(),
	}
	if r.peers.sent.count%heartbeatsPerLeaseReport == 0 {
		h.Nodes = r.nodes.renewedLocally(r.now)
	}
	if r.state == StateServing {
		h.Epoch, h.Version = r.epoch, r.committed
		h.OldLeasesExpired = r.recordHeartbeatInView(h.Sequence)
	}
	return h
}

// HandleDisconnected handles the end or reset of a connection to a process. A member is sent a heartbeat at
// once, which opens a new connection: if the process has ended, its address refuses that.
func (r *Replica) HandleDisconnected(now time.Duration, addr string) {
	r.now = now
	if r.isMemberAddress(addr) && r.peers.byAddr[addr] != nil {
		r.send(addr, r.peers.echo(now, addr, r.heartbeat()))
	}
}

// HandleRefused handles a refused connection: no process listens at the address. The peer is only considered
// down until it is heard again. It may still be running behind a firewall that refuses the connection, so
// what was promised to it stays valid.
func (r *Replica) HandleRefused(now time.Duration, addr string) {
	r.now = now
	p := r.peers.byAddr[addr]
	if p == nil || p.down || !r.isMemberAddress(addr) {
		return
	}
	p.down = true
	r.log(events.PeerRefused, "peer", addr)
	r.evaluateView()
}

// handleHeartbeat records what a heartbeat reports, for each component that uses it.
func (r *Replica) handleHeartbeat(from string, h *message.Heartbeat) {
	if !r.admitHeartbeat(from, h) {
		return
	}
	p := r.peers.peer(r.now, from)
	heardQuorum := r.hearsQuorum()
	restarted := p.recordHeartbeat(r.now, h)
	sentAt, known := r.peers.sentTime(r.now, h)
	if p.storeID != h.StoreID { // the recorded contact was with another store
		p.contactAt = 0
	}
	p.recordContact(h.Epoch, sentAt)
	delayed := known && r.now >= sentAt+failureTimeout // it reports a past state of the peer
	wasSilent := p.silent(r.now)
	if !delayed {
		p.update(r.now, h, restarted)
	}
	if !heardQuorum && r.hearsQuorum() {
		r.sendHeartbeats() // peers may be waiting for this replica
	}
	for _, node := range h.Nodes {
		if known {
			node.LeaseAge += uint64((r.now - sentAt).Milliseconds())
		}
		r.nodes.renew(r.now, node, false)
	}
	if h.Endpoints != nil {
		p.endpointsEpoch, p.endpointsSequence = h.Endpoints.Epoch, h.Endpoints.Sequence
	}
	r.followView(from, p, h, delayed)
	r.sendNewerEndpoints(from, p)
	if wasSilent && r.state == StateStandby { // a view may be possible now
		r.evaluateView()
	}
}

// followView handles what a heartbeat reports about its sender's view.
func (r *Replica) followView(from string, p *peerState, h *message.Heartbeat, delayed bool) {
	switch {
	case h.Epoch > r.epoch && r.state == StateServing: // not in the newer view: its state may be outdated
		r.epoch, r.chain = h.Epoch, nil
		r.transition(StateStandby)
		r.sendHeartbeats() // the next holder of the role may be waiting for its lease to end
	case h.Epoch == r.epoch && r.state == StateServing:
		r.handleCommitted(&message.Committed{Epoch: h.Epoch, Version: h.Version})
	}
	if p.epoch == r.epoch && !delayed {
		p.lastInSameView = r.now
	}
	r.recordAllocatorLease(p, h)
	if p.epoch == r.epoch && !r.quorumSeen && r.ServingWithQuorum() {
		r.quorumSeen = true
		r.answerDueWatchers()
		r.notifyWatchers() // of the view
	}
	// the peer has missed the activation of this view
	if r.state == StateServing && h.CaughtUp && h.Epoch < r.epoch && slices.Contains(r.chain, from) {
		r.send(from, &message.ActivateView{Epoch: r.epoch, Chain: r.chain, Version: r.committed})
	}
}
