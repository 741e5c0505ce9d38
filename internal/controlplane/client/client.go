// Package extension is every machine's line to the core: it finds the core by the seeds, asks one of its
// machines for news with the versions that it has, and by asking renews this machine's lease. What it holds
// only ever moves on. It knows no sockets and no clock.
package client

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Tuned times, each with its reason.
const (
	announceInterval = 200 * time.Millisecond // while nothing is known
	// that the core may keep a question: leases last for three
	watchWait = 800 * time.Millisecond
	// and beyond, without an answer, another machine is asked
	responseGrace            = 450 * time.Millisecond
	firstResponseTimeout     = 250 * time.Millisecond   // for the first answer of a machine
	slowFirstResponseTimeout = 2 * firstResponseTimeout // the same, where answers have come later than that
	retryDelay               = 60 * time.Millisecond    // between questions to machines that are out of service
	maxRetryDelay            = 250 * time.Millisecond   // between questions to machines that are silent
	chunkTargetTime          = firstResponseTimeout / 2 // that a part of a snapshot is to take
	nearestRetryInterval     = 3 * time.Second          // after which the nearest machine is tried again
	// a call to the core is sent again, to who is in charge by then
	callRetryInterval = 200 * time.Millisecond
	// for a call: operators move on after a second of silence
	CallTimeout = 880 * time.Millisecond
)

// ResponseTimeout is how long an answer is awaited and taken; TurnMost: until another machine than one that
// has fallen silent has answered, or has not.
const (
	ResponseTimeout = watchWait + responseGrace
	FailoverTimeout = ResponseTimeout + slowFirstResponseTimeout
	// the same, from the answer of one that says that it is out of touch
	RedirectTimeout = retryDelay + slowFirstResponseTimeout
)

// Actions are what an Extension does. They must not call it back.
type Actions interface {
	Send(to string, m *message.Message)
	Log(e events.Event, pairs ...any)
	// Config takes a configuration that is newer than the one before.
	Config(version uint64, config []byte)
	// Servers takes the list of servers.
	Servers(list []message.Endpoint)
	// Members takes the machines that hold leases, in an agreed order.
	Members(list []message.Node)
	// View takes the machines in charge.
	View(epoch uint64, chain []string)
}

// State is what an Extension is in.
type State int

// The states of an Extension.
const (
	StateDiscovering State = iota // it knows no machine of the core
	StateConnecting               // it has asked one, and awaits the first answer
	StateConnected                // it is answered by one that is in service
)

// Options are what New needs.
type Options struct {
	Self        message.Node
	Seeds       []string // addresses for the system's own processes
	HasDisk     bool
	FirstStart  bool // the whole system starts for the first time
	Incarnation uint64
	Actions     Actions
}

// Client is one machine's line to the core.
type Client struct {
	Options
	now             time.Duration
	state           State
	members         []message.Node
	membershipEpoch uint64         // of the registry
	removedMembers  []message.Node // that go with it
	joint           bool           // the change to it is not known to be complete
	epoch           uint64
	chain           []string
	version         uint64
	config          []byte
	needFullConfig  bool // what came did not come out right: the whole is asked for
	endpoints       *message.EndpointList
	nodesChecksum   uint64

	transfers     snapshotTransfers
	heldConfig    configVersion // a configuration that is held and not in force
	chunkBudget   uint64        // that an answer may have for snapshots
	congested     bool          // an answer came after another machine was asked
	silentServers int           // machines that were asked in a row and gave no answer in time

	server         string // the machine that is asked
	requestID      uint64
	requestSentAt  time.Duration
	nextRequest    time.Duration // when to ask next; 0: a question is out
	nearestTriedAt time.Duration
	lastFresh      time.Duration
	failures       int

	lastResponses map[string]lastResponse // what each machine of the core answered last

	calls    map[uint64]*pendingCall
	lastCall uint64
}

// lastResponse is the last answer of a machine to a question for news.
type lastResponse struct {
	requestID uint64
	at        time.Duration
}

