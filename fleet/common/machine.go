package common

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Peer is the state of a member in this member's view of the membership.
type Peer struct {
	Name  string
	Life  uint64 // random incarnation number, different at each start of the same name
	Alive bool
}

// Config configures a Machine. All members must have the same values, except for Name and Life.
type Config struct {
	Name   string
	Life   uint64
	Voters []string      // names; an even number tolerates no more failures than one voter fewer
	Lease  time.Duration // how long a record counts as agreed after its last confirmation was requested
	Hold   time.Duration // how long the record stays in use after the lease expired without a majority
	Beat   time.Duration // interval of the leader's heartbeats
	Log    raft.Logger   // nil discards the log
}

// Tick is the interval at which Machine.Tick must be called.
const Tick = 100 * time.Millisecond

// Timeouts and intervals of the machine.
const (
	leaderTimeout         = 3 * time.Second // time without a leader; an election takes at most 2 s
	answerTimeout         = time.Second     // how long a forced recovery waits for answers of other voters
	voterChangeInterval   = time.Second     // minimum time between two changes of voters
	proposalRetryInterval = 500 * time.Millisecond
	recordAttachPeriod    = time.Second // how long heartbeats include the record after it changed
)

// maxAttachedRecordBytes is the maximum size of a record that is included in a heartbeat, so that it fits
// in one datagram.
const maxAttachedRecordBytes = 900

// Standing says whether a member may still rely on its record.
type Standing int

// Values of Standing.
const (
	Unknown Standing = iota // no record was received yet
	Agreed                  // a majority confirmed the record within the lease
	Held                    // the lease has expired; the record stays in use for Config.Hold
	Lapsed                  // the hold time has expired too; members act independently
)

func (s Standing) String() string { return [...]string{"unknown", "agreed", "held", "lapsed"}[s] }

// proposal is a change proposed by this member whose result is not known yet.
type proposal struct {
	change Change
	sentAt time.Duration
}

// Machine is one member's state machine for the common record. It is not safe for concurrent use.
type Machine struct {
	c         Config
	voter     bool
	now       time.Duration // latest time passed in, as Unix time
	startedAt time.Duration

	peers           map[string]Peer
	record          *Record       // newest known
	recordChangedAt time.Duration // when this member adopted the record
	attachedRecord  *Record       // the record if small enough for heartbeats, otherwise nil
	confirmedAt     time.Duration // time of the last known confirmation by a majority
	leader          string        // name of the last known leader
	leaderHeardAt   time.Duration // when the last message of a leader arrived; 0: never

	reservedRecord *Record              // saved by reserveRecord for founding a group
	group          *group               // nil if this member is in no group
	lastConfirmAt  time.Duration        // when the last confirmation was requested
	voterChangedAt time.Duration        // when a voter change was last proposed
	pending        map[string]*proposal // own changes without a result, by ID
	foundingSince  time.Duration        // when this member started founding a group; 0: not founding
	answers        map[string]*envelope // to kindQuery, by name
	forceRecovery  bool                 // an operator called Recover
	foundMessage   *envelope            // sent to the other founders until the group has a leader

	outgoing []Message
	errs     []error
}

// New returns a machine whose time starts at now, a Unix time.
func New(c Config, now time.Duration) *Machine {
	if c.Log == nil {
		c.Log = discardLogger{}
	}
	return &Machine{c: c, voter: slices.Contains(c.Voters, c.Name), now: now, startedAt: now,
		peers: map[string]Peer{}, record: &Record{}, pending: map[string]*proposal{},
		answers: map[string]*envelope{}}
}

// Take returns the messages queued for sending since the last call.
func (m *Machine) Take() []Message {
	out := m.outgoing
	m.outgoing = nil
	return out
}

// Err returns the internal errors since the last call. They don't stop the machine, but they should be
// logged.
func (m *Machine) Err() error {
	err := errors.Join(m.errs...)
	m.errs = nil
	return err
}

// Life returns the present incarnation of this member. The caller must announce it to the other members
// when it changes.
func (m *Machine) Life() uint64 { return m.c.Life }

// Record returns the newest record that this member knows. The caller must not modify it.
func (m *Machine) Record() *Record { return m.record }

