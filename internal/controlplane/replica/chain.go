package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// proposal is a configuration that waits to be acknowledged.
type proposal struct {
	client      string
	incarnation uint64 // of the process that asked
	requestID   uint64
	accepted    message.AcceptedVersion
	config      []byte
	receivedAt  time.Duration
	// it has gone down the chain in this view: what that ends with is its answer
	replicating        bool
	confirmationSentAt time.Duration // when a majority was asked last
}

// isRequest reports whether it is a call of a process.
func (p *proposal) isRequest(from string, life, call uint64) bool {
	return p.client == from && p.incarnation == life && p.requestID == call
}

// epochConfirmation is a question to a majority, whether this machine's view is still the newest that can be
// in service.
type epochConfirmation struct {
	confirmed map[string]bool
	startedAt time.Duration
	onQuorum  func()
}

// chainPosition is this machine's in the chain; -1: in none.
func (f *Replica) chainPosition() int {
	if f.state != StateServing {
		return -1
	}
	return slices.Index(f.chain, f.self)
}

// redirect tells who asked that this is not the machine to ask, and which view it knows.
func (f *Replica) redirect(from string, m *message.Message) {
	f.Actions.Send(
		from,
		&message.Message{
			Type:        message.TypeReject,
			Incarnation: m.Incarnation,
			RequestID:   m.RequestID,
			Epoch:       f.epoch,
			Chain:       f.chain,
		},
	)
}

// handlePut takes a configuration at the head.
func (f *Replica) handlePut(from string, m *message.Message) {
	if f.chainPosition() != 0 || len(f.proposals) >= maxProposals {
		f.redirect(from, m)
		return
	}
	if slices.ContainsFunc(
		f.proposals,
		func(p proposal) bool { return p.isRequest(from, m.Incarnation, m.RequestID) },
	) {
		return
	}
	if m.Config == nil {
		return
	}
	config, err := m.Config.Apply(0, nil)
	if err != nil {
		return
	}
	f.proposals = append(
		f.proposals,
		proposal{
			client:      from,
			incarnation: m.Incarnation,
			requestID:   m.RequestID,
			config:      config,
			receivedAt:  f.now,
			accepted:    message.AcceptedVersion{Version: m.Version, Digest: message.DigestOf(config)},
		},
	)
	f.proposeNext()
}

// proposeNext answers for what the chain has, and starts on the next: all that wait go down the chain at
// once, the highest number with its text, those below it as numbers that are taken.
func (f *Replica) proposeNext() {
	if f.chainPosition() != 0 {
		return
	}
	f.answerCommitted()
	if f.pending.Version > f.committed { // one is on its way
		return
	}
	var batch []message.AcceptedVersion
	for i := range f.proposals {
		p := &f.proposals[i]
		if p.accepted.Version <= f.committed {
			continue
		}
		batch = append(batch, p.accepted)
		if p.replicating = true; p.accepted.Version > f.pending.Version {
			f.pending.Version, f.pending.Config = p.accepted.Version, p.config
		}
	}
	if len(batch) == 0 {
		return
	}
	f.pending.AcceptedEpoch, f.pending.AcceptedVersions = f.epoch, AppendAccepted(
		f.pending.AcceptedVersions,
		batch...)
	f.saveAndRelay()
}

// answerCommitted answers those whose numbers are not above what is committed. What has gone down the chain
// in this view was taken by all of it; for the rest a majority is asked first whether this is the head still.
func (f *Replica) answerCommitted() {
	f.proposals = slices.DeleteFunc(f.proposals, func(p proposal) bool {
		if p.accepted.Version > f.committed || !p.replicating {
			return false
		}
		f.answerProposal(p)
		return true
	})
	for i := range f.proposals {
		if p := &f.proposals[i]; p.accepted.Version <= f.committed &&
			(p.confirmationSentAt == 0 || f.now >= p.confirmationSentAt+relayRetryInterval) {
			p.confirmationSentAt = f.now
			defer f.confirmAndAnswer(
				p.client,
				p.incarnation,
				p.requestID,
			) // which may answer at once, and drops it then
		}
	}
}

