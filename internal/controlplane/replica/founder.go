package replica

import (
	"maps"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Founding is what a seed keeps of the first start, until a core is named.
type Founding struct {
	// Sure says that this disk holds all that the seed promised: it was made in the first life of the
	// system. A seed on another disk may have promised what it doesn't know.
	Sure    bool
	Seeds   []string          // of the first start
	Pledged uint64            // it takes no draft below this ballot
	Ballot  uint64            // of the draft that it took last; 0: none
	Draft   []message.Machine // the machines of the core, as that has them
}

// FounderState is what a Founder is in.
type FounderState int

// The states of a Founder.
const (
	Gathering FounderState = iota // machines say that they are there
	Pledging                      // it has asked the seeds for pledges
	Drafting                      // it has handed out a draft
	Decided                       // a majority of the seeds has it: it is the core
)

func (s FounderState) String() string {
	return [...]string{"gathering", "pledging", "drafting", "decided"}[s]
}

// Founder names the machines of the core at the first start of the whole system. One runs at each seed; the
// seeds are the same everywhere then. The first live one in their order proposes whom it has heard of, and a
// majority of the seeds decides, in two phases and on one value, as for a view: whoever dies midway, and
// however many propose at once, no two cores are named. A seed that may have forgotten what it promised
// proposes nothing, and its pledge counts only beside those of all other seeds: whatever is decided, one of
// them knows.
type Founder struct {
	o        FounderOptions
	now      time.Duration
	state    FounderState
	since    time.Duration
	begun    time.Duration
	machines map[string]message.Machine
	grown    time.Duration            // when the last machine was heard of
	said     map[string]time.Duration // when each last said that it is there
	heard    map[string]time.Duration // seeds
	next     Founding                 // what is kept, once all saves under way are done
	ballot   uint64
	answers  map[string]bool // by seed: its pledge is sure
	newest   uint64          // ballot of the draft that was told
	draft    []message.Machine
}

// FounderOptions are what NewFounder needs.
type FounderOptions struct {
	Self    string
	Seeds   []string // in order
	Survive Tolerance
	Kept    Founding // as found on the disk
	Actions Actions
	// Keep writes what there is to keep and syncs it, and calls then once that is done. A seed without a disk
	// calls it at once: what its process forgets, it may not vote on again.
	Keep func(k Founding, then func())
	// Known tells whether a core is known here: all is decided then.
	Known func() bool
}

// NewFounder returns a seed's founder.
func NewFounder(now time.Duration, o FounderOptions) *Founder {
	return &Founder{o: o, now: now, since: now, begun: now, grown: now, machines: map[string]message.Machine{},
		said: map[string]time.Duration{}, heard: map[string]time.Duration{}, next: o.Kept}
}

// become is the one place where the state changes.
func (f *Founder) become(s FounderState) {
	f.o.Actions.Log(events.Founding, "from", f.state.String(), "to", s.String(), "machines", len(f.draft))
	f.state, f.since = s, f.now
	f.answers = map[string]bool{}
}

// Registry returns the machines of the core once they are decided here; nil before.
func (f *Founder) Registry() []message.Machine {
	if f.state != Decided {
		return nil
	}
	return f.draft
}

// Hello takes the word of a machine that knows of no core.
func (f *Founder) Hello(now time.Duration, from string, m *message.Message) {
	f.now = now
	if m.First && slices.Contains(f.o.Seeds, from) { // one that forgot its votes founds nothing
		f.heard[from] = now
	}
	if known := f.machines[from]; m.Disk && known.ID != m.ID {
		f.machines[from], f.grown = message.Machine{Addr: from, Zone: m.Zone, ID: m.ID}, now
	}
	if m.Disk {
		f.said[from] = now
	}
	f.Tick(now)
}

// Tick does what is due.
func (f *Founder) Tick(now time.Duration) {
	f.now = now
	switch {
	case f.state == Decided || f.o.Known() || !f.next.Sure:
	case f.state != Gathering:
		if now >= f.since+roundWait {
			f.become(Gathering)
		}
	case f.mine():
		if core := f.enough(); core != nil {
			f.propose(core)
		}
	}
}

// mine reports whether this is the first live seed. One that has not been heard of yet is given time.
func (f *Founder) mine() bool {
	rank := slices.Index(f.o.Seeds, f.o.Self)
	for i, s := range f.o.Seeds[:rank] {
		at, heard := f.heard[s]
		if heard && f.now < at+deadAfter || !heard && f.now < f.begun+time.Duration(rank-i)*seedWait {
			return false
		}
	}
	return true
}

// enough is a core that bears what may be lost at once, if enough machines are there for one and no more
// come. All of the core have a vote at once: they are named by the ids of their disks, on which all is that
// they will have acknowledged. After a while it is those that are there then, if no loss of machines covers
// them: one more would be one too many that is not, or is another disk by now.
func (f *Founder) enough() []message.Machine {
	all := func() []message.Machine { return slices.SortedFunc(maps.Values(f.machines), byAddr) }
	core, borne := f.o.Survive.found(all())
	switch {
	case borne && len(core) > f.o.Survive.Machines && f.now >= f.grown+foundQuiet:
		return core
	case f.now < f.begun+foundFew:
		return nil
	}
	maps.DeleteFunc(f.machines, func(addr string, _ message.Machine) bool {
		return f.now > f.said[addr]+deadAfter
	})
	if len(f.machines) <= f.o.Survive.Machines {
		return nil
	}
	core, _ = f.o.Survive.found(all())
	return core
}

// propose asks for pledges, under a ballot that no other seed uses.
func (f *Founder) propose(core []message.Machine) {
	rank := uint64(slices.Index(f.o.Seeds, f.o.Self))
	f.ballot = (max(f.ballot, f.next.Pledged)/epochStep+1)*epochStep + rank
	f.newest, f.draft = 0, seated(core)
	f.become(Pledging)
	f.toSeeds(&message.Message{Kind: message.Pledge, Epoch: f.ballot, Chain: f.o.Seeds})
}

func (f *Founder) toSeeds(m *message.Message) {
	for _, s := range f.o.Seeds {
		f.o.Actions.Send(s, m)
	}
}

// Handle takes a message of founding.
func (f *Founder) Handle(now time.Duration, from string, m *message.Message) {
	f.now = now
	seeds := f.o.Seeds
	if m.Kind == message.Pledge && !f.next.Sure { // its settings may name others by now
		seeds = m.Chain
	}
	if !slices.Contains(seeds, from) || !slices.Contains(seeds, f.o.Self) {
		return
	}
	switch m.Kind {
	case message.Pledge:
		f.pledge(from, m)
	case message.Pledged:
		f.pledged(from, m)
	case message.Draft:
		f.take(from, m)
	case message.Drafted:
		f.drafted(from, m)
	}
}

// pledge promises to take no draft under a lower ballot, and tells the one that was taken last.
func (f *Founder) pledge(from string, m *message.Message) {
	if m.Epoch <= f.next.Pledged || f.o.Known() {
		return // who asks tries again, under a higher one
	}
	f.next.Pledged, f.next.Seeds = m.Epoch, m.Chain
	f.keep(func(k Founding) {
		f.o.Actions.Send(from, &message.Message{Kind: message.Pledged, Life: m.Life, Epoch: m.Epoch,
			Version: k.Ballot, Registry: k.Draft, OK: k.Sure})
	})
}

// keep saves, and goes on unless something newer has come since.
func (f *Founder) keep(then func(k Founding)) {
	k := f.next
	f.o.Keep(k, func() {
		if f.next.Pledged == k.Pledged {
			then(k)
		}
	})
}

// pledged counts a pledge. The newest draft that any of them has may be decided already: it is the one.
func (f *Founder) pledged(from string, m *message.Message) {
	if f.state != Pledging || m.Epoch != f.ballot {
		return
	}
	if m.Version > f.newest && len(m.Registry) > 0 {
		f.newest, f.draft = m.Version, m.Registry
	}
	f.answers[from] = m.OK
	sure := func(seed string) bool { return f.answers[seed] }
	if quorate(sure, f.o.Seeds) || len(f.answers) == len(f.o.Seeds) {
		f.become(Drafting)
		f.toSeeds(&message.Message{Kind: message.Draft, Epoch: f.ballot, Registry: f.draft})
	}
}

// take takes a draft.
func (f *Founder) take(from string, m *message.Message) {
	if m.Epoch < f.next.Pledged || len(m.Registry) == 0 || f.o.Known() {
		return
	}
	if !f.next.Sure && m.Epoch != f.next.Pledged { // it may have pledged a later one
		return
	}
	f.next.Pledged, f.next.Ballot, f.next.Draft = m.Epoch, m.Epoch, m.Registry
	f.keep(func(Founding) {
		f.o.Actions.Send(from, &message.Message{Kind: message.Drafted, Life: m.Life, Epoch: m.Epoch})
	})
}

func (f *Founder) drafted(from string, m *message.Message) {
	if f.state != Drafting || m.Epoch != f.ballot {
		return
	}
	f.answers[from] = true
	if quorate(func(seed string) bool { return f.answers[seed] }, f.o.Seeds) {
		f.become(Decided)
	}
}