// Standing returns whether the record may be relied on at the given time.
func (m *Machine) Standing(now time.Duration) Standing {
	switch {
	case m.record.Generation == 0:
		return Unknown
	case now < m.confirmedAt+m.c.Lease:
		return Agreed
	case now < m.confirmedAt+m.c.Lease+m.c.Hold:
		return Held
	}
	return Lapsed
}

// ConfirmedAt returns the time at which a majority last confirmed the record, as far as this member
// knows, as Unix time.
func (m *Machine) ConfirmedAt() time.Duration { return m.confirmedAt }

// Leader returns the name of the last known leader, or "" if there was none.
func (m *Machine) Leader() string { return m.leader }

// Leads reports whether this member is the leader and was confirmed by a majority within the lease.
func (m *Machine) Leads(now time.Duration) bool { return m.isLeader() && now < m.confirmedAt+m.c.Lease }

// isLeader reports whether this member considers itself the Raft leader, confirmed or not.
func (m *Machine) isLeader() bool {
	return m.group != nil && m.group.node.BasicStatus().RaftState == raft.StateLeader
}

// Peers replaces the list of members by the present view of the membership.
func (m *Machine) Peers(list []Peer) {
	clear(m.peers)
	for _, p := range list {
		m.peers[p.Name] = p
	}
	m.peers[m.c.Name] = Peer{m.c.Name, m.c.Life, true}
}

// Propose submits a change to the leader, repeatedly until its result is known. Record().Done then returns
// the result.
func (m *Machine) Propose(now time.Duration, c Change) {
	m.now = max(m.now, now)
	m.pending[c.ID] = &proposal{change: c}
	m.sendProposals()
	m.processReady()
}

// PendingChanges returns the number of changes proposed by this member whose result is not known yet.
func (m *Machine) PendingChanges() int { return len(m.pending) }

// Forget stops proposing a change. The change may still be applied if it was already sent.
func (m *Machine) Forget(id string) { delete(m.pending, id) }

// Tick advances the timers of the machine. It must be called once per Tick interval.
func (m *Machine) Tick(now time.Duration) {
	m.now = max(m.now, now)
	if m.group != nil {
		m.group.tick()
	}
	m.sendProposals()
	m.requestConfirmation(false)
	m.foundIfNeeded()
	m.reconcileVoters()
	m.processReady()
}

// Step processes a message from a member. A message that can't be decoded returns an error and changes
// nothing.
func (m *Machine) Step(now time.Duration, from string, data []byte) error {
	m.now = max(m.now, now)
	e, err := decode(data)
	if err != nil {
		return fmt.Errorf("message from %s: %w", from, err)
	}
	switch e.Kind {
	case kindRaft:
		err = m.stepRaft(from, e)
	case kindBeat:
		m.handleBeat(from, e)
	case kindPull:
		if m.record.Newer(&Record{Generation: e.Generation, Epoch: e.Epoch}) {
			m.send(from, &envelope{Kind: kindBeat, Generation: m.record.Generation, Epoch: m.record.Epoch,
				ConfirmedAt: int64(m.confirmedAt), Record: m.record})
		}
	case kindPropose:
		if e.Change != nil && m.isLeader() {
			m.appendChange(*e.Change)
		}
	case kindQuery:
		m.sendAnswer(from)
	case kindAnswer:
		if m.foundingSince > 0 {
			m.answers[from] = e
		}
	case kindFound:
		m.joinGroup(e)
	default: // unknown kind, from a later version: ignored
	}
	if err != nil {
		return fmt.Errorf("message from %s: %w", from, err)
	}
	m.processReady()
	return nil
}

// send queues a message for Take.
func (m *Machine) send(to string, e *envelope) {
	e.Life = m.c.Life
	m.outgoing = append(m.outgoing, Message{to, e.encode()})
}

// addError queues an error for Err. At most 16 are kept.
func (m *Machine) addError(err error) {
	if err != nil && len(m.errs) < 16 {
		m.errs = append(m.errs, err)
	}
}

