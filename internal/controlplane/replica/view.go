package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// round is a proposal under way: first promises are gathered, then the view is handed out.
type round struct {
	epoch    uint64
	chain    []string
	registry []message.Machine
	former   []message.Machine // of a change: the registry that it replaces
	removed  []message.Machine // by staff, as part of the registry
	gen      uint64
	must     [][]message.Machine // a majority of each has to promise
	leavers  []string            // live members of former alone: they install, and are in no chain
	fresh    string              // the machine that the change makes a member
	began    time.Duration
	sent     time.Duration // when the phase's message went out last
	promised map[string]bool
	ids      map[string]uint64 // by which of its stores a machine has promised
	has      map[string]bool
	newest   Content // that was told
	install  *message.Message
	whole    *message.Packed    // its configuration, once anyone needs all of it
	holds    map[string]holding // what those who promised have
}

// holding is what a machine told of the text that it has.
type holding struct {
	version uint64
	last    []message.Taken // its number, with the digest
	outline []byte          // unless it has what the proposer has
	taken   []byte          // outline of the numbers taken
}

// epochStep leaves each machine of the core epochs of its own, so that no two propose under the same.
const epochStep = 64

// consider looks whether another view is wanted, and proposes it if this machine is the first that is live.
func (f *Frame) consider() {
	if f.round != nil {
		switch {
		case f.now >= f.round.began+roundWait:
			f.late()
		case f.round.sent != 0 && f.now >= f.round.sent+askAgain:
			f.sendRound() // what was sent to a machine that has just started may be lost
		}
		return
	}
	want := f.wanted()
	switch {
	case !f.rec.Whole || len(want) == 0 || f.first() != f.self:
		f.wish = nil
		return
	case f.state == InService && slices.Equal(want, f.chain) && f.sound():
		f.wish = nil
		if next := f.change(); next != nil {
			f.propose(want, next)
		}
		return
	case !slices.Equal(want, f.wish):
		f.wish, f.wishAt = want, f.now
		return
	// no more can come
	case len(want) == len(f.rec.Registry) && f.state != InService && f.now >= f.since+beatEvery:
	case f.now < f.wishAt+f.settle() || f.now < f.since+f.settle():
		return
	}
	f.propose(want, nil)
}

// settle is how long a wish must last. A machine that serves nothing has nothing to lose by a wrong one.
func (f *Frame) settle() time.Duration {
	if f.state == InService {
		return settleWait
	}
	return settleWait / 2
}

// sound reports whether all others of the chain serve in this view, or may yet do so in a moment: not one
// that has lost its disk, nor one that has promised another epoch to who is gone.
func (f *Frame) sound() bool {
	return !slices.ContainsFunc(f.chain, func(addr string) bool {
		p := f.peers[addr]
		return addr != f.self && (p == nil || !p.whole || f.now > max(p.along, f.since)+soundWait)
	})
}

// first is the first live machine of the core in the agreed order, of those that serve in the newest view
// where any do: who is not in it, or hears only some of those who are, waits until they take it in.
func (f *Frame) first() (first string) {
	newest := uint64(0)
	for _, m := range f.rec.Registry {
		epoch := uint64(0)
		switch p := f.peers[m.Addr]; {
		case !f.votes(m):
			continue
		case m.Addr != f.self:
			epoch = p.epoch
		case f.state == InService:
			epoch = f.epoch
		}
		if first == "" || epoch > newest {
			first, newest = m.Addr, epoch
		}
	}
	return first
}

// wanted is the chain that there should be, in the agreed order; nil where too few live for any.
func (f *Frame) wanted() []string {
	if want := f.wantedOf(true); want != nil {
		return want
	}
	return f.wantedOf(false)
}