// configVersion is a configuration and its number.
type configVersion struct {
	version uint64
	config  []byte
}

// pendingCall is a Put or a Read that awaits its end.
type pendingCall struct {
	request   message.Message
	startedAt time.Duration
	sentAt    time.Duration
	attempts  int
	done      func(*message.Message)
}

// New returns an Extension. The members of the core may be known from before, as a Roll tells them.
func New(now time.Duration, o Options, known *message.Message) *Client {
	e := &Client{
		Options:        o,
		now:            now,
		calls:          map[uint64]*pendingCall{},
		lastResponses:  map[string]lastResponse{},
		nearestTriedAt: now,
		transfers:      snapshotTransfers{},
		chunkBudget:    message.InitialChunkBudget,
	}
	e.learnMembers(known)
	return e
}

// transition is the one place where the state changes.
func (e *Client) transition(s State) {
	if s == e.state {
		return
	}
	if s == StateConnected {
		e.Actions.Log(events.Connected, "to", e.server, "epoch", e.epoch)
	} else if e.state == StateConnected && e.failures > 0 {
		e.Actions.Log(events.Disconnected, "from", e.server)
	}
	e.state = s
}

// ConnectedHost returns the host of the machine of the core that answers this one; nil: none does.
func (e *Client) ConnectedHost() *string {
	if e.state != StateConnected {
		return nil
	}
	host, _, _ := strings.Cut(e.server, ":")
	return &host
}

// Members returns the machines of the core, as far as known.
func (e *Client) Members() []message.Node { return e.members }

// MemberList returns what this machine may tell others of the core; the registry is empty where it knows
// nothing for sure.
func (e *Client) MemberList() *message.Message {
	m := &message.Message{Type: message.TypeMemberList, MembershipEpoch: e.membershipEpoch}
	if !e.joint {
		m.Members, m.RemovedMembers = e.members, e.removedMembers
	}
	return m
}

// learnMembers takes what is said of the members. Of a change that is not known to be complete it is taken
// where nothing else is known, and not told on.
func (e *Client) learnMembers(m *message.Message) {
	joint := len(m.OutgoingMembers) > 0
	if len(m.Members) == 0 || m.MembershipEpoch < e.membershipEpoch || joint && len(e.members) > 0 {
		return
	}
	e.removedMembers = m.RemovedMembers
	if e.members, e.joint = m.Members, joint; !joint {
		e.membershipEpoch = m.MembershipEpoch
	}
	if e.state == StateDiscovering {
		e.selectServer()
	}
}

