package replica

import (
	"maps"
	"time"

	"dunespoke/internal/controlplane/message"
)

// confirmationTimeout is how long to wait for a quorum.
const confirmationTimeout = time.Second

// epochConfirmation is a pending request to a quorum to confirm that this replica's view is still the newest
// one that can serve.
type epochConfirmation struct {
	confirmed map[string]bool
	startedAt time.Duration
	onQuorum  func()
}

// epochConfirmations are the confirmations that have not reached a quorum yet.
type epochConfirmations struct {
	pending map[uint64]*epochConfirmation // by request id
	lastID  uint64
}

func newEpochConfirmations() epochConfirmations {
	return epochConfirmations{pending: map[uint64]*epochConfirmation{}}
}

// expire drops the confirmations that have timed out.
func (c *epochConfirmations) expire(now time.Duration) {
	maps.DeleteFunc(c.pending, func(_ uint64, q *epochConfirmation) bool {
		return now > q.startedAt+confirmationTimeout
	})
}

// stepRead handles a message of a quorum read.
func (r *Replica) stepRead(from string, m *message.Message) {
	switch body := m.Body.(type) {
	case *message.Read:
		r.handleRead(from, m, body)
	case *message.ConfirmEpoch:
		r.handleConfirmEpoch(from, m, body)
	case *message.EpochConfirmed:
		r.handleEpochConfirmed(from, m.RequestID, body)
	}
}

// handleRead answers at the tail once a quorum has confirmed that no later view can serve.
func (r *Replica) handleRead(from string, m *message.Message, read *message.Read) {
	position := r.chainPosition()
	if position < 0 || position != len(r.chain)-1 || len(r.confirmations.pending) >= maxProposals {
		r.redirect(from, m)
		return
	}
	r.confirmEpoch(func() {
		if r.store.saved.Version != r.committed { // a newer version is being replicated
			return
		}
		result := &message.ReadResult{Version: r.committed, OK: true}
		if r.committed > read.Version {
			result.Config = r.history.delta(r.store.saved.configVersion(), read.Version, true)
		}
		r.reply(from, m, result)
	})
}

// confirmEpoch asks the other members to confirm that this replica's view is the newest one that can serve,
// and calls onQuorum once a quorum has confirmed it. Without a quorum, onQuorum is never called.
func (r *Replica) confirmEpoch(onQuorum func()) {
	r.confirmations.lastID++
	id := r.confirmations.lastID
	r.confirmations.pending[id] = &epochConfirmation{confirmed: map[string]bool{}, startedAt: r.now,
		onQuorum: onQuorum}
	for _, m := range r.store.saved.Members {
		if m.Addr != r.self {
			r.options.Actions.Send(m.Addr,
				&message.Message{RequestID: id, Body: &message.ConfirmEpoch{Epoch: r.epoch}})
		}
	}
	r.handleEpochConfirmed(r.self, id,
		&message.EpochConfirmed{Epoch: r.epoch, OK: r.store.pending.PromisedEpoch == r.epoch})
}

// handleConfirmEpoch confirms an epoch if it is the last one that this replica has promised. Which view the
// replica serves is irrelevant: no later view can serve unless a quorum has promised its epoch.
func (r *Replica) handleConfirmEpoch(from string, m *message.Message, request *message.ConfirmEpoch) {
	ok := r.store.saved.CaughtUp && r.store.pending.CaughtUp && r.store.pending.PromisedEpoch == request.Epoch
	r.reply(from, m, &message.EpochConfirmed{Epoch: request.Epoch, OK: ok})
}

func (r *Replica) handleEpochConfirmed(from string, id uint64, answer *message.EpochConfirmed) {
	confirmation := r.confirmations.pending[id]
	if confirmation == nil || !answer.OK || answer.Epoch != r.epoch || !r.isMemberAddress(from) ||
		r.state != StateServing {
		return
	}
	confirmation.confirmed[from] = true
	confirmed := func(m message.Node) bool { return confirmation.confirmed[m.Addr] && r.isPresent(m) }
	if !hasQuorum(confirmed, r.store.pending.electorates()...) {
		return
	}
	delete(r.confirmations.pending, id)
	confirmation.onQuorum()
}
