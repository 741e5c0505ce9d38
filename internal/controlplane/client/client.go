// Package client is every process's client of the control plane: it finds the replicas by the seeds, watches
// one of them with the versions that it has, and by watching renews this process's lease. What it holds only
// ever moves on. It knows no sockets and no clock: the caller drives it by Step and Tick, and it acts through
// Actions.
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

// Times of finding and changing the replica that is watched.
const (
	announceInterval       = 200 * time.Millisecond // while no replica is known
	firstResponseTimeout   = 250 * time.Millisecond // of a replica that was just chosen: it answers at once
	congestedFirstResponse = 2 * firstResponseTimeout
	retryDelay             = 60 * time.Millisecond // before the next replica, after one that doesn't serve
	maxRetryDelay          = 250 * time.Millisecond
	nearestRetryInterval   = 3 * time.Second // after which the nearest replica is tried again
)

// Times of watching.
const (
	// for which a replica may hold a request: leases last for three of these
	watchWait     = 800 * time.Millisecond
	responseGrace = 450 * time.Millisecond // beyond that, until another replica is asked
)

// Bounds that others rely on.
const (
	// ResponseTimeout is how long a response is awaited and taken.
	ResponseTimeout = watchWait + responseGrace
	// FailoverTimeout is how long it takes until another replica than one that has fallen silent has answered,
	// or has not.
	FailoverTimeout = ResponseTimeout + congestedFirstResponse
	// RedirectTimeout is the same, from the answer of a replica that says that it doesn't serve.
	RedirectTimeout = retryDelay + congestedFirstResponse
)

// Actions are what a Client does. They must not call it back.
type Actions interface {
	Send(to string, m *message.Message)
	Log(e events.Event, pairs ...any)
	// ApplyConfig takes a configuration that is newer than the one before.
	ApplyConfig(version uint64, config []byte)
	// SetEndpoints takes the list of servers.
	SetEndpoints(list []message.Endpoint)
	// SetNodes takes the processes that hold leases, in an agreed order.
	SetNodes(list []message.Node)
	// SetView takes the replicas that serve, the head of the chain first.
	SetView(epoch uint64, chain []string)
}

// State is what a Client is in.
type State int

// The states of a Client.
const (
	StateDiscovering State = iota // it knows no replica
	StateConnecting               // it has asked one, and awaits the first response
	StateConnected                // it is answered by one that serves
)

// Options are what New needs.
type Options struct {
	Self        message.Node
	Seeds       []string // addresses for the system's own processes
	HasDisk     bool     // this process holds a replica
	FirstStart  bool     // the whole system starts for the first time
	Incarnation uint64   // of the process: no other has or had it
	Actions     Actions
}

// Client is one process's client of the control plane. Its methods must not be called concurrently.
type Client struct {
	options Options
	now     time.Duration
	state   State

	members membership
	epoch   uint64 // of the view that is known
	chain   []string

	server        string // the replica that is watched
	requestID     uint64 // of the last watch
	requestSentAt time.Duration
	nextRequest   time.Duration // 0: a request is out
	triedNearest  time.Duration
	failures      int  // replicas that were given up since the nearest was tried
	silent        int  // of these, in a row, those that gave no response in time
	congested     bool // a response came after another replica was asked
	lastResponses map[string]lastResponse

	resources resources
	calls     calls
}

// lastResponse is the last response of a replica to a watch.
type lastResponse struct {
	requestID uint64
	at        time.Duration
}

// New returns a Client. The members of the core may be known from before.
func New(now time.Duration, options Options, known *message.MemberList) *Client {
	c := &Client{options: options, now: now, triedNearest: now, lastResponses: map[string]lastResponse{},
		resources: newResources(), calls: newCalls()}
	c.learnMembers(known)
	return c
}

// transition is the one place where the state changes.
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

// ConnectedHost returns the host of the replica that answers this process; nil: none does.
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

// Step takes a message.
func (c *Client) Step(now time.Duration, from string, m *message.Message) {
	c.now = now
	switch body := m.Body.(type) {
	case *message.MemberList:
		c.learnMembers(body)
	case *message.MemberUpdate:
		c.learnMembers((*message.MemberList)(body))
	case *message.WatchResponse:
		c.handleWatchResponse(from, m.RequestID, body)
	case *message.Reject:
		c.handleReject(m.RequestID, body)
	case *message.Committed, *message.Conflict, *message.ReadResult, *message.ChangeMembersResult:
		c.calls.complete(m)
	}
}

// Tick does what is due, and returns when it wants the next call at the latest.
func (c *Client) Tick(now time.Duration) (next time.Duration) {
	c.now = now
	return min(c.tickWatch(), c.tickCalls())
}