// wantedOf is that chain, without those that are heard and have not answered, or with them.
func (f *Frame) wantedOf(answering bool) []string {
	var want []string
	for _, m := range f.rec.Registry {
		if !f.live(m.Addr) || answering && m.Addr != f.self && f.now < f.peers[m.Addr].deaf {
			continue
		}
		p := f.peers[m.Addr]
		if m.Addr != f.self && f.now < p.first+rejoinAfter && !slices.Contains(f.chain, m.Addr) &&
			f.state == InService {
			continue
		}
		if !f.apart(m.Addr, want) {
			want = append(want, m.Addr)
		}
	}
	votes := func(m message.Machine) bool {
		return f.votes(m) && (slices.Contains(want, m.Addr) || !at(f.rec.Registry, m.Addr))
	}
	if !quorate(votes, f.rec.voters()...) || !f.Survive.suffices(among(f.rec.Registry, want), f.rec.Registry) {
		return nil
	}
	return want
}

// apart reports whether a machine and one of some others don't hear each other: they can't be in one chain.
func (f *Frame) apart(addr string, others []string) bool {
	deaf := func(a, b string) bool { return a != f.self && slices.Contains(f.peers[a].misses, b) }
	return slices.ContainsFunc(others, func(o string) bool { return deaf(addr, o) || deaf(o, addr) })
}

// votes reports whether a member is heard, and has a vote.
func (f *Frame) votes(m message.Machine) bool {
	if m.Addr == f.self {
		return f.is(m) && f.live(m.Addr) && f.rec.Whole
	}
	return f.is(m) && f.live(m.Addr) && f.peers[m.Addr].whole
}

// propose asks for promises of a view. With other members, those before have to promise, and a majority of
// both has to have the view on disk before it is in service. A change that may be in service, or not, is gone
// on with.
func (f *Frame) propose(want []string, change []message.Machine) {
	i := slices.IndexFunc(f.rec.Registry, func(m message.Machine) bool { return m.Addr == f.self })
	if i < 0 || f.next.Generation != f.rec.Generation || len(f.next.Former) != len(f.rec.Former) {
		return // another registry is being saved
	}
	epoch := (max(f.next.Promised, f.epoch, f.floor)/epochStep+1)*epochStep + f.rec.Registry[i].Seat
	r := &round{epoch: epoch, chain: want, began: f.now, promised: map[string]bool{},
		ids: map[string]uint64{}, has: map[string]bool{}, holds: map[string]holding{}, newest: f.rec.Content,
		registry: f.rec.Registry, former: f.rec.Former, gen: f.rec.Generation, must: f.rec.voters(),
		removed: f.rec.Removed}
	if change != nil {
		r.registry, r.former, r.removed = change, f.rec.Registry, f.removed(change)
		r.chain = nil
		for _, m := range change {
			if !has(r.former, m) {
				r.fresh = m.Addr
			}
			if m.Addr == r.fresh || slices.Contains(want, m.Addr) {
				r.chain = append(r.chain, m.Addr)
			}
		}
	}
	if len(r.former) > 0 {
		r.gen = epoch
	}
	for _, m := range r.former {
		if !at(r.registry, m.Addr) && f.votes(m) {
			r.leavers = append(r.leavers, m.Addr)
		}
	}
	f.become(Proposing)
	f.round = r
	f.next.Promised = epoch
	f.save(func() {
		if f.round != r || f.next.Promised != epoch {
			return
		}
		r.newest, r.began = f.rec.Content, f.now // the others have the time that this disk has taken, too
		f.sendRound()
		r.ids[f.self] = f.rec.ID
		f.promise(f.self)
	})
}

// all returns the machines that are to have the view on disk.
func (r *round) all() []string { return append(slices.Clone(r.chain), r.leavers...) }

// sendRound sends the phase's message to all of the round that have not answered it. What is sent again
// relies on nothing that was told before.
func (f *Frame) sendRound() {
	r := f.round
	again := r.sent != 0
	r.sent = f.now
	m, has := &message.Message{Kind: message.Prepare, Epoch: r.epoch, Stamp: f.rec.Stamp,
		Version: f.rec.Version, Past: f.rec.last(), Generation: f.rec.Generation}, r.promised
	if f.took == 0 && !again { // it was just started: others may have a newer one
		m.Outline = message.Outline(f.rec.Config, message.Ranges)
		m.TakenOutline = message.Outline(f.rec.numbers(), message.TakenChunks)
	}
	if f.state == Installing {
		has = r.has
	}
	for _, to := range r.all() {
		if to == f.self || has[to] {
			continue
		}
		if f.state == Installing {
			m = r.installFor(to, again)
		}
		f.Actions.Send(to, m)
	}
}

