package replica

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// poll is a question for news that waits for some.
type poll struct {
	message.Message
	due time.Duration
}

// answered is the last question for news that was answered, and when it first was.
type answered struct {
	life, call uint64
	at         time.Duration
}

// answeredFor is how long an answer is remembered: who asks turns to all others first, and comes back.
const answeredFor = 4 * leaseTime

// gatherFor is how long it takes until all have asked again: a question's time, and an answer's.
const gatherFor = 1250 * time.Millisecond

type member struct {
	message.Machine
	renewed time.Duration
	here    time.Duration // when it last renewed its lease at this machine
}

// poll takes a question for news, which renews the lease of who asks. The lease counts from when that was
// sent, by what it says of the answer before: one that waited on its way, or comes again, is as old as it is.
// A first question names none, and the next one follows at once.
func (f *Frame) poll(from string, m *message.Message) {
	if t, ok := f.answered[from]; ok && t.life == m.Life && t.call == m.Echo {
		sent := min(f.now, t.at+time.Duration(m.Held)*time.Millisecond)
		f.lease(message.Machine{Addr: from, Zone: m.Zone, Age: uint64((f.now - sent).Milliseconds())}, true)
	}
	wait := min(time.Duration(m.Wait)*time.Millisecond, leaseTime/2)
	if old, waits := f.polls[from]; waits && old.Life == m.Life && old.Call >= m.Call {
		return // it comes again, or late: who asked has gone on
	}
	f.polls[from] = poll{*m, f.now + wait}
	f.answer(from, false)
}

// news answers all that wait for it.
func (f *Frame) news() {
	for _, from := range f.asking(true) {
		f.answer(from, false)
	}
}

// tells reports whether what this machine knows may be told as the newest.
func (f *Frame) tells() bool { return f.Fresh() && !f.hung() }

// answerPolls answers those that have waited long enough.
func (f *Frame) answerPolls() {
	if f.tells() {
		if !f.mending() {
			f.gathers = f.now
		}
		f.freshAt = f.now
	}
	f.snapshots.forget(f.now)
	for _, from := range f.asking(!f.mending()) {
		f.answer(from, f.now >= f.polls[from].due)
	}
}

// asking returns who waits for news, all or those who have waited long enough, in an agreed
// order: a rehearsal repeats by its seed.
func (f *Frame) asking(all bool) (list []string) {
	for from, p := range f.polls {
		if all || f.now >= p.due {
			list = append(list, from)
		}
	}
	slices.Sort(list)
	return list
}

// mending reports whether this machine serves, or did so a moment ago: a change of the view is over soon, and
// those who ask need not turn elsewhere for it.
func (f *Frame) mending() bool { return f.freshAt != 0 && f.now < f.freshAt+mendTime }

// answer answers a poll, if there is news for it or it has waited long enough.
func (f *Frame) answer(to string, now bool) {
	p := f.polls[to]
	m := &message.Message{Kind: message.News, Life: p.Life, Call: p.Call, OK: f.tells() && p.Epoch <= f.epoch,
		Epoch: p.Epoch}
	if !m.OK && !f.mending() {
		now = true
	}
	if m.OK {
		if f.epoch != p.Epoch {
			m.Epoch, m.Chain, now = f.epoch, f.chain, true
			// With the registry before, where this machine knows of a change that may never be complete.
			m.Registry, m.Former, m.Generation = f.next.Registry, f.next.Former, f.next.Generation
			m.Removed = f.next.Removed
		}
		now = f.tables(to, &p, m) || now
	}
	if now {
		delete(f.polls, to)
		if old := f.answered[to]; old.life != p.Life || old.call < p.Call { // else it was answered earlier
			f.answered[to] = answered{p.Life, p.Call, f.now}
		}
		f.Actions.Send(to, m)
	}
}

// lease notes that a member's lease was renewed.
func (f *Frame) lease(x message.Machine, own bool) {
	renewed := f.now - time.Duration(x.Age)*time.Millisecond
	old, known := f.members[x.Addr]
	if renewed < f.now-leaseTime || known && old.renewed > renewed {
		return
	}
	here := old.here
	if own {
		here = max(here, renewed)
	}
	f.members[x.Addr] = member{message.Machine{Addr: x.Addr, Zone: x.Zone}, renewed, here}
	if !known {
		f.count()
	}
}

// gathered reports whether this machine has told news for as long as all who ask take to ask again. Before
// that it knows of too few members, and each would take too large a share of a quota: who knows others goes
// by those, and no lease runs out.
func (f *Frame) gathered() bool { return f.mending() && f.now >= f.gathers+gatherFor }

