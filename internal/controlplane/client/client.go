// Package client is the control-plane client of every process. It discovers the replicas through the seeds
// and watches one of them, sending the versions that it has; each watch also renews this process's lease. The
// versions that it applies never go back. It uses no sockets and no clock: the caller drives it through Step
// and Tick, and it acts through Actions.
package client

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Timing of discovery and failover.
const (
	announceInterval       = 200 * time.Millisecond // while no replica is known
	firstResponseTimeout   = 250 * time.Millisecond // a newly selected replica responds immediately
	congestedFirstResponse = 2 * firstResponseTimeout
	retryDelay             = 60 * time.Millisecond // before the next replica, after one that doesn't serve
	// maxRetryDelay limits the pause before the next replica is tried.
	maxRetryDelay        = 250 * time.Millisecond
	nearestRetryInterval = 3 * time.Second // until the nearest replica is tried again
)

// Timing of watches.
const (
	// watchWait is how long a replica may delay the response to a watch. A lease lasts three times as long.
	watchWait = 800 * time.Millisecond
	// watchResponseGrace is how long after watchWait the client fails over to another replica.
	watchResponseGrace = 450 * time.Millisecond
)

// Bounds that other packages rely on.
const (
	// ResponseTimeout is how long a connected client waits for the response to a watch. It treats a response
	// that arrives after that as late.
	ResponseTimeout = watchWait + watchResponseGrace
	// FailoverTimeout is the maximum time from the last request to a replica that has stopped responding until
	// the next replica has responded or timed out.
	FailoverTimeout = ResponseTimeout + congestedFirstResponse
	// RedirectTimeout is the same bound, counted from the response of a replica that reports that it doesn't
	// serve.
	RedirectTimeout = retryDelay + congestedFirstResponse
)

// Actions are the side effects of a Client. Their methods must not call back into the Client.
type Actions interface {
	Send(to string, m *message.Message)
	Log(e events.Event, pairs ...any)
	// ApplyConfig applies a configuration, which is newer than the previous one.
	ApplyConfig(version uint64, config []byte)
	// SetEndpoints replaces the list of servers.
	SetEndpoints(list []message.Endpoint)
	// SetNodes replaces the list of processes with a lease. The order is the same on all processes.
	SetNodes(list []message.Node)
	// SetView sets the replicas that serve, starting with the head of the chain.
	SetView(epoch uint64, chain []string)
}

// State is the connection state of a Client.
type State int

// The states of a Client.
const (
	StateDiscovering State = iota // no replica is known
	StateConnecting               // a replica is selected, and has not responded yet
	StateConnected                // the selected replica serves and has responded
)

// Options are the parameters of New.
type Options struct {
	Self        message.Node
	Seeds       []string // internal addresses of the seed processes
	HasDisk     bool     // this process runs a replica
	FirstStart  bool     // the entire cluster starts for the first time
	Incarnation uint64   // identifies this run of the process; never reused
	Actions     Actions
}

// Client is the control-plane client of one process. It is not safe for concurrent use.
type Client struct {
	options Options
	now     time.Duration
	state   State

	members membership
	epoch   uint64 // of the known view
	chain   []string

	server        string // address of the watched replica
	requestID     uint64 // of the last watch
	requestSentAt time.Duration
	nextRequest   time.Duration // zero while a request is in flight
	// nearestRetryStart is when the current nearestRetryInterval began: at the last failover or at the last
	// attempt to return to the nearest replica.
	nearestRetryStart time.Duration
	// failures counts the failovers since the nearest replica was last tried.
	failures int
	// consecutiveTimeouts counts the timeouts since the last response in time.
	consecutiveTimeouts int
	congested           bool // a response arrived too late
	lastResponses       map[string]lastResponse

	resources resources
	calls     calls
}

// lastResponse identifies the last response of a replica to a watch.
type lastResponse struct {
	requestID uint64
	at        time.Duration
}

// New returns a Client. The initial list holds the members of the core that this process already knows, if
// any.
func New(now time.Duration, options Options, initial *message.MemberList) *Client {
	c := &Client{options: options, now: now, nearestRetryStart: now, lastResponses: map[string]lastResponse{},
		resources: newResources(), calls: newCalls()}
	c.updateMembers(initial)
	return c
}

// transition changes the state. Nothing else writes it.
func (c *Client) transition(to State) {
	if to == c.state {
		return
	}
	if to == StateConnected {
		c.options.Actions.Log(events.Connected, "to", c.server, "epoch", c.epoch)
	} else if c.state == StateConnected && c.failures > 0 {
		c.options.Actions.Log(events.Disconnected, "from", c.server)
	}
	c.state = to
}