// stepRaft processes a Raft message. A message of a later group than this member's makes it join that group
// with an empty log: the group has added this member as a voter.
func (m *Machine) stepRaft(from string, e *envelope) error {
	msg := &raftpb.Message{}
	if err := proto.Unmarshal(e.Raft, msg); err != nil {
		return err
	}
	if msg.GetTo() != voterID(m.c.Name, m.c.Life) || msg.GetFrom() != voterID(from, e.Life) {
		return nil // to or from an earlier incarnation
	}
	if m.group == nil || m.group.generation < e.Generation {
		m.reserveRecord()
		g, err := newGroup(e.Generation, msg.GetTo(), nil, m.c.Log)
		if err != nil {
			return err
		}
		m.group = g
	}
	if m.group.generation > e.Generation {
		return nil
	}
	m.group.voterNames[msg.GetFrom()] = from
	if err := m.group.node.Step(msg); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) &&
		!errors.Is(err, raft.ErrProposalDropped) {
		return err
	}
	switch msg.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.group.node.BasicStatus().Lead == msg.GetFrom() {
			m.leaderHeardAt = m.now
		}
	}
	return nil
}

// processReady does the pending work of the Raft node: it stores entries, sends messages and applies
// committed entries.
func (m *Machine) processReady() {
	g := m.group
	for g != nil && g.node.HasReady() {
		rd := g.node.Ready()
		if err := m.handleReady(g, rd); err != nil {
			m.addError(err)
			m.newIncarnation() // unreadable log: the group adds this voter again under a new ID
			return
		}
		g.node.Advance(rd)
		m.addError(g.compact())
		if g.hasCommitted() && g.record.Newer(m.record) {
			m.adoptRecord(g.record)
		}
	}
}

// newIncarnation drops this voter's group state and changes its incarnation, as a restart of the process
// would. It no longer votes under its old ID, and a working group adds it as a new voter.
func (m *Machine) newIncarnation() {
	m.reserveRecord()
	m.group = nil
	m.c.Life = m.c.Life*6364136223846793005 + 1442695040888963407
	m.peers[m.c.Name] = Peer{m.c.Name, m.c.Life, true}
}

// reserveRecord saves the record with the uncommitted entries of this voter's log, in case a new group has
// to be founded from it.
func (m *Machine) reserveRecord() {
	if m.group != nil && m.group.hasCommitted() {
		if uncommitted := m.group.recordWithUncommitted(); uncommitted.Newer(m.bestRecord()) {
			m.reservedRecord = uncommitted
		}
	}
}

// bestRecord returns the newest record from which this member could found a new group.
func (m *Machine) bestRecord() *Record {
	best := m.record
	if m.reservedRecord != nil && m.reservedRecord.Newer(best) {
		best = m.reservedRecord
	}
	if m.group != nil && m.group.hasCommitted() {
		if uncommitted := m.group.recordWithUncommitted(); uncommitted.Newer(best) {
			best = uncommitted
		}
	}
	return best
}

// handleReady processes one raft.Ready: it stores the new log entries before it sends messages, and then
// applies committed entries and confirmations.
func (m *Machine) handleReady(g *group, rd raft.Ready) error {
	if rd.HardState != nil {
		if err := g.store.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	if rd.Snapshot != nil && rd.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := g.store.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
		if err := g.restore(rd.Snapshot); err != nil {
			return err
		}
	}
	if err := g.store.Append(rd.Entries); err != nil {
		return err
	}
	for _, msg := range rd.Messages {
		m.sendRaft(g, msg)
	}
	for _, e := range rd.CommittedEntries {
		if err := g.apply(e); err != nil {
			return err
		}
	}
	for _, r := range rd.ReadStates {
		var at time.Duration
		if err := json.Unmarshal(r.RequestCtx, &at); err == nil && m.isLeader() {
			m.handleConfirmation(at)
		}
	}
	return nil
}

// sendRaft sends a Raft message to the member that its receiver ID belongs to. Messages to unknown IDs are
// dropped.
func (m *Machine) sendRaft(g *group, msg *raftpb.Message) {
	name, known := g.voterNames[msg.GetTo()]
	if !known {
		return
	}
	data, err := proto.Marshal(msg)
	if err != nil {
		m.addError(err)
		return
	}
	m.send(name, &envelope{Kind: kindRaft, Generation: g.generation, Raft: data})
	if msg.GetType() == raftpb.MsgSnap {
		g.snapshotTicks[msg.GetTo()] = electionTicks / 2
	}
}