// installFor is the view for one machine, with the configuration as far as that has not told that it has it.
func (r *round) installFor(to string, whole bool) *message.Message {
	m, h := *r.install, r.holds[to]
	if whole {
		h = holding{}
	}
	m.Taken = message.PackOver(r.newest.numbers(), h.version, h.taken, message.TakenChunks)
	switch {
	case len(h.last) > 0 && r.newest.same(h.last[len(h.last)-1]):
	case len(h.outline) > 0:
		m.Config = message.PackOver(r.newest.Config, h.version, h.outline, message.Ranges)
	default:
		if r.whole == nil {
			r.whole = message.Pack(r.newest.Config, 0, nil)
		}
		m.Config = r.whole
	}
	return &m
}

func (f *Frame) prepare(from string, m *message.Message) {
	if !f.rec.Whole || !f.next.Whole || f.sick() {
		return
	}
	if m.Generation < f.rec.Generation {
		f.refuse(from, m.Life)
		return
	}
	if !f.ofCore(from) && m.Generation == f.rec.Generation {
		return
	}
	if m.Epoch == f.rec.Promised && m.Epoch == f.next.Promised && f.took != m.Epoch { // its answer was lost
		f.answerPrepare(from, m)
		return
	}
	if m.Epoch == f.next.Promised && f.rec.Promised != m.Epoch {
		return // it is being saved
	}
	if m.Epoch <= f.next.Promised {
		f.refuse(from, m.Life)
		return
	}
	f.next.Promised = m.Epoch
	f.become(Aside) // from here on nothing more goes down the old chain through this machine
	f.save(func() {
		if f.next.Promised != m.Epoch {
			return
		}
		f.answerPrepare(from, m)
	})
}

// refuse tells why nothing is promised: by the epoch that was, and the registry.
func (f *Frame) refuse(to string, life uint64) {
	m := f.Roll()
	m.Kind, m.Life, m.Epoch = message.Refuse, life, f.next.Promised
	f.Actions.Send(to, m)
}

func (f *Frame) answerPrepare(from string, m *message.Message) {
	p := &message.Message{Kind: message.Promise, Life: m.Life, Epoch: m.Epoch, Stamp: f.rec.Stamp,
		Version: f.rec.Version, ID: f.rec.ID, Past: f.rec.last(),
		TakenOutline: message.Outline(f.rec.numbers(), message.TakenChunks)}
	same := len(m.Past) > 0 && f.rec.same(m.Past[len(m.Past)-1])
	newer := f.rec.newer(m.Stamp, m.Version)
	if newer {
		p.Taken = message.PackOver(f.rec.numbers(), m.Version, m.TakenOutline, message.TakenChunks)
	}
	switch {
	case same:
	case newer:
		p.Config = message.PackOver(f.rec.Config, m.Version, m.Outline, message.Ranges)
	default:
		p.Outline = message.Outline(f.rec.Config, message.Ranges)
	}
	f.Actions.Send(from, p)
}

func (f *Frame) promised(from string, m *message.Message) {
	r := f.round
	if r == nil || r.epoch != m.Epoch || f.state != Proposing ||
		!has(slices.Concat(r.must...), message.Machine{Addr: from, ID: m.ID}) {
		return
	}
	r.holds[from] = holding{m.Version, m.Past, m.Outline, m.TakenOutline}
	if told := (Content{Stamp: m.Stamp, Version: m.Version}); told.newer(r.newest.Stamp, r.newest.Version) {
		told, err := f.content(m)
		if err != nil {
			return // as if it had not answered
		}
		r.newest = told
	}
	r.ids[from] = m.ID
	f.promise(from)
}