// ConnectedHost returns the host of the replica to which this process is connected, or nil if it is not
// connected.
func (c *Client) ConnectedHost() *string {
	if c.state != StateConnected {
		return nil
	}
	host, _, _ := strings.Cut(c.server, ":")
	return &host
}

// Seeds returns the seeds.
func (c *Client) Seeds() []string { return c.options.Seeds }

// SetSeeds replaces the seeds.
func (c *Client) SetSeeds(seeds []string) { c.options.Seeds = seeds }

// Step handles a received message.
func (c *Client) Step(now time.Duration, from string, m *message.Message) {
	c.now = now
	switch body := m.Body.(type) {
	case *message.MemberList:
		c.updateMembers(body)
	case *message.MemberUpdate:
		c.updateMembers((*message.MemberList)(body))
	case *message.WatchResponse:
		c.handleWatchResponse(from, m.RequestID, body)
	case *message.Reject:
		c.handleReject(m.RequestID, body)
	case *message.Committed, *message.Conflict, *message.ReadResult, *message.ChangeMembersResult:
		c.calls.complete(m)
	}
}

// Tick runs due timers and returns the time by which it must be called again.
func (c *Client) Tick(now time.Duration) (next time.Duration) {
	c.now = now
	return min(c.tickWatch(), c.tickCalls())
}

// tickWatch sends the watch when it is due and fails over when it has timed out. It returns the time by which
// it must be called again.
func (c *Client) tickWatch() (next time.Duration) {
	next = c.now + watchWait
	switch {
	case c.state == StateDiscovering:
		if c.now >= c.nextRequest {
			c.Announce(0)
			c.nextRequest = c.now + announceInterval
		}
		return c.nextRequest
	case c.nextRequest == 0 && c.now >= c.requestSentAt+c.responseTimeout():
		c.consecutiveTimeouts++
		c.resources.reduceChunkBudget()
		c.failOver(c.retryPause())
	}
	if c.state == StateConnected && c.failures > 0 && c.now >= c.nearestRetryStart+nearestRetryInterval &&
		!c.resources.transferring() {
		c.failures, c.nearestRetryStart = 0, c.now
		c.selectServer()
	}
	if c.nextRequest == 0 {
		return min(next, c.requestSentAt+c.responseTimeout())
	}
	if c.now >= c.nextRequest {
		c.sendWatch()
		return next
	}
	return c.nextRequest
}

// Announce announces this process to the seeds and the known members of the core. A process with a disk that
// can become a member passes the id of its store; zero means that it is no candidate.
func (c *Client) Announce(storeID uint64) {
	to := slices.Clone(c.options.Seeds)
	for _, member := range c.members.list {
		to = append(to, member.Addr)
	}
	slices.Sort(to)
	for _, addr := range slices.Compact(to) {
		c.options.Actions.Send(addr, &message.Message{Body: &message.Announce{Zone: c.options.Self.Zone,
			HasDisk: c.options.HasDisk && storeID != 0, FirstStart: c.options.FirstStart, StoreID: storeID}})
	}
}