// adoptRecord makes a newer record the current one, and ends the proposals whose results it contains.
func (m *Machine) adoptRecord(r *Record) {
	old := m.record.Epoch
	m.record, m.recordChangedAt, m.attachedRecord = r, m.now, nil
	if data, err := json.Marshal(r); err == nil && len(data) <= maxAttachedRecordBytes {
		m.attachedRecord = r
	}
	for id := range m.pending {
		if _, done := r.Done(id); done {
			delete(m.pending, id)
		}
	}
	if r.Epoch != old && m.isLeader() {
		m.requestConfirmation(true)
	}
}

// requestConfirmation asks a majority of voters to confirm that this member is still the leader. A
// confirmation counts from the time of the request. Unless immediate is set, requests are sent at most once
// per Config.Beat.
func (m *Machine) requestConfirmation(immediate bool) {
	if !m.isLeader() || !immediate && m.now-m.lastConfirmAt < m.c.Beat {
		return
	}
	m.lastConfirmAt = m.now
	context, err := json.Marshal(m.now)
	if err != nil {
		m.addError(err)
		return
	}
	m.group.node.ReadIndex(context)
}

// handleConfirmation is called when a majority has confirmed a request sent at time at. It sends a
// heartbeat to all live members, with the record if it changed recently and is small enough.
func (m *Machine) handleConfirmation(at time.Duration) {
	g := m.group
	if g.record.Newer(m.record) {
		m.adoptRecord(g.record)
	}
	m.confirmedAt, m.leaderHeardAt, m.leader, m.foundMessage = max(m.confirmedAt, at), m.now, m.c.Name, nil
	e := &envelope{Kind: kindBeat, Generation: g.generation, Epoch: g.record.Epoch, ConfirmedAt: int64(at),
		HasLeader: true}
	if m.now-m.recordChangedAt < recordAttachPeriod {
		e.Record = m.attachedRecord
	}
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		if m.peers[name].Alive && name != m.c.Name {
			m.send(name, e)
		}
	}
}

// handleBeat processes a heartbeat of a leader, or a record that was requested with kindPull.
func (m *Machine) handleBeat(from string, e *envelope) {
	received := &Record{Generation: e.Generation, Epoch: e.Epoch}
	if m.record.Newer(received) { // from a superseded leader, or delayed
		return
	}
	if e.HasLeader {
		m.leader, m.leaderHeardAt = from, m.now
		switch g := m.group; {
		case g != nil && g.generation < e.Generation:
			// Both groups need a majority of the same names, and a name is in one group at a time: the
			// earlier group can no longer commit anything.
			m.reserveRecord()
			m.group = nil
		case g != nil && g.generation > e.Generation: // the later group never elected a leader
			m.newIncarnation()
		}
	}
	if received.Newer(m.record) {
		if e.Record == nil {
			m.send(from, &envelope{Kind: kindPull, Generation: m.record.Generation, Epoch: m.record.Epoch})
			return
		}
		m.adoptRecord(e.Record)
	}
	// A confirmation time that is later than this member's clock would extend the lease.
	m.confirmedAt = max(m.confirmedAt, min(time.Duration(e.ConfirmedAt), m.now))
}

// sendProposals sends this member's pending proposals to the leader, every proposalRetryInterval until
// their results are known.
func (m *Machine) sendProposals() {
	for _, id := range slices.Sorted(maps.Keys(m.pending)) {
		p := m.pending[id]
		if p.sentAt > 0 && m.now-p.sentAt < proposalRetryInterval {
			continue
		}
		switch {
		case m.isLeader():
			m.appendChange(p.change)
		case m.leader != "" && m.leader != m.c.Name:
			m.send(m.leader, &envelope{Kind: kindPropose, Change: &p.change})
		default:
			continue
		}
		p.sentAt = m.now
	}
}

// appendChange proposes a change to the Raft log. The caller must be the leader.
func (m *Machine) appendChange(c Change) {
	if _, done := m.group.record.Done(c.ID); done {
		return
	}
	data, err := json.Marshal(c)
	if err == nil {
		err = m.group.node.Propose(data)
	}
	if err != nil && !errors.Is(err, raft.ErrProposalDropped) { // the proposer retries a dropped proposal
		m.addError(err)
	}
}