func (f *Frame) promise(from string) {
	r := f.round
	r.promised[from] = true
	for _, m := range slices.Concat(r.must...) {
		if slices.Contains(r.all(), m.Addr) && f.votes(m) && !r.promised[m.Addr] {
			return
		}
	}
	if quorate(r.hasPromised, r.must...) {
		f.handOut()
	}
}

// hasPromised reports whether a member has, and not another disk at its address.
func (r *round) hasPromised(m message.Machine) bool {
	return r.promised[m.Addr] && r.ids[m.Addr] == m.ID
}

// handOut gives the view to its machines: those that promised, and those that are to be mended.
func (f *Frame) handOut() {
	r := f.round
	r.chain = slices.DeleteFunc(slices.Clone(r.chain), func(addr string) bool {
		p := f.peers[addr]
		return !r.promised[addr] && addr != f.self && addr != r.fresh && (p == nil || p.whole)
	})
	r.leavers = slices.DeleteFunc(r.leavers, func(addr string) bool { return !r.promised[addr] })
	serves := func(m message.Machine) bool { return slices.Contains(r.chain, m.Addr) }
	installs := func(m message.Machine) bool {
		return slices.Contains(r.leavers, m.Addr) || has(r.registry, m) && serves(m)
	}
	if !quorate(r.hasPromised, r.must...) || !quorate(serves, r.registry) ||
		len(r.former) > 0 && !quorate(installs, r.former) ||
		!f.Survive.suffices(among(r.registry, r.chain), r.registry) {
		f.become(Aside)
		return
	}
	f.become(Installing)
	r.began = f.now
	f.round = r
	r.install = &message.Message{Kind: message.Install, Epoch: r.epoch, Chain: r.chain, Registry: r.registry,
		Former: r.former, Generation: r.gen, Removed: r.removed,
		Version: r.newest.Version, Past: r.newest.last()}
	r.sent = 0
	f.sendRound()
	f.take(r.install, r.newest, func() { f.installed(f.self, &message.Message{Epoch: r.epoch}) })
}

// content returns the content that a message tells, with this machine's own text if that is the same.
func (f *Frame) content(m *message.Message) (c Content, err error) {
	c.Stamp, c.Version = m.Stamp, m.Version
	switch {
	case m.Version == 0:
		return c, nil
	case len(m.Past) != 1 || m.Taken == nil:
		return c, message.ErrBase
	}
	numbers, err := m.Taken.Unpack(f.next.Version, f.next.numbers())
	if err != nil {
		return c, err
	}
	if c.Past, err = message.DecodeTaken(numbers); err != nil {
		return c, err
	}
	if !c.same(m.Past[0]) {
		return c, message.ErrDigest
	}
	switch {
	case f.next.same(m.Past[0]):
		c.Config = f.next.Config
		return c, nil
	case m.Config == nil:
		return c, message.ErrBase
	}
	if c.Config, err = m.Config.Unpack(f.next.Version, f.next.Config); err != nil {
		return c, err
	}
	if message.SumOf(c.Config) != m.Past[0].Digest {
		return c, message.ErrDigest
	}
	return c, nil
}

// take saves a view, and what it begins with, under its epoch. Whatever else was on the disk is dropped: it
// was never acknowledged.
func (f *Frame) take(m *message.Message, begins Content, then func()) {
	f.next.Epoch, f.next.Chain, f.next.Promised, f.next.Whole = m.Epoch, m.Chain, m.Epoch, true
	f.next.Registry, f.next.Former, f.next.Generation = m.Registry, m.Former, m.Generation
	f.next.Removed, f.next.Barred = m.Removed, false
	f.next.Content = begins
	f.next.Stamp = m.Epoch
	clear(f.packs)
	f.save(func() {
		f.took = m.Epoch
		then()
	})
}

