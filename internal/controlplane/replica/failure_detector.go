package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Times of heartbeats.
const (
	heartbeatInterval = 150 * time.Millisecond // four in the time after which silence counts
	// of them one tells of nodes: leases last for four of those
	heartbeatsPerLeaseReport = 5
	failureTimeout           = 650 * time.Millisecond // some lost packets and a slow turn are no failure
	// Sequence numbers of heartbeats have their incarnation above so many bits.
	heartbeatsPerIncarnationBits = 20
	// unresponsiveTimeout is for a replica that is heard and doesn't answer: within sync_s.
	unresponsiveTimeout = 2 * time.Second
)

// How old the news of a replica may be. Both go by the teller's own steady clock, which runs on while its
// process stands still.
const (
	// contactTimeout is the most for what is told as fresh: silence that counts as failure, and a round trip.
	contactTimeout = failureTimeout + 100*time.Millisecond
	// MaxStaleness is the same, for others.
	MaxStaleness = contactTimeout
	// MaxWatchSilence is for how long a replica that is out of touch holds a watch at most.
	MaxWatchSilence = contactTimeout + viewChangeAllowance
)

// heartbeatHistorySize is how many heartbeats of its own a replica remembers the times of: ten seconds of
// them.
const heartbeatHistorySize = 64

// heartbeatHistory has the times of the heartbeats that a replica sent last, by their sequence numbers.
type heartbeatHistory struct {
	last   uint64 // each incarnation begins with another, so that none is taken for one of an earlier
	sentAt [heartbeatHistorySize]time.Duration
	count  uint64 // in this incarnation
}

func newHeartbeatHistory(incarnation uint64) heartbeatHistory {
	const incarnations = 1 << 28
	return heartbeatHistory{last: incarnation % incarnations << heartbeatsPerIncarnationBits}
}

// record counts a heartbeat that is sent now, and returns its sequence number.
func (h *heartbeatHistory) record(now time.Duration) uint64 {
	h.last++
	h.count++
	h.sentAt[h.last%heartbeatHistorySize] = now
	return h.last
}

// sentTime returns when a heartbeat was sent; false: it is none of those remembered.
func (h *heartbeatHistory) sentTime(sequence uint64) (at time.Duration, ok bool) {
	if back := h.last - sequence; back >= min(heartbeatHistorySize, h.count) {
		return 0, false
	}
	return h.sentAt[sequence%heartbeatHistorySize], true
}

// peerState is what a replica knows of another by its heartbeats. Each concern reads its own group of fields.
type peerState struct {
	// Whether it is alive, for the failure detector.
	lastHeard   time.Duration // the last heartbeat that was not held up
	down        bool          // its address has refused a connection since: no process listens there
	joinableAt  time.Duration // when it has been heard without a break for long enough to join a chain
	restartedAt time.Duration // when its process was last found to be another one
	lastHealthy time.Duration // the last one of a replica that could be counted on
	unhealthy   bool
	unreachable []string // members that it does not hear

	// When it last told its view, by this replica's clock; 0: not known.
	contactAt time.Duration
	epoch     uint64 // of that view

	// What it last sent, to be echoed.
	lastSequence    uint64
	lastHeartbeatAt time.Duration

	// Who it is, for view changes and membership.
	storeID            uint64
	caughtUp           bool
	draining, joint    bool
	membershipEpoch    uint64
	lastServingWithUs  time.Duration // when it last served in the same view
	unresponsiveUntil  time.Duration // until then it is not asked for promises: it has answered none
	endpointsEpoch     uint64        // of its list of endpoints
	endpointsSequence  uint64
	leaseSentAt        time.Duration // when this replica sent the heartbeat that the peer's last one echoes
	sawUsInEpoch       uint64        // of the view in which it has heard this replica
	releasedEpoch      uint64        // of the last view in which it has given up the allocator's role
	oldLeasesExpiredIn uint64        // epoch under which it said that none outside the chain holds a lease of it
}

// heard reports whether a peer is heard.
func (p *peerState) heard(now time.Duration) bool { return !p.down && now < p.lastHeard+failureTimeout }

// silent reports whether a peer has fallen silent.
func (p *peerState) silent(now time.Duration) bool { return p.down || now > p.lastHeard+failureTimeout }

// recordContact notes what a heartbeat tells of its sender's view. One that was sent before another changes
// nothing.
func (p *peerState) recordContact(epoch uint64, at time.Duration) {
	if at >= p.contactAt {
		p.contactAt, p.epoch = at, epoch
	}
}

