package client

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Times of calls to the core.
const (
	callRetryInterval = 200 * time.Millisecond // a call is sent again, to who serves by then
	// CallTimeout is how long a call may take: operators move on after a second of silence.
	CallTimeout = 880 * time.Millisecond
)

// ErrNoResponse tells of a call that got no clear answer in time: it may have been carried out, or may be
// yet.
var ErrNoResponse = errors.New("client: no clear answer of the core in time")

// ConflictError tells of a configuration whose version was accepted before with another content.
type ConflictError struct {
	Committed uint64 // the version that is committed
}

// Error tells the committed version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("client: the version was accepted with another content; version %d is committed",
		e.Committed)
}

// PutDone is called once with the end of a Put: the version that the core holds, which may be a later one.
// The error is ErrNoResponse or a *ConflictError.
type PutDone func(held uint64, err error)

// ReadDone is called once with the end of a Read: the newest configuration. The error is ErrNoResponse.
type ReadDone func(version uint64, config []byte, err error)

// ChangeMembersDone is called once with the end of a ChangeMembers. The error is ErrNoResponse.
type ChangeMembersDone func(result *message.ChangeMembersResult, err error)

// pendingCall is a call that awaits its end.
type pendingCall struct {
	request   message.Message
	startedAt time.Duration
	sentAt    time.Duration
	sentTo    string
	attempts  int
	done      func(response message.Body) // nil: there was none in time
}

// calls are those that await their end.
type calls struct {
	pending map[uint64]*pendingCall // by request id
	lastID  uint64
}

func newCalls() calls { return calls{pending: map[uint64]*pendingCall{}} }

// complete ends the call that a response answers, if it is of a type that the request may have.
func (cs *calls) complete(m *message.Message) {
	call := cs.pending[m.RequestID]
	if call == nil || !slices.Contains(message.ResponseTypes[call.request.Type()], m.Type()) {
		return
	}
	delete(cs.pending, m.RequestID)
	call.done(m.Body)
}

// Put hands a configuration to the core.
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

// ChangeMembers has the core change its members, or tell them where both addresses are empty.
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

// Read asks the core for the newest configuration.
func (c *Client) Read(now time.Duration, done ReadDone) {
	held := c.resources.config
	c.startCall(now, &message.Read{Version: held.Version}, func(response message.Body) {
		result, ok := response.(*message.ReadResult)
		switch {
		case !ok:
			done(0, nil, ErrNoResponse)
		case result.Config == nil:
			done(held.Version, held.Config, nil)
		default:
			config, err := result.Config.Apply(held.Version, held.Config)
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

// sendCall sends a call to who serves: reads to the tail, all others to the head; every third time, and where
// nobody is known, to one member of the core after the other.
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

// callTarget is the replica that answers a call in the view that is known.
func (c *Client) callTarget(call *pendingCall) string {
	if call.request.Type() == message.TypeRead {
		return c.chain[len(c.chain)-1]
	}
	return c.chain[0]
}

// redirectCalls sends the calls on that another replica answers in a new view.
func (c *Client) redirectCalls() {
	for _, id := range sortedKeys(c.calls.pending) {
		call := c.calls.pending[id]
		if len(c.chain) > 0 && call.sentTo != c.callTarget(call) {
			call.attempts = 0
			c.sendCall(call)
		}
	}
}

// tickCalls ends calls that have taken too long and sends others again. It returns when it wants the next
// call.
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

// handleReject sends a call on by the view that a replica tells that doesn't serve it.
func (c *Client) handleReject(requestID uint64, reject *message.Reject) {
	call := c.calls.pending[requestID]
	if call != nil && reject.Epoch > c.epoch && len(reject.Chain) > 0 {
		c.setView(reject.Epoch, reject.Chain)
	}
}
