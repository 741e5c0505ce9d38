package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Timing and bounds of the chain.
const (
	relayRetryInterval = 300 * time.Millisecond // of messages down the chain
	maxProposalAge     = 5 * time.Second        // no client waits longer for a response
	maxProposals       = 64                     // that may be pending at the head
)

// clientRequest identifies a request of a client, as needed to respond to it.
type clientRequest struct {
	addr        string
	incarnation uint64
	requestID   uint64
}

// respond sends a response to a client.
func (r *Replica) respond(to clientRequest, body message.Body) {
	r.options.Actions.Send(to.addr, &message.Message{RequestID: to.requestID, Incarnation: to.incarnation,
		Body: body})
}

// proposal is a configuration that has not been acknowledged yet.
type proposal struct {
	client     clientRequest
	accepted   message.AcceptedVersion
	config     []byte
	receivedAt time.Duration
	// replicating reports that the proposal was sent down the chain in this view. Once its version is committed,
	// it can be answered without another confirmation.
	replicating bool
	confirmedAt time.Duration // when a quorum was last requested to confirm the view for it; 0: never
}

// replication is the state of this replica as a part of the chain: the proposals pending at the head, and the
// version that it sent down the chain last.
type replication struct {
	proposals      []proposal
	relayedVersion uint64
	relayedAt      time.Duration
}

// resetReplicating marks all proposals as not replicating, because the view has ended. The next view decides
// whether what was sent down the chain is committed.
func (c *replication) resetReplicating() {
	for i := range c.proposals {
		c.proposals[i].replicating = false
	}
}

// hasProposalOf reports whether a proposal of a client's request is already pending.
func (c *replication) hasProposalOf(client clientRequest) bool {
	return slices.ContainsFunc(c.proposals, func(p proposal) bool { return p.client == client })
}

// sharedConfig returns the configuration of a pending proposal with the same version and digest, or else the
// given one. Operators send the same configuration through several nodes, and a long one should be stored
// only once.
func (c *replication) sharedConfig(accepted message.AcceptedVersion, config []byte) []byte {
	i := slices.IndexFunc(c.proposals, func(p proposal) bool { return p.accepted == accepted })
	if i < 0 {
		return config
	}
	return c.proposals[i].config
}

// removeProposals removes and returns the proposals for which matches returns true.
func (c *replication) removeProposals(matches func(p *proposal) bool) (removed []proposal) {
	c.proposals = slices.DeleteFunc(c.proposals, func(p proposal) bool {
		if !matches(&p) {
			return false
		}
		removed = append(removed, p)
		return true
	})
	return removed
}

// stepChain handles a message of the chain.
func (r *Replica) stepChain(from string, m *message.Message) {
	switch body := m.Body.(type) {
	case *message.Put:
		r.handlePut(from, m, body)
	case *message.Replicate:
		r.handleReplicate(from, body)
	case *message.Committed:
		r.handleCommitted(body)
	}
}

// chainPosition returns the position of this replica in the chain, or -1 if it doesn't serve in one.
func (r *Replica) chainPosition() int {
	if r.state != StateServing {
		return -1
	}
	return slices.Index(r.chain, r.self)
}

// redirect rejects a client's request that this replica can't serve, and reports the view that it knows.
func (r *Replica) redirect(from string, request *message.Message) {
	r.reply(from, request, &message.Reject{Epoch: r.epoch, Chain: r.chain})
}

// handlePut handles a configuration that is sent to the head.
func (r *Replica) handlePut(from string, m *message.Message, put *message.Put) {
	if r.chainPosition() != 0 || len(r.replication.proposals) >= maxProposals {
		r.redirect(from, m)
		return
	}
	client := clientRequest{from, m.Incarnation, m.RequestID}
	if put.Config == nil || r.replication.hasProposalOf(client) {
		return
	}
	config, err := put.Config.Apply(0, nil)
	if err != nil {
		return // the client sends it again
	}
	accepted := message.AcceptedVersion{Version: put.Version, Digest: message.DigestOf(config)}
	r.replication.proposals = append(r.replication.proposals, proposal{client: client, accepted: accepted,
		config: r.replication.sharedConfig(accepted, config), receivedAt: r.now})
	r.proposeNext()
}

// proposeNext answers the proposals that are committed, and then sends all other pending proposals down the
// chain at once: the highest version with its configuration, the lower ones as accepted versions only.
func (r *Replica) proposeNext() {
	if r.chainPosition() != 0 {
		return
	}
	r.respondToCommitted()
	pending := &r.store.pending
	if pending.Version > r.committed { // a proposal is still being replicated
		return
	}
	var batch []message.AcceptedVersion
	for i := range r.replication.proposals {
		p := &r.replication.proposals[i]
		if p.accepted.Version <= r.committed {
			continue
		}
		batch = append(batch, p.accepted)
		p.replicating = true
		if p.accepted.Version > pending.Version {
			pending.Version, pending.Config = p.accepted.Version, p.config
		}
	}
	if len(batch) == 0 {
		return
	}
	pending.AcceptedEpoch = r.epoch
	pending.AcceptedVersions = AppendAccepted(pending.AcceptedVersions, batch...)
	r.saveAndRelay()
}