// reconcileVoters replaces one voter whose process has restarted by its present incarnation: a name has
// only one live process, so the earlier incarnation is dead. It also adds a configured voter that was
// absent when the group was founded. It makes one change at a time.
func (m *Machine) reconcileVoters() {
	g := m.group
	if !m.isLeader() || m.now-m.voterChangedAt < voterChangeInterval ||
		len(g.confState.GetVotersOutgoing()) > 0 {
		return
	}
	for _, name := range m.c.Voters {
		p := m.peers[name]
		id := voterID(name, p.Life)
		if !p.Alive || slices.Contains(g.confState.GetVoters(), id) {
			continue
		}
		var old uint64
		for _, voter := range g.confState.GetVoters() {
			if g.voterNames[voter] == name {
				old = voter
			}
		}
		m.voterChangedAt = m.now
		if err := g.proposeReplacement(old, id, name); err != nil &&
			!errors.Is(err, raft.ErrProposalDropped) {
			m.addError(err)
		}
		return
	}
}

// leaderMissing reports whether no leader has been heard from for leaderTimeout, which is long enough to
// conclude that the group has no majority.
func (m *Machine) leaderMissing() bool {
	return m.now-max(m.leaderHeardAt, m.startedAt) > leaderTimeout
}

// foundIfNeeded founds a new group if no group has a leader: at the first start, and after so many voters
// restarted, and so lost their state, that the old group has no majority. The first live voter in the
// configured order does it, once all voters have answered, with the newest record that any of them has: a
// voter that does not answer might be the only one that knows the last committed change. In that case only
// an operator can declare it lost, see Recover.
func (m *Machine) foundIfNeeded() {
	if !m.voter || !m.leaderMissing() && !m.isFirstStart() {
		m.foundingSince, m.foundMessage = 0, nil
		return
	}
	if m.foundMessage != nil {
		if m.now-m.foundingSince > leaderTimeout { // the new group has elected no leader either
			m.foundingSince, m.foundMessage = 0, nil
		} else {
			m.sendFoundMessages()
		}
		return
	}
	// Only the first live voter founds a group, unless an operator forces a recovery.
	for _, name := range m.c.Voters {
		if m.peers[name].Alive && !m.forceRecovery {
			if name != m.c.Name {
				m.foundingSince = 0
				return
			}
			break
		}
	}
	if m.foundingSince == 0 {
		m.foundingSince = m.now
		clear(m.answers)
	}
	answered := 1
	for _, name := range m.c.Voters {
		a := m.answers[name]
		if a != nil && a.HasLeader { // another voter hears a leader that this one does not
			m.foundingSince = 0
			return
		}
		if a != nil && a.Life == m.peers[name].Life {
			answered++
		}
		if name != m.c.Name && m.peers[name].Alive {
			m.send(name, &envelope{Kind: kindQuery})
		}
	}
	switch {
	case m.canElect(): // wait for that group's election
	case answered == len(m.c.Voters) || m.forceRecovery && m.now-m.foundingSince > answerTimeout:
		m.foundGroup()
	}
}

// Recover is called when an operator declares that the voters that don't answer are permanently lost: the
// next group is founded without them. If they were still running elsewhere, two groups would commit changes
// independently, each for the members that it reaches.
func (m *Machine) Recover() error {
	if !m.voter {
		return fmt.Errorf("%s is no voter: want one of %v", m.c.Name, m.c.Voters)
	}
	if !m.leaderMissing() {
		return errors.New("a leader was heard of within the last seconds: nothing is lost")
	}
	m.forceRecovery = true
	return nil
}

// canElect reports whether some group still has a majority among the voters that have answered: that group
// will elect a leader by itself.
func (m *Machine) canElect() bool {
	here := map[uint64]bool{voterID(m.c.Name, m.c.Life): true}
	var groups [][][]uint64
	if m.group != nil {
		groups = append(groups, m.group.voterSets())
	}
	for name, a := range m.answers {
		here[voterID(name, a.Life)] = true
		groups = append(groups, a.Voters)
	}
	return slices.ContainsFunc(groups, func(sets [][]uint64) bool {
		return len(sets) > 0 && !slices.ContainsFunc(sets, func(set []uint64) bool {
			n := 0
			for _, id := range set {
				if here[id] {
					n++
				}
			}
			return n <= len(set)/2
		})
	})
}