func (f *Frame) install(from string, m *message.Message) {
	if m.Epoch < f.next.Promised || m.Generation < f.next.Generation || f.sick() ||
		!has(m.Registry, f.me()) && !has(m.Former, f.me()) { // it may be for another disk at this address
		return
	}
	if f.took == m.Epoch { // its answer was lost
		f.Actions.Send(from, &message.Message{Kind: message.Installed, Life: m.Life, Epoch: m.Epoch})
		return
	}
	if f.next.Epoch == m.Epoch {
		return // it is being saved, or an earlier life took it, and may have accepted more since
	}
	begins, err := f.content(m)
	if err != nil {
		return
	}
	if !f.rec.Whole {
		f.Actions.Log(events.Mended, "version", m.Version)
	}
	f.become(Aside)
	f.take(m, begins, func() {
		if f.next.Promised == m.Epoch {
			f.Actions.Send(from, &message.Message{Kind: message.Installed, Life: m.Life, Epoch: m.Epoch})
		}
	})
}

func (f *Frame) installed(from string, m *message.Message) {
	r := f.round
	if r == nil || r.epoch != m.Epoch || f.state != Installing {
		return
	}
	r.has[from] = true
	for _, addr := range r.all() {
		if !r.has[addr] {
			return
		}
	}
	m = &message.Message{Kind: message.Active, Epoch: r.epoch, Chain: r.chain, Version: r.newest.Version,
		Leavers: r.leavers}
	for _, addr := range r.all() {
		if addr != f.self {
			f.Actions.Send(addr, m)
		}
	}
	f.activate(m)
}

// activate puts a view into service that all its machines have on disk: what it began with is committed. A
// machine that was started again since takes no part in the view that it finds on its disk: what it told
// under the epoch, such as lists by their numbers, is not on the disk. It comes back by another view.
func (f *Frame) activate(m *message.Message) {
	if f.took != m.Epoch || f.next.Promised != m.Epoch || f.epoch > m.Epoch ||
		f.state == InService && f.epoch == m.Epoch {
		return
	}
	if f.complete(m.Epoch); f.state == Blank {
		return
	}
	f.epoch, f.chain = m.Epoch, m.Chain
	f.keep = keep{took: slices.Concat(m.Chain, m.Leavers)}
	if !slices.Contains(f.chain, f.self) { // its own proposal, without itself: nothing comes to its disk there
		f.become(Aside)
		return
	}
	f.commit(m.Version)
	f.become(InService)
	f.Actions.Log(events.InService, "epoch", m.Epoch, "machines", len(m.Chain), "version", f.committed)
	f.beat() // so that all know at once that a majority serves
	f.news()
	f.advance()
}

// complete notes that a change of members is so: its view is on the disks of a majority before and after.
func (f *Frame) complete(epoch uint64) {
	if len(f.next.Former) == 0 || f.next.Generation != epoch {
		return
	}
	f.answerOrder()
	if !has(f.next.Registry, f.me()) {
		f.retire(f.next.Generation, f.next.Removed)
		return
	}
	f.next.Former = nil
	f.save(nil)
	f.Actions.Log(events.Changed, "generation", f.next.Generation, "members", len(f.next.Registry))
}

// refused ends a proposal that came too late, or by members that are so no longer.
func (f *Frame) refused(m *message.Message) {
	if f.next.Whole && len(m.Registry) > 0 {
		f.adopt(m)
	}
	if f.round == nil || m.Epoch <= f.round.epoch {
		return
	}
	f.floor = max(f.floor, m.Epoch)
	f.become(Aside)
}

// late ends a phase that took too long, with those that have answered.
func (f *Frame) late() {
	answered := f.round.promised
	if f.state == Installing {
		answered = f.round.has
	}
	for _, addr := range f.round.all() {
		if p := f.peers[addr]; p != nil && !answered[addr] {
			p.deaf = f.now + deafFor
		}
	}
	if f.state == Proposing && quorate(f.round.hasPromised, f.round.must...) {
		f.handOut()
		return
	}
	f.become(Aside)
}