// tickWatch looks after the watch, and returns when it wants the next call.
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
		c.silent++
		c.resources.shrinkBudget()
		c.failOver(c.retryPause())
	}
	if c.state == StateConnected && c.failures > 0 && c.now >= c.triedNearest+nearestRetryInterval &&
		!c.resources.transferring() {
		c.failures, c.triedNearest = 0, c.now
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

// Announce tells the seeds, and the core as far as it is known, that this process is there. One with a disk
// that would be a member tells the id of its store; 0: it would not.
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

// selectServer chooses the replica to watch: this process's own, then those of its zone, then the others; the
// next one after each failure.
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

// responseTimeout is how long a response may take. A replica that was just chosen answers at once.
func (c *Client) responseTimeout() time.Duration {
	switch {
	case c.state == StateConnected:
		return ResponseTimeout
	case c.congested:
		return congestedFirstResponse
	}
	return firstResponseTimeout
}

// retryPause is how long to wait before the next replica is asked, when some have been silent, and late
// responses tell of congestion: not at all after the first, and then longer each time, with jitter, so that
// clients that fail at the same moment ask again at moments of their own. It stays short, since a partition
// that ends must be over for all soon after; where no responses come at all, as in a partition, there is
// none.
func (c *Client) retryPause() time.Duration {
	if !c.congested || c.silent < 2 {
		return 0
	}
	const maxDoublings = 4
	pause := min(retryDelay<<min(c.silent-2, maxDoublings), maxRetryDelay)
	jitter := rand.New(rand.NewPCG(c.options.Incarnation, c.requestID)).Int64N(int64(pause / 2))
	return pause/2 + time.Duration(jitter)
}

// failOver turns to another replica.
func (c *Client) failOver(pause time.Duration) {
	c.failures++
	if c.failures%len(c.members.list) == 0 { // none of them answers: they may be members no longer
		c.Announce(0)
	}
	c.triedNearest = c.now
	c.selectServer()
	c.nextRequest = c.now + max(pause, 1)
}

// sendWatch asks the chosen replica for what is new.
func (c *Client) sendWatch() {
	c.requestID++
	c.nextRequest, c.requestSentAt = 0, c.now
	watch := &message.Watch{Epoch: c.epoch, Zone: c.options.Self.Zone}
	if c.state == StateConnected { // a replica that was just chosen says at once how it is
		watch.WaitMillis = uint64(watchWait.Milliseconds())
	}
	// so that it knows when this was sent: the lease counts from then
	if last, ok := c.lastResponses[c.server]; ok {
		watch.EchoRequestID = last.requestID
		watch.EchoDelayMillis = uint64((c.now - last.at).Milliseconds())
	}
	c.resources.describe(watch)
	c.options.Actions.Send(c.server, &message.Message{RequestID: c.requestID, Body: watch})
}

// handleWatchResponse takes a response to a watch. One that comes later than it is awaited was held up on its
// way, or with this process and its turn to ask another replica: it says nothing of what is the newest.
func (c *Client) handleWatchResponse(from string, requestID uint64, response *message.WatchResponse) {
	expected := from == c.server && requestID == c.requestID && c.nextRequest == 0
	if !expected || c.now >= c.requestSentAt+c.responseTimeout() {
		c.congested = true
		c.resources.takeLate(response.Chunks)
		return
	}
	c.lastResponses[from] = lastResponse{requestID, c.now}
	c.silent = 0
	if !response.Fresh { // it doesn't serve, or is cut off: what it says may be old
		c.failOver(retryDelay)
		return
	}
	if c.state != StateConnected {
		c.congested = c.now >= c.requestSentAt+firstResponseTimeout
	}
	c.transition(StateConnected)
	if response.Epoch > c.epoch {
		c.learnMembers(response.MemberList())
		c.setView(response.Epoch, response.Chain)
	}
	c.resources.take(response, c.now-c.requestSentAt, c.options.Actions)
	c.sendWatch()
}

func (c *Client) setView(epoch uint64, chain []string) {
	c.epoch, c.chain = epoch, chain
	c.options.Actions.SetView(epoch, chain)
	c.redirectCalls()
}

// HandleDisconnected tells that a connection to a process has ended, by its end or a reset. What was
// asked of the replica that is watched may be lost, and is asked again: at once where that lives.
func (c *Client) HandleDisconnected(now time.Duration, addr string) {
	c.now = now
	if addr == c.server && c.state == StateConnected && c.nextRequest == 0 {
		c.sendWatch()
	}
}

// HandleRefused tells that an address has refused a connection: no process listens there. Another replica is
// watched, after a pause, since it may be that none listens.
func (c *Client) HandleRefused(now time.Duration, addr string) {
	c.now = now
	if addr == c.server && c.state != StateDiscovering && c.nextRequest == 0 {
		c.failOver(retryDelay)
	}
}

// membership is what a Client knows of the members of the core.
type membership struct {
	list    []message.Node
	epoch   uint64         // of the view that installed them
	removed []message.Node // that operators have removed last
	joint   bool           // the change to them is not known to be complete
}

// Members returns the members of the core, as far as known.
func (c *Client) Members() []message.Node { return c.members.list }

// MemberList returns what this process may tell others of the core; without members where it knows nothing
// for sure.
func (c *Client) MemberList() *message.MemberList {
	list := &message.MemberList{MembershipEpoch: c.members.epoch}
	if !c.members.joint {
		list.Members, list.RemovedMembers = c.members.list, c.members.removed
	}
	return list
}

// learnMembers takes what is said of the members. Of a change that is not known to be complete it is taken
// where nothing else is known, and not passed on.
func (c *Client) learnMembers(list *message.MemberList) {
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

// sortedKeys returns the keys of a map in rising order, so that a simulation repeats by its seed.
func sortedKeys[V any](m map[uint64]V) []uint64 { return slices.Sorted(maps.Keys(m)) }