// selectServer selects the replica to watch: this process's own first, then those in its zone, then the
// others. Each failure moves the selection to the next one in that order.
func (c *Client) selectServer() {
	order := slices.Clone(c.members.list)
	rank := func(member message.Node) int {
		switch {
		case member.Addr == c.options.Self.Addr:
			return 0
		case member.Zone == c.options.Self.Zone:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(order, func(a, b message.Node) int { return rank(a) - rank(b) })
	c.server = order[c.failures%len(order)].Addr
	c.transition(StateConnecting)
	c.nextRequest = max(c.now, 1)
}

// responseTimeout returns how long to wait for the response in flight. A newly selected replica responds
// immediately, so its timeout is shorter.
func (c *Client) responseTimeout() time.Duration {
	switch {
	case c.state == StateConnected:
		return ResponseTimeout
	case c.congested:
		return congestedFirstResponse
	}
	return firstResponseTimeout
}

// retryPause returns the pause before the next replica is tried after a timeout. It is zero after the first
// timeout, and then backs off exponentially with jitter, so that clients that fail at the same time don't
// retry at the same time. The pause applies only while late responses indicate congestion: if no responses
// arrive at all, as in a partition, there is none. It stays short so that all clients recover soon after a
// partition ends.
func (c *Client) retryPause() time.Duration {
	if !c.congested || c.consecutiveTimeouts < 2 {
		return 0
	}
	const maxDoublings = 4
	pause := min(retryDelay<<min(c.consecutiveTimeouts-2, maxDoublings), maxRetryDelay)
	jitter := rand.New(rand.NewPCG(c.options.Incarnation, c.requestID)).Int64N(int64(pause / 2))
	return pause/2 + time.Duration(jitter)
}

// failOver selects the next replica and watches it after the pause.
func (c *Client) failOver(pause time.Duration) {
	c.failures++
	if c.failures%len(c.members.list) == 0 { // none of them responds: the members may have changed
		c.Announce(0)
	}
	c.nearestRetryStart = c.now
	c.selectServer()
	c.nextRequest = c.now + max(pause, 1)
}

// sendWatch sends a watch, a request for updates, to the selected replica.
func (c *Client) sendWatch() {
	c.requestID++
	c.nextRequest, c.requestSentAt = 0, c.now
	watch := &message.Watch{Epoch: c.epoch, Zone: c.options.Self.Zone}
	if c.state == StateConnected { // a newly selected replica must report its state immediately
		watch.WaitMillis = uint64(watchWait.Milliseconds())
	}
	// The echo lets the replica compute when this watch was sent: the lease is counted from that time.
	if last, ok := c.lastResponses[c.server]; ok {
		watch.EchoRequestID = last.requestID
		watch.EchoDelayMillis = uint64((c.now - last.at).Milliseconds())
	}
	c.resources.fillWatch(watch)
	c.options.Actions.Send(c.server, &message.Message{RequestID: c.requestID, Body: watch})
}

// handleWatchResponse handles a response to a watch. A response after the timeout, or to an earlier request,
// was delayed on the network or in this process, so it doesn't show which versions are the newest. Only its
// snapshot chunks are used.
func (c *Client) handleWatchResponse(from string, requestID uint64, response *message.WatchResponse) {
	expected := from == c.server && requestID == c.requestID && c.nextRequest == 0
	if !expected || c.now >= c.requestSentAt+c.responseTimeout() {
		c.congested = true
		c.resources.receiveLateChunks(response.Chunks)
		return
	}
	c.lastResponses[from] = lastResponse{requestID, c.now}
	c.consecutiveTimeouts = 0
	if !response.Fresh { // the replica doesn't serve or is partitioned: its data may be stale
		c.failOver(retryDelay)
		return
	}
	if c.state != StateConnected {
		c.congested = c.now >= c.requestSentAt+firstResponseTimeout
	}
	c.transition(StateConnected)
	if response.Epoch > c.epoch {
		c.updateMembers(response.MemberList())
		c.setView(response.Epoch, response.Chain)
	}
	c.resources.handleResponse(response, c.now-c.requestSentAt, c.options.Actions)
	c.sendWatch()
}

func (c *Client) setView(epoch uint64, chain []string) {
	c.epoch, c.chain = epoch, chain
	c.options.Actions.SetView(epoch, chain)
	c.redirectCalls()
}

// HandleDisconnected handles the close or reset of a connection to a process. If it is the watched replica,
// the request in flight may be lost, so it is sent again immediately.
func (c *Client) HandleDisconnected(now time.Duration, addr string) {
	c.now = now
	if addr == c.server && c.state == StateConnected && c.nextRequest == 0 {
		c.sendWatch()
	}
}

// HandleRefused handles a connection refused by an address: no process listens there. If it is the watched
// replica's, the client fails over, after a pause because possibly no replica is listening.
func (c *Client) HandleRefused(now time.Duration, addr string) {
	c.now = now
	if addr == c.server && c.state != StateDiscovering && c.nextRequest == 0 {
		c.failOver(retryDelay)
	}
}

// membership is what a Client knows about the members of the core.
type membership struct {
	list    []message.Node
	epoch   uint64         // of the view that installed them
	removed []message.Node // the members that operators removed most recently
	joint   bool           // the change to this membership is not known to be complete
}

// Members returns the known members of the core.
func (c *Client) Members() []message.Node { return c.members.list }

// MemberList returns the members of the core that this process may send to others. It has no members while
// none are known from a complete membership change.
func (c *Client) MemberList() *message.MemberList {
	list := &message.MemberList{MembershipEpoch: c.members.epoch}
	if !c.members.joint {
		list.Members, list.RemovedMembers = c.members.list, c.members.removed
	}
	return list
}

// updateMembers applies a received list of members unless its epoch is older. A list from a membership change
// that is not known to be complete is applied only if no members are known, and is not sent to others.
func (c *Client) updateMembers(list *message.MemberList) {
	joint := len(list.OutgoingMembers) > 0
	if len(list.Members) == 0 || list.MembershipEpoch < c.members.epoch || joint && len(c.members.list) > 0 {
		return
	}
	c.members.list, c.members.removed, c.members.joint = list.Members, list.RemovedMembers, joint
	if !joint {
		c.members.epoch = list.MembershipEpoch
	}
	if c.state == StateDiscovering {
		c.selectServer()
	}
}

// sortedKeys returns the keys of a map in ascending order, so that a simulation is reproducible by its seed.
func sortedKeys[V any](m map[uint64]V) []uint64 { return slices.Sorted(maps.Keys(m)) }
