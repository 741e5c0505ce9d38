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

// Peer is a member as this one sees it now.
type Peer struct {
	Name  string
	Life  uint64 // unlike that of any other start of the same name
	Alive bool
}

// Config is what a Machine goes by. All members have the same, but for Name and Life.
type Config struct {
	Name   string
	Life   uint64
	Voters []string      // names; with an even number no more failures are borne than with one less
	Lease  time.Duration // for which a leader's word counts as agreed, by its own time of it
	Hold   time.Duration // for which it holds after that, without a majority
	Beat   time.Duration // between a leader's words
	Log    raft.Logger   // may be nil
}

// Tick is the time between two calls of Machine.Tick.
const Tick = 100 * time.Millisecond

// Other times of the machine.
const (
	stuckAfter  = 3 * time.Second // without a leader: an election takes 2 s at the most
	answersFor  = time.Second     // that a founder waits for
	replaceRest = time.Second     // between two changes of voters
	againAfter  = 500 * time.Millisecond
	newsFor     = time.Second // after a change, for which the leader's word has the record with it
)

// shortMost is what still goes along in one datagram, in bytes.
const shortMost = 900

// Standing says how far a member may go by its record.
type Standing int

// The kinds of Standing.
const (
	Unknown Standing = iota // never heard of a record
	Agreed                  // a majority stood behind it within the lease
	Held                    // not any more; it holds all the same for a while
	Lapsed                  // each for itself
)

func (s Standing) String() string { return [...]string{"unknown", "agreed", "held", "lapsed"}[s] }

// proposal is a change of this member's own that has not ended.
type proposal struct {
	change Change
	sent   time.Duration
}

// Machine is one member's part in the common record. It is for one goroutine.
type Machine struct {
	c     Config
	voter bool
	now   time.Duration // Unix time
	begun time.Duration

	peers   map[string]Peer
	record  *Record       // best known
	changed time.Duration // when this member took it
	short   *Record       // the record, if it is short enough to go along with the leader's word; else nil
	fresh   time.Duration // a majority stood behind it then
	leader  string        // as last heard
	led     time.Duration // when this member last heard of a leader

	kept     *Record // see reserve
	group    *group  // nil until this member has a part in one
	lastBeat time.Duration
	replaced time.Duration
	pending  map[string]*proposal
	asked    time.Duration // when this member began to found; 0: it does not
	answers  map[string]*envelope
	recover  bool      // see Recover
	founded  *envelope // what it told founders, until the group works

	out  []Message
	errs []error
}

// New returns a machine that begins at a Unix time.
func New(c Config, now time.Duration) *Machine {
	if c.Log == nil {
		c.Log = silent{}
	}
	return &Machine{c: c, voter: slices.Contains(c.Voters, c.Name), now: now, begun: now,
		peers: map[string]Peer{}, record: &Record{}, pending: map[string]*proposal{},
		answers: map[string]*envelope{}}
}

// Take returns the messages to send since the last call.
func (m *Machine) Take() []Message {
	out := m.out
	m.out = nil
	return out
}

// Err returns what went wrong inside since the last call: it takes none of the service, but staff should
// know.
func (m *Machine) Err() error {
	err := errors.Join(m.errs...)
	m.errs = nil
	return err
}

// Life is this member's present life: members are to be told when it changes.
func (m *Machine) Life() uint64 { return m.c.Life }

// Record is what is agreed, as far as this member knows. It must not be changed.
func (m *Machine) Record() *Record { return m.record }

// Standing says how far the record may be gone by.
func (m *Machine) Standing(now time.Duration) Standing {
	switch {
	case m.record.Generation == 0:
		return Unknown
	case now < m.fresh+m.c.Lease:
		return Agreed
	case now < m.fresh+m.c.Lease+m.c.Hold:
		return Held
	}
	return Lapsed
}

// Fresh is the last time at which a majority is known to have stood behind the record, as Unix time.
func (m *Machine) Fresh() time.Duration { return m.fresh }

