package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Times and bounds of the chain.
const (
	relayRetryInterval = 300 * time.Millisecond // of what goes down the chain
	maxProposalAge     = 5 * time.Second        // after which nobody waits for a proposal any more
	maxProposals       = 64                     // that wait at the head
)

// clientRequest is who asked, and what its response has to repeat.
type clientRequest struct {
	addr        string
	incarnation uint64
	requestID   uint64
}

// respond sends the response to a client.
func (r *Replica) respond(to clientRequest, body message.Body) {
	r.options.Actions.Send(to.addr, &message.Message{RequestID: to.requestID, Incarnation: to.incarnation,
		Body: body})
}

// proposal is a configuration that waits to be acknowledged.
type proposal struct {
	client     clientRequest
	accepted   message.AcceptedVersion
	config     []byte
	receivedAt time.Duration
	// replicating says that it has gone down the chain in this view: what that ends with is its response.
	replicating bool
	confirmedAt time.Duration // when a quorum was last asked on its behalf; 0: not yet
}

// replication is the replica's part in the chain: what waits at the head, and what it handed down last.
type replication struct {
	proposals      []proposal
	relayedVersion uint64
	relayedAt      time.Duration
}

// suspend notes that the view has ended: whether what went down its chain is committed, the next one says.
func (c *replication) suspend() {
	for i := range c.proposals {
		c.proposals[i].replicating = false
	}
}

// waits reports whether a proposal of a client waits already.
func (c *replication) waits(client clientRequest) bool {
	return slices.ContainsFunc(c.proposals, func(p proposal) bool { return p.client == client })
}

// shared returns the configuration of a proposal that waits with the same version and digest, else the
// one given: operators send the same one through several nodes, and a long one is not to be kept for
// each.
func (c *replication) shared(accepted message.AcceptedVersion, config []byte) []byte {
	i := slices.IndexFunc(c.proposals, func(p proposal) bool { return p.accepted == accepted })
	if i < 0 {
		return config
	}
	return c.proposals[i].config
}

// take removes and returns the proposals for which a condition holds.
func (c *replication) take(done func(p *proposal) bool) (taken []proposal) {
	c.proposals = slices.DeleteFunc(c.proposals, func(p proposal) bool {
		if !done(&p) {
			return false
		}
		taken = append(taken, p)
		return true
	})
	return taken
}

// stepChain takes a message of the chain.
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

// chainPosition is this replica's in the chain; -1: in none.
func (r *Replica) chainPosition() int {
	if r.state != StateServing {
		return -1
	}
	return slices.Index(r.chain, r.self)
}

// redirect tells a client that this is not the replica to ask, and which view it knows.
func (r *Replica) redirect(from string, request *message.Message) {
	r.reply(from, request, &message.Reject{Epoch: r.epoch, Chain: r.chain})
}

// handlePut takes a configuration at the head.
func (r *Replica) handlePut(from string, m *message.Message, put *message.Put) {
	if r.chainPosition() != 0 || len(r.replication.proposals) >= maxProposals {
		r.redirect(from, m)
		return
	}
	client := clientRequest{from, m.Incarnation, m.RequestID}
	if put.Config == nil || r.replication.waits(client) {
		return
	}
	config, err := put.Config.Apply(0, nil)
	if err != nil {
		return // the client sends it again
	}
	accepted := message.AcceptedVersion{Version: put.Version, Digest: message.DigestOf(config)}
	r.replication.proposals = append(r.replication.proposals, proposal{client: client, accepted: accepted,
		config: r.replication.shared(accepted, config), receivedAt: r.now})
	r.proposeNext()
}