// respondToCommitted answers the proposals whose versions are not above the committed one. A proposal that
// was sent down the chain in this view has been accepted by all its replicas. For the others, a quorum first
// has to confirm that this replica is still the head.
func (r *Replica) respondToCommitted() {
	settled := r.replication.removeProposals(func(p *proposal) bool {
		return p.accepted.Version <= r.committed && p.replicating
	})
	for i := range settled {
		r.respondToProposal(&settled[i])
	}
	var unconfirmed []clientRequest
	for i := range r.replication.proposals {
		p := &r.replication.proposals[i]
		due := p.confirmedAt == 0 || r.now >= p.confirmedAt+relayRetryInterval
		if p.accepted.Version <= r.committed && due {
			p.confirmedAt = r.now
			unconfirmed = append(unconfirmed, p.client)
		}
	}
	for _, client := range unconfirmed {
		r.confirmAndRespond(client)
	}
}

// confirmAndRespond answers a client's request once a quorum has confirmed that this replica is still the
// head.
func (r *Replica) confirmAndRespond(client clientRequest) {
	r.confirmEpoch(func() {
		confirmed := r.replication.removeProposals(func(p *proposal) bool { return p.client == client })
		for i := range confirmed {
			r.respondToProposal(&confirmed[i])
		}
	})
}

// respondToProposal answers a proposal whose version is not above the committed one. If that version was
// accepted with the same content, the proposal is acknowledged, however often it is sent; with other content
// it is a conflict. A version that is no longer remembered is acknowledged and changes nothing, since the
// highest version wins.
func (r *Replica) respondToProposal(p *proposal) {
	digest, known := r.store.pending.digestOf(p.accepted.Version)
	if known && digest != p.accepted.Digest {
		r.respond(p.client, &message.Conflict{Version: r.committed})
		return
	}
	r.respond(p.client, &message.Committed{Version: r.committed, OK: true})
}

// saveAndRelay saves what was received from the chain and then relays it, unless the view has changed since.
func (r *Replica) saveAndRelay() {
	epoch := r.epoch
	r.save(func() {
		if r.epoch == epoch && r.store.pending.PromisedEpoch == epoch {
			r.relay()
		}
	})
}

// relay sends the saved version to the next replica of the chain. The tail instead reports to the other
// replicas that the version is committed.
func (r *Replica) relay() {
	position := r.chainPosition()
	if position < 0 {
		return
	}
	saved := &r.store.saved
	retransmission := r.replication.relayedVersion == saved.Version // the first attempt failed: send it in full
	r.replication.relayedAt, r.replication.relayedVersion = r.now, saved.Version
	if position < len(r.chain)-1 {
		r.send(r.chain[position+1], &message.Replicate{Epoch: r.epoch, Version: saved.Version,
			AcceptedVersions: saved.acceptedAbove(r.committed),
			Config:           r.history.delta(saved.configVersion(), r.committed, !retransmission)})
		return
	}
	committed := &message.Committed{Epoch: r.epoch, Version: saved.Version}
	for _, to := range r.chain[:position] {
		r.send(to, committed)
	}
	r.handleCommitted(committed)
}

// handleReplicate handles a version that the preceding replica of the chain has sent.
func (r *Replica) handleReplicate(from string, m *message.Replicate) {
	position := r.chainPosition()
	pending := &r.store.pending
	if position <= 0 || m.Epoch != r.epoch || pending.PromisedEpoch != r.epoch || r.chain[position-1] != from {
		return
	}
	switch {
	case m.Version > pending.Version && m.Config != nil:
		// The head proposes the next version only after the previous one is committed.
		r.handleCommitted(&message.Committed{Epoch: r.epoch, Version: r.store.saved.Version})
		config, err := m.Config.Apply(pending.Version, pending.Config)
		if err != nil {
			return // it is sent again, in full
		}
		pending.Value = Value{AcceptedEpoch: r.epoch, Version: m.Version, Config: config,
			AcceptedVersions: AppendAccepted(pending.AcceptedVersions, m.AcceptedVersions...)}
		r.saveAndRelay()
	case m.Version == r.store.saved.Version: // a repetition: a response was lost
		r.relay()
	}
}

// handleCommitted handles the report that the tail has saved a version, so that it is committed.
func (r *Replica) handleCommitted(m *message.Committed) {
	if r.state != StateServing || m.Epoch != r.epoch || m.Version <= r.committed ||
		m.Version > r.store.saved.Version {
		return
	}
	r.commit(m.Version)
	r.notifyWatchers()
	r.proposeNext()
}

// commit records that a version is committed and can't be lost any more.
func (r *Replica) commit(version uint64) {
	r.committed = max(r.committed, version)
	if r.store.saved.Version == r.committed {
		r.history.add(r.store.saved.configVersion())
	}
}

// commitOverdue reports whether the version on disk has been there for longer than contactTimeout without
// being known as committed. It may have been committed and acknowledged without this replica being notified.
func (r *Replica) commitOverdue() bool {
	return r.store.saved.Version > r.committed && r.now > r.store.versionSince+contactTimeout
}

// retryReplication resends messages that may have been lost, and drops proposals that have expired.
func (r *Replica) retryReplication() {
	if r.chainPosition() == 0 && r.store.saved.Version > r.committed &&
		r.now >= r.replication.relayedAt+relayRetryInterval {
		r.relay()
	}
	r.replication.removeProposals(func(p *proposal) bool { return r.now > p.receivedAt+maxProposalAge })
	r.proposeNext() // retries those that no quorum has confirmed yet
	r.confirmations.expire(r.now)
}