// Leader is the leader's name as far as known.
func (m *Machine) Leader() string { return m.leader }

// Leads reports whether this member leads, with a majority behind it within the lease.
func (m *Machine) Leads(now time.Duration) bool { return m.leads() && now < m.fresh+m.c.Lease }

func (m *Machine) leads() bool {
	return m.group != nil && m.group.node.BasicStatus().RaftState == raft.StateLeader
}

// Peers tells who the members are, as the membership sees them.
func (m *Machine) Peers(list []Peer) {
	clear(m.peers)
	for _, p := range list {
		m.peers[p.Name] = p
	}
	m.peers[m.c.Name] = Peer{m.c.Name, m.c.Life, true}
}

// Propose has a change decided. How it ended is in Record().Done, once it has.
func (m *Machine) Propose(now time.Duration, c Change) {
	m.now = max(m.now, now)
	m.pending[c.ID] = &proposal{change: c}
	m.push()
	m.work()
}

// Waiting is how many changes of this member's own have not ended.
func (m *Machine) Waiting() int { return len(m.pending) }

// Forget gives up a change: it may still be taken, if it is under way.
func (m *Machine) Forget(id string) { delete(m.pending, id) }

// Tick moves the machine's timers on. It is to be called every Tick.
func (m *Machine) Tick(now time.Duration) {
	m.now = max(m.now, now)
	if m.group != nil {
		m.group.tick()
	}
	m.push()
	m.confirm(false)
	m.found()
	m.reconcile()
	m.work()
}

// Step takes a message of a member. A message that can't be read is an error, and changes nothing.
func (m *Machine) Step(now time.Duration, from string, data []byte) error {
	m.now = max(m.now, now)
	e, err := decode(data)
	if err != nil {
		return fmt.Errorf("message of %s: %w", from, err)
	}
	switch e.Kind {
	case kindRaft:
		err = m.stepRaft(from, e)
	case kindBeat:
		m.beat(from, e)
	case kindPull:
		if m.record.Newer(&Record{Generation: e.Generation, Epoch: e.Epoch}) {
			m.send(from, &envelope{Kind: kindBeat, Generation: m.record.Generation, Epoch: m.record.Epoch,
				At: int64(m.fresh), Record: m.record})
		}
	case kindPropose:
		if e.Change != nil && m.leads() {
			m.offer(*e.Change)
		}
	case kindAsk:
		m.tell(from)
	case kindTell:
		if m.asked > 0 {
			m.answers[from] = e
		}
	case kindFound:
		m.join(e)
	default: // of a later version
	}
	if err != nil {
		return fmt.Errorf("message of %s: %w", from, err)
	}
	m.work()
	return nil
}

func (m *Machine) send(to string, e *envelope) {
	e.Life = m.c.Life
	m.out = append(m.out, Message{to, e.encode()})
}

func (m *Machine) fault(err error) {
	if err != nil && len(m.errs) < 16 {
		m.errs = append(m.errs, err)
	}
}

// stepRaft takes a message of the log. A voter that the group has taken in begins with it.
func (m *Machine) stepRaft(from string, e *envelope) error {
	msg := &raftpb.Message{}
	if err := proto.Unmarshal(e.Raft, msg); err != nil {
		return err
	}
	if msg.GetTo() != voterID(m.c.Name, m.c.Life) || msg.GetFrom() != voterID(from, e.Life) {
		return nil // for or from an earlier life
	}
	if m.group == nil || m.group.generation < e.Generation {
		m.reserve()
		g, err := newGroup(e.Generation, msg.GetTo(), nil, m.c.Log)
		if err != nil {
			return err
		}
		m.group = g
	}
	if m.group.generation > e.Generation {
		return nil
	}
	m.group.names[msg.GetFrom()] = from
	if err := m.group.node.Step(msg); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) &&
		!errors.Is(err, raft.ErrProposalDropped) {
		return err
	}
	switch msg.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.group.node.BasicStatus().Lead == msg.GetFrom() {
			m.led = m.now
		}
	}
	return nil
}