// confirmAndAnswer answers one that waits, once a majority has said that this is the head still.
func (f *Replica) confirmAndAnswer(from string, life, call uint64) {
	f.confirmEpoch(func() {
		f.proposals = slices.DeleteFunc(f.proposals, func(p proposal) bool {
			if !p.isRequest(from, life, call) {
				return false
			}
			f.answerProposal(p)
			return true
		})
	})
}

// answerProposal answers for a number that is not above what is committed: one that stands with the same text
// is acknowledged, however often it comes, and with another is a conflict. One of which nothing is remembered
// is acknowledged and changes nothing, since the highest version wins.
func (f *Replica) answerProposal(p proposal) {
	m := &message.Message{
		Type:        message.TypeCommitted,
		Incarnation: p.incarnation,
		RequestID:   p.requestID,
		Version:     f.committed,
		OK:          true,
	}
	if sum, known := f.pending.digestOf(p.accepted.Version); known && sum != p.accepted.Digest {
		m.Type, m.OK = message.TypeConflict, false
	}
	f.Actions.Send(p.client, m)
}

// saveAndRelay saves what came down the chain, and passes it on; the tail says that it is done.
func (f *Replica) saveAndRelay() {
	epoch := f.epoch
	f.save(func() {
		if f.epoch == epoch && f.pending.PromisedEpoch == epoch {
			f.relay()
		}
	})
}

// relay sends what is on disk down the chain.
func (f *Replica) relay() {
	at := f.chainPosition()
	if at < 0 {
		return
	}
	again := f.relayedVersion == f.saved.Version // the first time did not do it: without a base
	f.relayedAt, f.relayedVersion = f.now, f.saved.Version
	if at < len(f.chain)-1 {
		f.Actions.Send(
			f.chain[at+1],
			&message.Message{
				Type:    message.TypeReplicate,
				Epoch:   f.epoch,
				Version: f.saved.Version,
				AcceptedVersions: f.saved.acceptedAbove(
					f.committed,
				),
				Config: f.deltaFor(f.savedConfig(), f.committed, !again),
			},
		)
		return
	}
	m := &message.Message{Type: message.TypeCommitted, Epoch: f.epoch, Version: f.saved.Version}
	for _, to := range f.chain[:at] {
		f.Actions.Send(to, m)
	}
	f.handleCommitted(m)
}

// handleReplicate takes what comes down the chain.
func (f *Replica) handleReplicate(from string, m *message.Message) {
	at := f.chainPosition()
	if at <= 0 || m.Epoch != f.epoch || f.pending.PromisedEpoch != f.epoch || f.chain[at-1] != from {
		return
	}
	switch {
	case m.Version > f.pending.Version && m.Config != nil:
		// The head starts on the next once what came before is done.
		f.handleCommitted(&message.Message{Epoch: f.epoch, Version: f.saved.Version})
		config, err := m.Config.Apply(f.pending.Version, f.pending.Config)
		if err != nil {
			return // it comes again, whole
		}
		f.pending.Value = Value{AcceptedEpoch: f.epoch, Version: m.Version, Config: config,
			AcceptedVersions: AppendAccepted(f.pending.AcceptedVersions, m.AcceptedVersions...)}
		f.saveAndRelay()
	case m.Version == f.saved.Version: // once more: an answer was lost
		f.relay()
	}
}

// handleCommitted tells that the tail has a version: it is committed.
func (f *Replica) handleCommitted(m *message.Message) {
	if f.state != StateServing || m.Epoch != f.epoch || m.Version <= f.committed || m.Version > f.saved.Version {
		return
	}
	f.recordCommit(m.Version)
	f.notifyWatchers()
	f.proposeNext()
}

// maxConfigHistory is how many configurations are kept, to tell newer ones as changes of them.
const maxConfigHistory = 4