// selectServer chooses the machine to ask: this one, then those of its zone, then the others; the next one
// each time.
func (e *Client) selectServer() {
	order := slices.Clone(e.members)
	rank := func(m message.Node) int {
		switch {
		case m.Addr == e.Self.Addr:
			return 0
		case m.Zone == e.Self.Zone:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(order, func(a, b message.Node) int { return rank(a) - rank(b) })
	e.server = order[e.failures%len(order)].Addr
	e.transition(StateConnecting)
	e.nextRequest = max(e.now, 1)
}

// Tick does what is due, and returns when it wants the next call at the latest.
func (e *Client) Tick(now time.Duration) (next time.Duration) {
	e.now = now
	next = now + watchWait
	switch {
	case e.state == StateDiscovering:
		if now >= e.nextRequest {
			e.Announce(0)
			e.nextRequest = now + announceInterval
		}
		next = e.nextRequest
	case e.nextRequest == 0 && now >= e.requestSentAt+e.responseTimeout():
		e.silentServers++
		e.chunkBudget = max(e.chunkBudget/4, message.MinChunkBudget)
		e.failOver(e.retryPause())
	}
	if e.state == StateConnected && e.failures > 0 && now >= e.nearestTriedAt+nearestRetryInterval &&
		len(e.transfers) == 0 {
		e.failures, e.nearestTriedAt = 0, now
		e.selectServer()
	}
	if e.state != StateDiscovering && e.nextRequest == 0 {
		next = min(next, e.requestSentAt+e.responseTimeout())
	}
	if e.state != StateDiscovering && e.nextRequest != 0 {
		if now >= e.nextRequest {
			e.sendWatch()
		} else {
			next = e.nextRequest
		}
	}
	for _, id := range slices.Sorted(maps.Keys(e.calls)) {
		c := e.calls[id]
		switch {
		case now >= c.startedAt+CallTimeout:
			delete(e.calls, id)
			c.done(nil)
		case now >= c.sentAt+callRetryInterval:
			e.send(c)
		}
		next = min(next, c.sentAt+callRetryInterval, c.startedAt+CallTimeout)
	}
	return next
}

// Announce tells the seeds, and the core as far as it is known, that this machine is there. One with a disk
// that would be a member tells the id of its store.
func (e *Client) Announce(id uint64) {
	to := slices.Clone(e.Seeds)
	for _, m := range e.members {
		to = append(to, m.Addr)
	}
	slices.Sort(to)
	for _, s := range slices.Compact(to) {
		e.Actions.Send(
			s,
			&message.Message{Type: message.TypeAnnounce, Zone: e.Self.Zone, HasDisk: e.HasDisk && id != 0,
				FirstStart: e.FirstStart, StoreID: id},
		)
	}
}

// responseTimeout is how long an answer may take. A machine that is newly asked answers at once.
func (e *Client) responseTimeout() time.Duration {
	switch {
	case e.state == StateConnected:
		return ResponseTimeout
	case e.congested:
		return slowFirstResponseTimeout
	}
	return firstResponseTimeout
}

// retryPause is how long to wait before the next machine is asked, when some have been silent, and late
// answers say that there is congestion: not at all after the first, and then longer each time. Many lines
// that fail at the same moment ask again at moments of their own. It stays short, since a cut that ends must
// be over for all soon after; where no answers come at all, as in a cut, there is none.
func (e *Client) retryPause() time.Duration {
	if !e.congested || e.silentServers < 2 {
		return 0
	}
	d := min(retryDelay<<min(e.silentServers-2, 4), maxRetryDelay)
	return d/2 + time.Duration(mix(e.Incarnation^e.requestID)%uint64(d/2))
}

// failOver turns to another machine.
func (e *Client) failOver(wait time.Duration) {
	e.failures++
	if e.failures%len(e.members) == 0 { // none of them answers: they may be members no longer
		e.Announce(0)
	}
	e.nearestTriedAt = e.now
	e.selectServer()
	e.nextRequest = e.now + max(wait, 1)
}

func (e *Client) sendWatch() {
	e.requestID++
	e.nextRequest, e.requestSentAt = 0, e.now
	m := &message.Message{
		Type:          message.TypeWatch,
		RequestID:     e.requestID,
		Epoch:         e.epoch,
		Version:       e.version,
		NodesChecksum: e.nodesChecksum,
		WaitMillis:    uint64(watchWait.Milliseconds()),
		Zone:          e.Self.Zone,
		Chunks:        e.transfers.progress(),
	}
	// so that it knows when this was sent: the lease counts from then
	if h, ok := e.lastResponses[e.server]; ok {
		m.EchoSequence, m.EchoDelayMillis = h.requestID, uint64((e.now - h.at).Milliseconds())
	}
	if e.chunkBudget != message.InitialChunkBudget {
		m.ChunkBudget = e.chunkBudget
	}
	if e.heldConfig.version > e.version {
		m.BaseVersion = e.heldConfig.version
	}
	if e.endpoints != nil {
		m.Endpoints = &message.EndpointList{Epoch: e.endpoints.Epoch, Sequence: e.endpoints.Sequence}
	}
	if e.needFullConfig {
		m.Version, m.BaseVersion = 0, 0
	}
	if e.state != StateConnected {
		m.WaitMillis = 0 // a machine that is newly asked says at once how it is
	}
	e.Actions.Send(e.server, m)
}

// Step takes a message.
func (e *Client) Step(now time.Duration, from string, m *message.Message) {
	e.now = now
	switch m.Type {
	case message.TypeMemberList, message.TypeMemberUpdate:
		e.learnMembers(m)
	case message.TypeWatchResponse:
		// What comes later was held up on its way, or with this process and its turn to ask elsewhere: it is no
		// fresh word.
		if from == e.server && m.RequestID == e.requestID && e.nextRequest == 0 &&
			now < e.requestSentAt+e.responseTimeout() {
			e.lastResponses[from] = lastResponse{m.RequestID, now}
			e.handleWatchResponse(m)
		} else {
			e.handleLateResponse(m)
		}
	case message.TypeCommitted, message.TypeConflict, message.TypeReadResult, message.TypeChangeMembersResult:
		if c := e.calls[m.RequestID]; c != nil && slices.Contains(message.ResponseTypes[c.request.Type], m.Type) {
			delete(e.calls, m.RequestID)
			c.done(m)
		}
	case message.TypeReject:
		if c := e.calls[m.RequestID]; c != nil && m.Epoch > e.epoch && len(m.Chain) > 0 {
			e.setView(m.Epoch, m.Chain)
			e.send(c)
		}
	}
}

func (e *Client) setView(epoch uint64, chain []string) {
	e.epoch, e.chain = epoch, chain
	e.Actions.View(epoch, chain)
}

// handleWatchResponse takes an answer, and asks for more.
func (e *Client) handleWatchResponse(m *message.Message) {
	e.silentServers = 0
	if !m.OK { // it is out of service, or cut off: what it says may be old
		e.failOver(retryDelay)
		return
	}
	if e.state != StateConnected {
		e.congested = e.now >= e.requestSentAt+firstResponseTimeout
	}
	e.transition(StateConnected)
	if m.Epoch > e.epoch {
		e.learnMembers(m)
		e.setView(m.Epoch, m.Chain)
	}
	e.applyResources(m)
	e.applyChunks(m.Chunks)
	e.sendWatch()
}

// applyResources takes what is the newest of some tables.
func (e *Client) applyResources(m *message.Message) {
	if m.Version > e.version && m.Config != nil {
		config, err := e.applyDelta(m)
		if e.needFullConfig = err != nil; e.needFullConfig {
			e.Actions.Log(events.DeltaInvalid, "version", m.Version, "error", err.Error())
		} else {
			e.version, e.config = m.Version, config
			e.Actions.Config(m.Version, config)
		}
	}
	if e.heldConfig.version <= e.version {
		e.heldConfig = configVersion{}
	}
	if l := m.Endpoints; l != nil && (e.endpoints == nil || l.Epoch > e.endpoints.Epoch ||
		l.Epoch == e.endpoints.Epoch && l.Sequence > e.endpoints.Sequence) {
		e.endpoints = l
		e.Actions.Servers(l.Endpoints)
	}
	if m.NodesChecksum != 0 && m.NodesChecksum != e.nodesChecksum {
		e.nodesChecksum = m.NodesChecksum
		e.Actions.Members(m.Nodes)
	}
}

// applyDelta returns a configuration, which may be a change of the one in force or of the one that is held.
func (e *Client) applyDelta(m *message.Message) ([]byte, error) {
	base := configVersion{e.version, e.config}
	if m.Config.BaseVersion != base.version && m.Config.BaseVersion == e.heldConfig.version {
		base = e.heldConfig
	}
	return m.Config.Apply(base.version, base.config)
}

// applyChunks takes what an answer to the present question brings of snapshots. Each that the answer names as
// the newest, and that is whole by now, comes into force. What it doesn't name is of no use any more.
func (e *Client) applyChunks(list []message.SnapshotChunk) {
	named := snapshotTransfers{}
	bytes := 0
	for i := range list {
		p := &list[i]
		bytes += len(p.Data)
		t := e.transfers.merge(p, false)
		switch {
		case t == nil:
		case !t.complete():
			named[p.Resource] = t
		case p.Stale:
			e.holdConfig(t)
		default:
			if m, ok := t.decode(); ok {
				e.applyResources(m)
			}
		}
	}
	e.transfers = named
	if len(named) == 0 {
		e.chunkBudget = message.InitialChunkBudget
		return
	}
	// As much as comes in that time at the rate of this answer, which counts the wait for it, too.
	rate := uint64(bytes) * uint64(chunkTargetTime) / uint64(max(e.now-e.requestSentAt, time.Millisecond))
	e.chunkBudget = min(max(e.chunkBudget, rate), message.MaxChunkBudget)
}

// handleLateResponse takes what an answer to an earlier question brings: bytes, and not a word of what is
// newest, or of who is in service.
func (e *Client) handleLateResponse(m *message.Message) {
	e.congested = true
	for i := range m.Chunks {
		p := &m.Chunks[i]
		if t := e.transfers.merge(p, true); t != nil && t.complete() && p.Resource == message.ResourceConfig {
			e.holdConfig(t)
			delete(e.transfers, p.Resource)
		}
	}
}

// holdConfig keeps a configuration that is whole and may be old, as the base of changes: the next answer
// tells what is newer, or that nothing is, in a few bytes, and that puts it in force.
func (e *Client) holdConfig(t *snapshotTransfer) {
	m, ok := t.decode()
	if !ok || m.Config == nil || m.Version <= max(e.version, e.heldConfig.version) {
		return
	}
	if config, err := e.applyDelta(m); err == nil {
		e.heldConfig = configVersion{m.Version, config}
	}
}

// Put hands a configuration to the core. done gets the answer, or nil when there was none in time.
func (e *Client) Put(now time.Duration, version uint64, config []byte, done func(*message.Message)) {
	e.begin(
		now,
		message.Message{Type: message.TypePut, Version: version, Config: message.NewDelta(config, 0, nil)},
		done,
	)
}

// ChangeMembers has the core change its members, or tell them. done gets the answer, or nil when there was
// none in time.
func (e *Client) ChangeMembers(now time.Duration, add, remove string, done func(*message.Message)) {
	e.begin(now, message.Message{Type: message.TypeChangeMembers, AddMember: add, RemoveMember: remove}, done)
}

// Read asks the core for the newest configuration. done gets it, or nil when there was no clear answer.
func (e *Client) Read(now time.Duration, done func(version uint64, config []byte)) {
	have, text := e.version, e.config
	e.begin(now, message.Message{Type: message.TypeRead, Version: have}, func(m *message.Message) {
		switch {
		case m == nil:
			done(0, nil)
		case m.Config == nil:
			done(have, text)
		default:
			config, err := m.Config.Apply(have, text)
			if err != nil {
				done(0, nil)
				return
			}
			done(m.Version, config)
		}
	})
}

func (e *Client) begin(now time.Duration, m message.Message, done func(*message.Message)) {
	e.now = now
	e.lastCall++
	m.RequestID = e.lastCall
	c := &pendingCall{request: m, startedAt: now, done: done}
	e.calls[m.RequestID] = c
	e.send(c)
}

// send sends a call to who is in charge: puts to the head, reads to the tail; and where nobody is known, to
// one machine of the core after the other.
func (e *Client) send(c *pendingCall) {
	c.sentAt = e.now
	c.attempts++
	to := ""
	switch {
	case len(e.chain) > 0 && c.attempts%3 != 0:
		if to = e.chain[0]; c.request.Type == message.TypeRead {
			to = e.chain[len(e.chain)-1]
		}
	case len(e.members) > 0:
		to = e.members[c.attempts%len(e.members)].Addr
	}
	if to != "" {
		m := c.request
		e.Actions.Send(to, &m)
	}
}