// work carries out what the log has to do: keep, send, apply.
func (m *Machine) work() {
	g := m.group
	for g != nil && g.node.HasReady() {
		rd := g.node.Ready()
		if err := m.ready(g, rd); err != nil {
			m.fault(err)
			m.relive() // a log that can't be read is none; the group takes this voter in anew
			return
		}
		g.node.Advance(rd)
		m.fault(g.compact())
		if g.works() && g.record.Newer(m.record) {
			m.adopt(g.record)
		}
	}
}

// relive has this voter forget its part in a group, as a process does that starts again: it votes no more
// as who it was, and the group that works takes it in as another.
func (m *Machine) relive() {
	m.reserve()
	m.group = nil
	m.c.Life = m.c.Life*6364136223846793005 + 1442695040888963407
	m.peers[m.c.Name] = Peer{m.c.Name, m.c.Life, true}
}

// reserve keeps what this voter's log holds beyond what is agreed, for a group that may be founded later.
func (m *Machine) reserve() {
	if m.group != nil && m.group.works() {
		if far := m.group.farthest(); far.Newer(m.best()) {
			m.kept = far
		}
	}
}

// best is the best record that this member could begin a new group with.
func (m *Machine) best() *Record {
	best := m.record
	if m.kept != nil && m.kept.Newer(best) {
		best = m.kept
	}
	if m.group != nil && m.group.works() {
		if far := m.group.farthest(); far.Newer(best) {
			best = far
		}
	}
	return best
}

func (m *Machine) ready(g *group, rd raft.Ready) error {
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
		if err := json.Unmarshal(r.RequestCtx, &at); err == nil && m.leads() {
			m.confirmed(at)
		}
	}
	return nil
}

func (m *Machine) sendRaft(g *group, msg *raftpb.Message) {
	name, known := g.names[msg.GetTo()]
	if !known {
		return
	}
	data, err := proto.Marshal(msg)
	if err != nil {
		m.fault(err)
		return
	}
	m.send(name, &envelope{Kind: kindRaft, Generation: g.generation, Raft: data})
	if msg.GetType() == raftpb.MsgSnap {
		g.snaps[msg.GetTo()] = electionTicks / 2
	}
}

// adopt goes by a record that counts over the one so far.
func (m *Machine) adopt(r *Record) {
	old := m.record.Epoch
	m.record, m.changed, m.short = r, m.now, nil
	if data, err := json.Marshal(r); err == nil && len(data) <= shortMost {
		m.short = r
	}
	for id := range m.pending {
		if _, done := r.Done(id); done {
			delete(m.pending, id)
		}
	}
	if r.Epoch != old && m.leads() {
		m.confirm(true)
	}
}

// confirm asks a majority whether this member still leads; what it then says counts from when it asked.
func (m *Machine) confirm(at bool) {
	if !m.leads() || !at && m.now-m.lastBeat < m.c.Beat {
		return
	}
	m.lastBeat = m.now
	context, err := json.Marshal(m.now)
	if err != nil {
		m.fault(err)
		return
	}
	m.group.node.ReadIndex(context)
}

// confirmed tells all members of the record, a majority standing behind this leader.
func (m *Machine) confirmed(at time.Duration) {
	g := m.group
	if g.record.Newer(m.record) {
		m.adopt(g.record)
	}
	m.fresh, m.led, m.leader, m.founded = max(m.fresh, at), m.now, m.c.Name, nil
	e := &envelope{Kind: kindBeat, Generation: g.generation, Epoch: g.record.Epoch, At: int64(at), Led: true}
	if m.now-m.changed < newsFor {
		e.Record = m.short
	}
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		if m.peers[name].Alive && name != m.c.Name {
			m.send(name, e)
		}
	}
}