// leaving reports whether a peer's process has said that it is about to end.
func (p *peerState) leaving() bool { return p.draining && p.unhealthy }

// received notes that a heartbeat came, held up or not, and whether another process sent it than the one
// before.
func (p *peerState) received(now time.Duration, h *message.Heartbeat) (restarted bool) {
	known, before := p.lastSequence != 0, p.incarnation()
	p.lastSequence, p.lastHeartbeatAt = h.Sequence, now
	return known && p.incarnation() != before
}

// incarnation tells one process of the peer from another, by the last heartbeat that came.
func (p *peerState) incarnation() uint64 { return p.lastSequence >> heartbeatsPerIncarnationBits }

// update takes what a heartbeat tells of its sender now.
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

// rejoinDelay is for how long a peer that came back must be heard before it joins a chain. A link that
// flaps would have it come and go; a process that was restarted has a reason to have been away, unless
// that happens again and again.
func (p *peerState) rejoinDelay(now time.Duration, restarted bool) time.Duration {
	if restarted && (p.restartedAt == 0 || now >= p.restartedAt+restartLoopWindow) {
		return restartRejoinDelay
	}
	return flapRejoinDelay
}

// failureDetector knows which peers are alive, by their heartbeats.
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

// heartbeatDue reports whether a heartbeat is to be sent, once in each interval.
func (d *failureDetector) heartbeatDue(now time.Duration) bool {
	if now < d.nextHeartbeat {
		return false
	}
	d.nextHeartbeat = now + heartbeatInterval
	return true
}

// starting reports whether peers may not have been heard yet after this process's start.
func (d *failureDetector) starting(now time.Duration) bool { return now <= d.startedAt+failureTimeout }

// peer returns what is known of a peer, from its first heartbeat on.
func (d *failureDetector) peer(now time.Duration, addr string) *peerState {
	p := d.byAddr[addr]
	if p == nil {
		p = &peerState{joinableAt: now + restartRejoinDelay, lastHealthy: now}
		d.byAddr[addr] = p
	}
	return p
}

// reachable returns which of some members are heard, this replica among them.
func (d *failureDetector) reachable(now time.Duration, members []message.Node) (list []string) {
	for _, m := range members {
		if p := d.byAddr[m.Addr]; m.Addr == d.self || p != nil && p.heard(now) {
			list = append(list, m.Addr)
		}
	}
	return list
}

// unreachable returns which of some members are not heard. After a start it gives them time.
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

// partitioned reports whether a replica and one of some others don't hear each other: they can't be in one
// chain.
func (d *failureDetector) partitioned(addr string, others []string) bool {
	misses := func(a, b string) bool { return a != d.self && slices.Contains(d.byAddr[a].unreachable, b) }
	return slices.ContainsFunc(others, func(other string) bool {
		return misses(addr, other) || misses(other,
			addr)
	})
}

// echo has a heartbeat name the last one that came from who it goes to.
func (d *failureDetector) echo(now time.Duration, to string, h message.Heartbeat) *message.Heartbeat {
	if p := d.byAddr[to]; p != nil && p.lastSequence != 0 {
		h.EchoSequence = p.lastSequence
		h.EchoDelayMillis = uint64((now - p.lastHeartbeatAt).Milliseconds())
	}
	return &h
}

// sentTime returns when a peer sent a heartbeat, by this replica's clock, or a little earlier: it names the
// last heartbeat of this one that it had, and how long before it had that. What waited on its way, in a
// socket or before a process that stood still, is as old as it is, however late it is read. False: it has
// heard none.
func (d *failureDetector) sentTime(now time.Duration, h *message.Heartbeat) (at time.Duration, ok bool) {
	echoed, ok := d.sent.sentTime(h.EchoSequence)
	if !ok {
		return 0, false
	}
	return min(now, echoed+time.Duration(h.EchoDelayMillis)*time.Millisecond), true
}

// ReachableMembers returns the members of the core that are heard now, this one among them.
func (r *Replica) ReachableMembers() []string { return r.peers.reachable(r.now, r.store.saved.Members) }

// hearsQuorum reports whether this replica hears a quorum, or may yet after its start. One that doesn't is of
// no use to those who hear it.
func (r *Replica) hearsQuorum() bool {
	if r.peers.starting(r.now) {
		return true
	}
	return hasQuorum(func(m message.Node) bool {
		return r.isPresent(m) && (m.Addr == r.self || r.peers.byAddr[m.Addr].heard(r.now))
	}, r.store.saved.electorates()...)
}