// isFirstStart reports whether this member has no record and no group and all voters are alive: the first
// start does not wait for leaderTimeout. Once a record or group exists, it reports whether this member is
// founding a group.
func (m *Machine) isFirstStart() bool {
	if m.record.Generation > 0 || m.group != nil {
		return m.foundMessage != nil
	}
	for _, name := range m.c.Voters {
		if !m.peers[name].Alive {
			return false
		}
	}
	return true
}

// sendAnswer answers a kindQuery message of a voter that wants to found a group.
func (m *Machine) sendAnswer(to string) {
	e := &envelope{Kind: kindAnswer, Generation: m.record.Generation,
		HasLeader: m.leaderHeardAt > 0 && !m.leaderMissing()}
	if m.group != nil {
		e.Generation = max(e.Generation, m.group.generation)
		e.Voters = m.group.voterSets()
	}
	if best := m.bestRecord(); best.Generation > 0 {
		e.Record = best
	}
	m.send(to, e)
}

// foundGroup founds a group of the voters that have answered, with the newest record among them.
func (m *Machine) foundGroup() {
	best, last := m.bestRecord(), m.record.Generation
	if m.group != nil {
		last = max(last, m.group.generation)
	}
	lives := map[string]uint64{}
	for _, name := range m.c.Voters {
		if a := m.answers[name]; a != nil && a.Life == m.peers[name].Life {
			lives[name] = a.Life
			last = max(last, a.Generation)
			if a.Record != nil && a.Record.Newer(best) {
				best = a.Record
			}
		}
	}
	lives[m.c.Name] = m.c.Life
	// A generation is made of the time and, in the lowest 4 bits, the index of the founder, so that no two
	// are equal.
	place := uint64(slices.Index(m.c.Voters, m.c.Name))
	generation := max(uint64(m.now.Milliseconds())<<4, last+16)&^15 | place
	record := *best
	record.Generation, record.Epoch = generation, best.Epoch+1
	e := &envelope{Kind: kindFound, Generation: generation, Lives: lives, Record: &record}
	m.forceRecovery = false
	m.joinGroup(e)
	if m.group != nil && m.group.generation == generation {
		m.foundMessage = e
		m.foundingSince = m.now
		m.sendFoundMessages()
	}
}

// sendFoundMessages sends the foundation message to the other founders. It is repeated until the group has
// a leader.
func (m *Machine) sendFoundMessages() {
	for _, name := range m.c.Voters {
		if name != m.c.Name && m.foundMessage.Lives[name] != 0 { // voters that were absent are added later
			m.send(name, m.foundMessage)
		}
	}
}

// joinGroup joins a group that is being founded, unless this member has recently heard from a leader or is
// in a later group.
func (m *Machine) joinGroup(e *envelope) {
	if e.Record == nil || e.Lives[m.c.Name] != m.c.Life ||
		m.group != nil && m.group.generation >= e.Generation ||
		m.record.Generation >= e.Generation || m.leaderHeardAt > 0 && !m.leaderMissing() {
		return
	}
	initial := &snapshotState{Record: e.Record, Names: map[uint64]string{}}
	for name, life := range e.Lives {
		initial.Names[voterID(name, life)] = name
	}
	m.reserveRecord()
	g, err := newGroup(e.Generation, voterID(m.c.Name, m.c.Life), initial, m.c.Log)
	if err != nil {
		m.addError(err)
		return
	}
	m.group = g
}

// discardLogger is a raft.Logger that discards everything: problems show in the Standing of the record.
type discardLogger struct{}

func (discardLogger) Debug(...any)            {}
func (discardLogger) Debugf(string, ...any)   {}
func (discardLogger) Error(...any)            {}
func (discardLogger) Errorf(string, ...any)   {}
func (discardLogger) Info(...any)             {}
func (discardLogger) Infof(string, ...any)    {}
func (discardLogger) Warning(...any)          {}
func (discardLogger) Warningf(string, ...any) {}
func (discardLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (discardLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