// beat takes a leader's word, or a record that was pulled.
func (m *Machine) beat(from string, e *envelope) {
	said := &Record{Generation: e.Generation, Epoch: e.Epoch}
	if m.record.Newer(said) { // an old leader's, or late
		return
	}
	if e.Led {
		m.leader, m.led = from, m.now
		switch g := m.group; {
		case g != nil && g.generation < e.Generation:
			// Both groups take a majority of the same names, and a name has a part in one at a time: the earlier
			// one can't decide any more.
			m.reserve()
			m.group = nil
		case g != nil && g.generation > e.Generation: // its founding came to nothing
			m.relive()
		}
	}
	if said.Newer(m.record) {
		if e.Record == nil {
			m.send(from, &envelope{Kind: kindPull, Generation: m.record.Generation, Epoch: m.record.Epoch})
			return
		}
		m.adopt(e.Record)
	}
	// A time ahead of this member's own clock would make the word last longer than its lease.
	m.fresh = max(m.fresh, min(time.Duration(e.At), m.now))
}

// push hands on this member's proposals, again and again until they have ended.
func (m *Machine) push() {
	for _, id := range slices.Sorted(maps.Keys(m.pending)) {
		p := m.pending[id]
		if p.sent > 0 && m.now-p.sent < againAfter {
			continue
		}
		switch {
		case m.leads():
			m.offer(p.change)
		case m.leader != "" && m.leader != m.c.Name:
			m.send(m.leader, &envelope{Kind: kindPropose, Change: &p.change})
		default:
			continue
		}
		p.sent = m.now
	}
}

// offer puts a change into the log.
func (m *Machine) offer(c Change) {
	if _, done := m.group.record.Done(c.ID); done {
		return
	}
	data, err := json.Marshal(c)
	if err == nil {
		err = m.group.node.Propose(data)
	}
	if err != nil && !errors.Is(err, raft.ErrProposalDropped) { // its proposer comes again
		m.fault(err)
	}
}

// reconcile has a name's present life vote in place of an earlier one, which is dead: a name lives once. A
// name that was away when the group was founded is taken in.
func (m *Machine) reconcile() {
	g := m.group
	if !m.leads() || m.now-m.replaced < replaceRest || len(g.conf.GetVotersOutgoing()) > 0 {
		return
	}
	for _, name := range m.c.Voters {
		p := m.peers[name]
		id := voterID(name, p.Life)
		if !p.Alive || slices.Contains(g.conf.GetVoters(), id) {
			continue
		}
		var old uint64
		for _, voter := range g.conf.GetVoters() {
			if g.names[voter] == name {
				old = voter
			}
		}
		m.replaced = m.now
		if err := g.replace(old, id, name); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
			m.fault(err)
		}
		return
	}
}

// stuck reports that no leader has been heard of for so long that there can be no majority of the group.
func (m *Machine) stuck() bool { return m.now-max(m.led, m.begun) > stuckAfter }

// found makes a new group where none works: at the first start, and after so many voters came back without
// their memory that the old one has no majority. The first living voter does it, once all names have
// answered, with the best record that any of them has: one that does not answer might be the only one that
// knows what was last agreed. Then only staff can say that it is gone: see Recover.
func (m *Machine) found() {
	if !m.voter || !m.stuck() && !m.early() {
		m.asked, m.founded = 0, nil
		return
	}
	if m.founded != nil {
		if m.now-m.asked > stuckAfter { // it does not work either
			m.asked, m.founded = 0, nil
		} else {
			m.invite()
		}
		return
	}
	for _, name := range m.c.Voters {
		if m.peers[name].Alive && !m.recover {
			if name != m.c.Name {
				m.asked = 0
				return
			}
			break
		}
	}
	if m.asked == 0 {
		m.asked = m.now
		clear(m.answers)
	}
	heard := 1
	for _, name := range m.c.Voters {
		a := m.answers[name]
		if a != nil && a.Led { // a leader there is, only not heard here
			m.asked = 0
			return
		}
		if a != nil && a.Life == m.peers[name].Life {
			heard++
		}
		if name != m.c.Name && m.peers[name].Alive {
			m.send(name, &envelope{Kind: kindAsk})
		}
	}
	switch {
	case m.mayElect():
	case heard == len(m.c.Voters) || m.recover && m.now-m.asked > answersFor:
		m.begin()
	}
}