// expire drops the members whose leases have run out.
func (f *Frame) expire() {
	maps.DeleteFunc(f.answered, func(_ string, t answered) bool { return f.now > t.at+answeredFor })
	if !f.gathered() {
		return
	}
	n := len(f.members)
	for addr, m := range f.members {
		if f.now > m.renewed+leaseTime {
			delete(f.members, addr)
		}
	}
	if len(f.members) != n {
		f.count()
	}
}

// count makes the members' digest.
func (f *Frame) count() {
	h := fnv.New64a()
	for _, m := range f.all() {
		h.Write([]byte(m.Addr))
		h.Write([]byte{0})
	}
	f.roster = h.Sum64()
}

// all returns the members in an agreed order.
func (f *Frame) all() []message.Machine {
	list := make([]message.Machine, 0, len(f.members))
	for _, m := range f.members {
		list = append(list, m.Machine)
	}
	slices.SortFunc(list, func(a, b message.Machine) int { return cmp.Compare(a.Addr, b.Addr) })
	return list
}

// own returns the members that renew their leases here, with how long ago they did.
func (f *Frame) own() []message.Machine {
	var list []message.Machine
	for _, addr := range slices.Sorted(maps.Keys(f.members)) {
		m := f.members[addr]
		if m.here != 0 && f.now <= m.here+leaseTime {
			x := m.Machine
			x.Age = uint64((f.now - m.here).Milliseconds())
			list = append(list, x)
		}
	}
	return list
}

// Duty names a task that one machine does.
type Duty int

// The duties, each done by another machine of the chain where there are as many.
const (
	ReadServers Duty = iota // reads the platform's list of servers
	KeepTolls               // keeps the counts of tenants
)

func (d Duty) String() string { return [...]string{"read-servers", "keep-tolls"}[d] }

// Holder returns which machine of a chain does a duty.
func Holder(chain []string, d Duty) string {
	if len(chain) == 0 {
		return ""
	}
	if d == ReadServers {
		return chain[len(chain)-1]
	}
	return chain[1%len(chain)]
}

// Holds reports whether this machine is to do a duty now, and under which epoch.
func (f *Frame) Holds(now time.Duration, d Duty) (epoch uint64, ok bool) {
	f.now = now
	ok = f.Fresh() && Holder(f.chain, d) == f.self
	return f.epoch, ok && (d != KeepTolls || f.leased() && f.succeeds())
}

// List takes the list of servers as this machine has read it by its duty, and the epoch under which it held
// that when it began to read: the list's fencing token. A reading that was held up while another view came is
// older than what the next holder has told by then, and is dropped.
func (f *Frame) List(now time.Duration, began uint64, servers []message.Server) {
	epoch, ok := f.Holds(now, ReadServers)
	if !ok || began != epoch {
		return
	}
	if f.list.Epoch == epoch && slices.Equal(servers, f.list.Servers) {
		f.tellList()
		return
	}
	seq := uint64(1)
	if f.list.Epoch == epoch {
		seq = f.list.Seq + 1
	}
	f.list = message.List{Epoch: epoch, Seq: seq, Servers: servers}
	f.tellList()
	f.news()
}

// tellList sends the list to those of the chain that have an older one.
func (f *Frame) tellList() {
	for _, to := range f.chain {
		p := f.peers[to]
		if to == f.self || p == nil || p.listEpoch == f.list.Epoch && p.listN >= f.list.Seq {
			continue
		}
		p.listEpoch, p.listN = f.list.Epoch, f.list.Seq // until its beat says otherwise
		l := f.list
		f.Actions.Send(to, &message.Message{Kind: message.Lineup, List: &l})
	}
}

// tellBehind has the list go on where none was read under this view for long, since the platform may be down:
// to the machine whose duty that is, if others have a newer one, and from there to those that are behind. It
// keeps its token.
func (f *Frame) tellBehind(to string, p *peer) {
	holder := Holder(f.chain, ReadServers)
	if f.state != InService || f.now < f.since+unreadFor || f.list.Epoch == f.epoch ||
		holder != f.self && holder != to || !slices.Contains(f.chain, to) ||
		!newer(&f.list, &message.List{Epoch: p.listEpoch, Seq: p.listN}) {
		return
	}
	p.listEpoch, p.listN = f.list.Epoch, f.list.Seq // until its beat says otherwise
	l := f.list
	f.Actions.Send(to, &message.Message{Kind: message.Lineup, List: &l})
}

// lineup takes the list of servers from the machine that reads it.
func (f *Frame) lineup(m *message.Message) {
	l := m.List
	if l == nil || !newer(l, &f.list) {
		return
	}
	f.list = *l
	f.news()
}

// newer reports whether a list is newer than another, which may be none.
func newer(a, b *message.List) bool {
	return b == nil || a.Epoch > b.Epoch || a.Epoch == b.Epoch && a.Seq > b.Seq
}
