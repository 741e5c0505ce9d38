package replica

import (
	"maps"
	"time"

	"dunespoke/internal/controlplane/message"
)

// confirmationTimeout is how long a quorum is awaited.
const confirmationTimeout = time.Second

// epochConfirmation is a question to a quorum, whether this replica's view is still the newest that can
// serve.
type epochConfirmation struct {
	confirmed map[string]bool
	startedAt time.Duration
	onQuorum  func()
}

// epochConfirmations are those that await a quorum.
type epochConfirmations struct {
	pending map[uint64]*epochConfirmation // by request id
	lastID  uint64
}

func newEpochConfirmations() epochConfirmations {
	return epochConfirmations{pending: map[uint64]*epochConfirmation{}}
}

// expire drops those that have waited too long.
func (c *epochConfirmations) expire(now time.Duration) {
	maps.DeleteFunc(c.pending, func(_ uint64, q *epochConfirmation) bool {
		return now > q.startedAt+confirmationTimeout
	})
}

// stepRead takes a message of a quorum read.
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

// handleRead responds from the tail, once a quorum has said that no later view can serve.
func (r *Replica) handleRead(from string, m *message.Message, read *message.Read) {
	position := r.chainPosition()
	if position < 0 || position != len(r.chain)-1 || len(r.confirmations.pending) >= maxProposals {
		r.redirect(from, m)
		return
	}
	r.confirmEpoch(func() {
		if r.store.saved.Version != r.committed { // it is being handed down
			return
		}
		result := &message.ReadResult{Version: r.committed, OK: true}
		if r.committed > read.Version {
			result.Config = r.history.delta(r.store.saved.configVersion(), read.Version, true)
		}
		r.reply(from, m, result)
	})
}

// confirmEpoch asks the other members whether this replica's view is the newest that can serve, and goes on
// once a quorum has said so. Without a quorum nothing comes of it.
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

// handleConfirmEpoch answers not what this replica serves, but what it has promised: no later view can serve
// unless a quorum has promised its epoch.
func (r *Replica) handleConfirmEpoch(from string, m *message.Message, ask *message.ConfirmEpoch) {
	ok := r.store.saved.CaughtUp && r.store.pending.CaughtUp && r.store.pending.PromisedEpoch == ask.Epoch
	r.reply(from, m, &message.EpochConfirmed{Epoch: ask.Epoch, OK: ok})
}

func (r *Replica) handleEpochConfirmed(from string, id uint64, answer *message.EpochConfirmed) {
	question := r.confirmations.pending[id]
	if question == nil || !answer.OK || answer.Epoch != r.epoch || !r.isMemberAddress(from) ||
		r.state != StateServing {
		return
	}
	question.confirmed[from] = true
	confirmed := func(m message.Node) bool { return question.confirmed[m.Addr] && r.isPresent(m) }
	if !hasQuorum(confirmed, r.store.pending.electorates()...) {
		return
	}
	delete(r.confirmations.pending, id)
	question.onQuorum()
}