// Recover is staff's word that voters who don't answer are gone for good: the next group is founded
// without them. Were they alive elsewhere, two groups would decide at once, each for those that hear it.
func (m *Machine) Recover() error {
	if !m.voter {
		return fmt.Errorf("%s is no voter: want one of %v", m.c.Name, m.c.Voters)
	}
	if !m.stuck() {
		return errors.New("a leader was heard of within the last seconds: nothing is lost")
	}
	m.recover = true
	return nil
}

// mayElect reports that a group still has a majority among those who have answered: it will find a leader.
func (m *Machine) mayElect() bool {
	here := map[uint64]bool{voterID(m.c.Name, m.c.Life): true}
	var groups [][][]uint64
	if m.group != nil {
		groups = append(groups, m.group.voters())
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

// early reports that nobody has any record yet and all voters are there: the first start need not wait.
func (m *Machine) early() bool {
	if m.record.Generation > 0 || m.group != nil {
		return m.founded != nil
	}
	for _, name := range m.c.Voters {
		if !m.peers[name].Alive {
			return false
		}
	}
	return true
}

// tell answers one who would found a group.
func (m *Machine) tell(to string) {
	e := &envelope{Kind: kindTell, Generation: m.record.Generation, Led: m.led > 0 && !m.stuck()}
	if m.group != nil {
		e.Generation = max(e.Generation, m.group.generation)
		e.Voters = m.group.voters()
	}
	if best := m.best(); best.Generation > 0 {
		e.Record = best
	}
	m.send(to, e)
}

// begin founds a group of those who have answered.
func (m *Machine) begin() {
	best, last := m.best(), m.record.Generation
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
	// Generations are by the time, with the founder's place, so that no two are alike.
	place := uint64(slices.Index(m.c.Voters, m.c.Name))
	generation := max(uint64(m.now.Milliseconds())<<4, last+16)&^15 | place
	record := *best
	record.Generation, record.Epoch = generation, best.Epoch+1
	e := &envelope{Kind: kindFound, Generation: generation, Lives: lives, Record: &record}
	m.recover = false
	m.join(e)
	if m.group != nil && m.group.generation == generation {
		m.founded = e
		m.asked = m.now
		m.invite()
	}
}

// invite tells the founders of the group, until it works.
func (m *Machine) invite() {
	for _, name := range m.c.Voters {
		if name != m.c.Name && m.founded.Lives[name] != 0 { // who was not there is taken in later
			m.send(name, m.founded)
		}
	}
}

// join takes part in a group that is being founded, unless a leader is near or this member has a part in a
// later one.
func (m *Machine) join(e *envelope) {
	if e.Record == nil || e.Lives[m.c.Name] != m.c.Life ||
		m.group != nil && m.group.generation >= e.Generation ||
		m.record.Generation >= e.Generation || m.led > 0 && !m.stuck() {
		return
	}
	begin := &state{Record: e.Record, Names: map[uint64]string{}}
	for name, life := range e.Lives {
		begin.Names[voterID(name, life)] = name
	}
	m.reserve()
	g, err := newGroup(e.Generation, voterID(m.c.Name, m.c.Life), begin, m.c.Log)
	if err != nil {
		m.fault(err)
		return
	}
	m.group = g
}

// silent is a raft.Logger that says nothing: what matters shows in the record's standing.
type silent struct{}

func (silent) Debug(...any)            {}
func (silent) Debugf(string, ...any)   {}
func (silent) Error(...any)            {}
func (silent) Errorf(string, ...any)   {}
func (silent) Info(...any)             {}
func (silent) Infof(string, ...any)    {}
func (silent) Warning(...any)          {}
func (silent) Warningf(string, ...any) {}
func (silent) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (silent) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (silent) Panic(v ...any) { panic(fmt.Sprint(v...)) }
func (silent) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