// recordCommit notes that a version can't be lost any more.
func (f *Replica) recordCommit(version uint64) {
	f.committed = max(f.committed, version)
	if f.saved.Version != f.committed ||
		len(f.configHistory) > 0 && f.configHistory[len(f.configHistory)-1].version == f.committed {
		return
	}
	f.configHistory = append(f.configHistory, configVersion{f.committed, f.saved.Config})
	if len(f.configHistory) > maxConfigHistory {
		f.configHistory = f.configHistory[1:]
	}
	clear(f.deltas)
}

// savedConfig is the configuration on disk.
func (f *Replica) savedConfig() configVersion { return configVersion{f.saved.Version, f.saved.Config} }

// deltaFor is a configuration as a change of a version, if that is wanted and known. It is made once for all
// who ask with the same.
func (f *Replica) deltaFor(t configVersion, base uint64, change bool) *message.Delta {
	var old []byte
	if i := slices.IndexFunc(
		f.configHistory,
		func(t configVersion) bool { return t.version == base },
	); i >= 0 &&
		change {
		old = f.configHistory[i].config
	} else {
		base = 0
	}
	key := [2]uint64{t.version, base}
	p := f.deltas[key]
	if p == nil {
		p = message.NewDelta(t.config, base, old)
		if len(f.deltas) >= 2*maxConfigHistory {
			clear(f.deltas)
		}
		f.deltas[key] = p
	}
	return p
}

// resend sends again what may have been lost on its way, and drops what has waited too long.
func (f *Replica) resend() {
	if f.chainPosition() == 0 && f.saved.Version > f.committed && f.now >= f.relayedAt+relayRetryInterval {
		f.relay()
	}
	f.proposals = slices.DeleteFunc(
		f.proposals,
		func(p proposal) bool { return f.now > p.receivedAt+5*time.Second },
	)
	f.proposeNext() // for those that a majority has not been heard about
	for id, r := range f.confirmations {
		if f.now > r.startedAt+time.Second {
			delete(f.confirmations, id)
		}
	}
}

// handleRead answers from the tail, once a majority has said that no later view can be in service.
func (f *Replica) handleRead(from string, m *message.Message) {
	if at := f.chainPosition(); at < 0 || at != len(f.chain)-1 || len(f.confirmations) >= maxProposals {
		f.redirect(from, m)
		return
	}
	f.confirmEpoch(func() {
		if f.saved.Version != f.committed { // it is being passed on
			return
		}
		answer := &message.Message{
			Type:        message.TypeReadResult,
			Incarnation: m.Incarnation,
			RequestID:   m.RequestID,
			Version:     f.committed,
			OK:          true,
		}
		if f.committed > m.Version {
			answer.Config = f.deltaFor(f.savedConfig(), m.Version, true)
		}
		f.Actions.Send(from, answer)
	})
}

// confirmEpoch asks a majority whether this machine's view is the newest that can be in service, and goes on
// once it has said so. Without a majority nothing comes of it.
func (f *Replica) confirmEpoch(then func()) {
	f.lastConfirmation++
	f.confirmations[f.lastConfirmation] = &epochConfirmation{
		confirmed: map[string]bool{},
		startedAt: f.now,
		onQuorum:  then,
	}
	for _, r := range f.saved.Members {
		if r.Addr != f.self {
			f.Actions.Send(
				r.Addr,
				&message.Message{Type: message.TypeConfirmEpoch, RequestID: f.lastConfirmation, Epoch: f.epoch},
			)
		}
	}
	f.handleEpochConfirmed(
		f.self,
		&message.Message{RequestID: f.lastConfirmation, Epoch: f.epoch, OK: f.pending.PromisedEpoch == f.epoch},
	)
}

func (f *Replica) handleEpochConfirmed(from string, m *message.Message) {
	r := f.confirmations[m.RequestID]
	if r == nil || !m.OK || m.Epoch != f.epoch || !f.isMemberAddress(from) || f.state != StateServing {
		return
	}
	r.confirmed[from] = true
	if !hasQuorum(
		func(m message.Node) bool { return r.confirmed[m.Addr] && f.is(m) },
		f.pending.electorates()...) {
		return
	}
	delete(f.confirmations, m.RequestID)
	r.onQuorum()
}