// proposeNext responds to what is committed, and starts on the next: all that wait go down the chain at once,
// the highest version with its configuration, those below it as accepted versions.
func (r *Replica) proposeNext() {
	if r.chainPosition() != 0 {
		return
	}
	r.respondToCommitted()
	pending := &r.store.pending
	if pending.Version > r.committed { // one is on its way
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

// respondToCommitted responds to those whose versions are not above what is committed. What has gone down the
// chain in this view was accepted by all of it; for the rest a quorum is asked first whether this is the head
// still.
func (r *Replica) respondToCommitted() {
	settled := r.replication.take(func(p *proposal) bool {
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

// confirmAndRespond responds to a client that waits, once a quorum has said that this is the head still.
func (r *Replica) confirmAndRespond(client clientRequest) {
	r.confirmEpoch(func() {
		confirmed := r.replication.take(func(p *proposal) bool { return p.client == client })
		for i := range confirmed {
			r.respondToProposal(&confirmed[i])
		}
	})
}

// respondToProposal responds for a version that is not above what is committed: one that was accepted with
// the same content is acknowledged, however often it comes, and with another is a conflict. One of which
// nothing is remembered is acknowledged and changes nothing, since the highest version wins.
func (r *Replica) respondToProposal(p *proposal) {
	digest, known := r.store.pending.digestOf(p.accepted.Version)
	if known && digest != p.accepted.Digest {
		r.respond(p.client, &message.Conflict{Version: r.committed})
		return
	}
	r.respond(p.client, &message.Committed{Version: r.committed, OK: true})
}

// saveAndRelay saves what came down the chain, and hands it on; the tail says that it is committed.
func (r *Replica) saveAndRelay() {
	epoch := r.epoch
	r.save(func() {
		if r.epoch == epoch && r.store.pending.PromisedEpoch == epoch {
			r.relay()
		}
	})
}

// relay hands what is on disk down the chain.
func (r *Replica) relay() {
	position := r.chainPosition()
	if position < 0 {
		return
	}
	saved := &r.store.saved
	again := r.replication.relayedVersion == saved.Version // the first time did not do it: in full
	r.replication.relayedAt, r.replication.relayedVersion = r.now, saved.Version
	if position < len(r.chain)-1 {
		r.send(r.chain[position+1], &message.Replicate{Epoch: r.epoch, Version: saved.Version,
			AcceptedVersions: saved.acceptedAbove(r.committed),
			Config:           r.history.delta(saved.configVersion(), r.committed, !again)})
		return
	}
	committed := &message.Committed{Epoch: r.epoch, Version: saved.Version}
	for _, to := range r.chain[:position] {
		r.send(to, committed)
	}
	r.handleCommitted(committed)
}

// handleReplicate takes what comes down the chain.
func (r *Replica) handleReplicate(from string, m *message.Replicate) {
	position := r.chainPosition()
	pending := &r.store.pending
	if position <= 0 || m.Epoch != r.epoch || pending.PromisedEpoch != r.epoch || r.chain[position-1] != from {
		return
	}
	switch {
	case m.Version > pending.Version && m.Config != nil:
		// The head starts on the next once what came before is committed.
		r.handleCommitted(&message.Committed{Epoch: r.epoch, Version: r.store.saved.Version})
		config, err := m.Config.Apply(pending.Version, pending.Config)
		if err != nil {
			return // it comes again, in full
		}
		pending.Value = Value{AcceptedEpoch: r.epoch, Version: m.Version, Config: config,
			AcceptedVersions: AppendAccepted(pending.AcceptedVersions, m.AcceptedVersions...)}
		r.saveAndRelay()
	case m.Version == r.store.saved.Version: // once more: a response was lost
		r.relay()
	}
}

// handleCommitted takes that the tail has a version: it is committed.
func (r *Replica) handleCommitted(m *message.Committed) {
	if r.state != StateServing || m.Epoch != r.epoch || m.Version <= r.committed ||
		m.Version > r.store.saved.Version {
		return
	}
	r.commit(m.Version)
	r.notifyWatchers()
	r.proposeNext()
}

// commit notes that a version can't be lost any more.
func (r *Replica) commit(version uint64) {
	r.committed = max(r.committed, version)
	if r.store.saved.Version == r.committed {
		r.history.add(r.store.saved.configVersion())
	}
}

// commitOverdue reports whether something has been on this disk for long, and is not known to be committed:
// it may be, and acknowledged, and this replica alone has not been told.
func (r *Replica) commitOverdue() bool {
	return r.store.saved.Version > r.committed && r.now > r.store.versionSince+contactTimeout
}

// retryReplication sends again what may have been lost on its way, and drops what has waited too long.
func (r *Replica) retryReplication() {
	if r.chainPosition() == 0 && r.store.saved.Version > r.committed &&
		r.now >= r.replication.relayedAt+relayRetryInterval {
		r.relay()
	}
	r.replication.take(func(p *proposal) bool { return r.now > p.receivedAt+maxProposalAge })
	r.proposeNext() // for those that a quorum has not been heard about
	r.confirmations.expire(r.now)
}
