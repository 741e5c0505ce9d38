package client

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Timing of calls to the core.
const (
	callRetryInterval = 200 * time.Millisecond // a retry goes to the replica that serves by then
	// CallTimeout is the maximum duration of a call. Operators give up after a second without a response.
	CallTimeout = 880 * time.Millisecond
)

// ErrNoResponse reports that a call got no definite response in time. The core may have executed the call,
// or may still execute it.
var ErrNoResponse = errors.New("client: no definite response from the core in time")

// ConflictError reports that the version of a configuration was already accepted with different content.
type ConflictError struct {
	Committed uint64 // the committed version
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("client: the version was accepted with different content; version %d is committed",
		e.Committed)
}

// PutDone is called once when a Put ends, with the version that the core has committed, which may be later
// than the one that was put. The error is ErrNoResponse or a *ConflictError.
type PutDone func(committed uint64, err error)

// ReadDone is called once when a Read ends, with the newest configuration. The error wraps ErrNoResponse.
type ReadDone func(version uint64, config []byte, err error)

// ChangeMembersDone is called once when a ChangeMembers ends. The error is ErrNoResponse.
type ChangeMembersDone func(result *message.ChangeMembersResult, err error)

// pendingCall is a call that waits for its response.
type pendingCall struct {
	request   message.Message
	startedAt time.Duration
	sentAt    time.Duration
	sentTo    string
	attempts  int
	done      func(response message.Body) // response is nil after a timeout
}

// calls are the pending calls of a Client.
type calls struct {
	pending map[uint64]*pendingCall // by request id
	lastID  uint64
}

func newCalls() calls { return calls{pending: map[uint64]*pendingCall{}} }

// complete ends the call that m responds to. It ignores a message of a type that is no response to the
// request.
func (cs *calls) complete(m *message.Message) {
	call := cs.pending[m.RequestID]
	if call == nil || !slices.Contains(message.ResponseTypes[call.request.Type()], m.Type()) {
		return
	}
	delete(cs.pending, m.RequestID)
	call.done(m.Body)
}

// Put sends a configuration to the core.
func (c *Client) Put(now time.Duration, version uint64, config []byte, done PutDone) {
	request := &message.Put{Version: version, Config: message.NewDelta(config, 0, nil)}
	c.startCall(now, request, func(response message.Body) {
		switch response := response.(type) {
		case *message.Committed:
			done(response.Version, nil)
		case *message.Conflict:
			done(response.Version, &ConflictError{response.Version})
		default:
			done(0, ErrNoResponse)
		}
	})
}

// ChangeMembers requests a change of the core's members. If both addresses are empty, it only lists them.
func (c *Client) ChangeMembers(now time.Duration, add, remove string, done ChangeMembersDone) {
	request := &message.ChangeMembers{AddMember: add, RemoveMember: remove}
	c.startCall(now, request, func(response message.Body) {
		if result, ok := response.(*message.ChangeMembersResult); ok {
			done(result, nil)
			return
		}
		done(nil, ErrNoResponse)
	})
}

// Read requests the newest configuration from the core.
func (c *Client) Read(now time.Duration, done ReadDone) {
	current := c.resources.config
	c.startCall(now, &message.Read{Version: current.Version}, func(response message.Body) {
		result, ok := response.(*message.ReadResult)
		switch {
		case !ok:
			done(0, nil, ErrNoResponse)
		case result.Config == nil:
			done(current.Version, current.Config, nil)
		default:
			config, err := result.Config.Apply(current.Version, current.Config)
			if err != nil {
				done(0, nil, fmt.Errorf("%w: %w", ErrNoResponse, err))
				return
			}
			done(result.Version, config, nil)
		}
	})
}

func (c *Client) startCall(now time.Duration, request message.Body, done func(message.Body)) {
	c.now = now
	c.calls.lastID++
	call := &pendingCall{request: message.Message{RequestID: c.calls.lastID, Body: request}, startedAt: now,
		done: done}
	c.calls.pending[c.calls.lastID] = call
	c.sendCall(call)
}

// sendCall sends a call to the replica that serves it: reads to the tail of the chain, all others to the
// head. Every third attempt, and every attempt while no chain is known, goes to a member of the core instead,
// in round-robin order.
func (c *Client) sendCall(call *pendingCall) {
	call.sentAt = c.now
	call.attempts++
	call.sentTo = ""
	switch {
	case len(c.chain) > 0 && call.attempts%3 != 0:
		call.sentTo = c.callTarget(call)
	case len(c.members.list) > 0:
		call.sentTo = c.members.list[call.attempts%len(c.members.list)].Addr
	}
	if call.sentTo != "" {
		request := call.request
		c.options.Actions.Send(call.sentTo, &request)
	}
}

// callTarget returns the replica that serves a call in the known view.
func (c *Client) callTarget(call *pendingCall) string {
	if call.request.Type() == message.TypeRead {
		return c.chain[len(c.chain)-1]
	}
	return c.chain[0]
}

// redirectCalls resends the calls that a different replica serves in a new view.
func (c *Client) redirectCalls() {
	for _, id := range sortedKeys(c.calls.pending) {
		call := c.calls.pending[id]
		if len(c.chain) > 0 && call.sentTo != c.callTarget(call) {
			call.attempts = 0
			c.sendCall(call)
		}
	}
}

// tickCalls ends the calls that have timed out and retries the others. It returns the time by which it must
// be called again.
func (c *Client) tickCalls() (next time.Duration) {
	next = c.now + watchWait
	for _, id := range sortedKeys(c.calls.pending) {
		call := c.calls.pending[id]
		switch {
		case c.now >= call.startedAt+CallTimeout:
			delete(c.calls.pending, id)
			call.done(nil)
		case c.now >= call.sentAt+callRetryInterval:
			c.sendCall(call)
		}
		next = min(next, call.sentAt+callRetryInterval, call.startedAt+CallTimeout)
	}
	return next
}

// handleReject handles the rejection of a call by a replica that doesn't serve it. If the rejection carries a
// newer view, the client adopts that view and resends the call accordingly.
func (c *Client) handleReject(requestID uint64, reject *message.Reject) {
	call := c.calls.pending[requestID]
	if call != nil && reject.Epoch > c.epoch && len(reject.Chain) > 0 {
		c.setView(reject.Epoch, reject.Chain)
	}
}