// inContact reports whether a peer said a moment ago that it serves in this replica's view.
func (r *Replica) inContact(p *peerState) bool {
	return p != nil && p.epoch == r.epoch && p.contactAt != 0 && r.now < p.contactAt+contactTimeout
}

// sendHeartbeats tells the other members how this replica is.
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
	alone := !r.hearsQuorum()
	if alone {
		r.releaseAllocatorRole()
	}
	h := message.Heartbeat{
		CaughtUp:  saved.CaughtUp && r.store.pending.CaughtUp,
		Unhealthy: r.DiskUnhealthy() || alone || r.leaving, ReleasedEpoch: r.allocator.releasedEpoch,
		StoreID: saved.StoreID, MembershipEpoch: saved.MembershipEpoch, Joint: len(saved.OutgoingMembers) > 0,
		Draining:           r.draining,
		UnreachableMembers: r.peers.unreachable(r.now, saved.allMembers()),
		Sequence:           r.peers.sent.record(r.now),
		Endpoints:          r.endpoints.version(),
	}
	if r.peers.sent.count%heartbeatsPerLeaseReport == 0 {
		h.Nodes = r.nodes.renewedHere(r.now)
	}
	if r.state == StateServing {
		h.Epoch, h.Version = r.epoch, r.committed
		h.OldLeasesExpired = r.noteHeartbeatInView(h.Sequence)
	}
	return h
}

// HandleDisconnected tells that a connection to a process has ended, by its end or a reset. A member is
// sent a heartbeat at once: by a new connection if it lives, and if its process is gone, the address
// refuses that.
func (r *Replica) HandleDisconnected(now time.Duration, addr string) {
	r.now = now
	if r.isMemberAddress(addr) && r.peers.byAddr[addr] != nil {
		r.send(addr, r.peers.echo(now, addr, r.heartbeat()))
	}
}

// HandleRefused tells that an address has refused a connection: no process listens there. That is no more
// than a reason to do without the peer, until it is heard again: where a firewall refuses in its place,
// it lives, and what was promised to it holds on.
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

// handleHeartbeat takes a heartbeat, and what each concern reads of it.
func (r *Replica) handleHeartbeat(from string, h *message.Heartbeat) {
	if !r.admitHeartbeat(from, h) {
		return
	}
	p := r.peers.peer(r.now, from)
	heardQuorum := r.hearsQuorum()
	restarted := p.received(r.now, h)
	sentAt, known := r.peers.sentTime(r.now, h)
	if p.storeID != h.StoreID { // what was heard is of another store
		p.contactAt = 0
	}
	p.recordContact(h.Epoch, sentAt)
	delayed := known && r.now >= sentAt+failureTimeout // it tells how the peer was, not how it is
	cameBack := p.silent(r.now)
	if !delayed {
		p.update(r.now, h, restarted)
	}
	if !heardQuorum && r.hearsQuorum() {
		r.sendHeartbeats() // who waits for this replica need not wait for its next heartbeat
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
	if cameBack && r.state == StateStandby { // a view may be possible now
		r.evaluateView()
	}
}

// followView takes what a heartbeat tells of its sender's view.
func (r *Replica) followView(from string, p *peerState, h *message.Heartbeat, delayed bool) {
	switch {
	case h.Epoch > r.epoch && r.state == StateServing: // this replica was left out: what it knows may be old
		r.epoch, r.chain = h.Epoch, nil
		r.transition(StateStandby)
		r.sendHeartbeats() // who waits for its lease to end need not wait for the next one
	case h.Epoch == r.epoch && r.state == StateServing:
		r.handleCommitted(&message.Committed{Epoch: h.Epoch, Version: h.Version})
	}
	if p.epoch == r.epoch && !delayed {
		p.lastServingWithUs = r.now
	}
	r.recordAllocatorLease(p, h)
	if p.epoch == r.epoch && !r.quorumSeen && r.ServingWithQuorum() {
		r.quorumSeen = true
		r.answerDueWatchers()
		r.notifyWatchers() // of the view
	}
	// it missed that
	if r.state == StateServing && h.CaughtUp && h.Epoch < r.epoch && slices.Contains(r.chain, from) {
		r.send(from, &message.ActivateView{Epoch: r.epoch, Chain: r.chain, Version: r.committed})
	}
}
