package replica

import (
	"maps"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// BootstrapState is what a seed keeps of the first start, until a core is named.
type BootstrapState struct {
	// Trusted says that this disk holds all that the seed promised: it was made in the first life of the
	// system. A seed on another disk may have promised what it doesn't know.
	Trusted         bool
	Seeds           []string       // of the first start
	PromisedBallot  uint64         // it takes no draft below this ballot
	AcceptedBallot  uint64         // of the draft that it took last; 0: none
	AcceptedMembers []message.Node // the machines of the core, as that has them
}

// BootstrapPhase is what a Founder is in.
type BootstrapPhase int

// The states of a Founder.
const (
	BootstrapGathering BootstrapPhase = iota // machines say that they are there
	BootstrapPreparing                       // it has asked the seeds for pledges
	BootstrapAccepting                       // it has handed out a draft
	BootstrapDecided                         // a majority of the seeds has it: it is the core
)

func (s BootstrapPhase) String() string {
	return [...]string{"gathering", "pledging", "drafting", "decided"}[s]
}

// Bootstrapper names the machines of the core at the first start of the whole system. One runs at each seed;
// the seeds are the same everywhere then. The first live one in their order proposes whom it has heard of,
// and a majority of the seeds decides, in two phases and on one value, as for a view: whoever dies midway,
// and however many propose at once, no two cores are named. A seed that may have forgotten what it promised
// proposes nothing, and its pledge counts only beside those of all other seeds: whatever is decided, one of
// them knows.
type Bootstrapper struct {
	options         BootstrapOptions
	now             time.Duration
	phase           BootstrapPhase
	phaseSince      time.Duration
	startedAt       time.Duration
	candidates      map[string]message.Node
	lastCandidateAt time.Duration            // when the last machine was heard of
	announcedAt     map[string]time.Duration // when each last said that it is there
	seedHeardAt     map[string]time.Duration // seeds
	pending         BootstrapState           // what is kept, once all saves under way are done
	ballot          uint64
	responses       map[string]bool // by seed: its pledge is sure
	newestAccepted  uint64          // ballot of the draft that was told
	proposal        []message.Node
}

// BootstrapOptions are what NewFounder needs.
type BootstrapOptions struct {
	Self      string
	Seeds     []string // in order
	Tolerance FaultTolerance
	Saved     BootstrapState // as found on the disk
	Actions   Actions
	// Save writes what there is to keep and syncs it, and calls then once that is done. A seed without a disk
	// calls it at once: what its process forgets, it may not vote on again.
	Save func(k BootstrapState, then func())
	// ClusterKnown tells whether a core is known here: all is decided then.
	ClusterKnown func() bool
}

// NewBootstrapper returns a seed's founder.
func NewBootstrapper(now time.Duration, o BootstrapOptions) *Bootstrapper {
	return &Bootstrapper{
		options:         o,
		now:             now,
		phaseSince:      now,
		startedAt:       now,
		lastCandidateAt: now,
		candidates:      map[string]message.Node{},
		announcedAt:     map[string]time.Duration{},
		seedHeardAt:     map[string]time.Duration{},
		pending:         o.Saved,
	}
}

// transition is the one place where the state changes.
func (f *Bootstrapper) transition(s BootstrapPhase) {
	f.options.Actions.Log(
		events.BootstrapState,
		"from",
		f.phase.String(),
		"to",
		s.String(),
		"machines",
		len(f.proposal),
	)
	f.phase, f.phaseSince = s, f.now
	f.responses = map[string]bool{}
}

// Members returns the machines of the core once they are decided here; nil before.
func (f *Bootstrapper) Members() []message.Node {
	if f.phase != BootstrapDecided {
		return nil
	}
	return f.proposal
}

// HandleAnnounce takes the word of a machine that knows of no core.
func (f *Bootstrapper) HandleAnnounce(now time.Duration, from string, m *message.Message) {
	f.now = now
	if m.FirstStart && slices.Contains(f.options.Seeds, from) { // one that forgot its votes founds nothing
		f.seedHeardAt[from] = now
	}
	if known := f.candidates[from]; m.HasDisk && known.StoreID != m.StoreID {
		f.candidates[from], f.lastCandidateAt = message.Node{Addr: from, Zone: m.Zone, StoreID: m.StoreID}, now
	}
	if m.HasDisk {
		f.announcedAt[from] = now
	}
	f.Tick(now)
}

// Tick does what is due.
func (f *Bootstrapper) Tick(now time.Duration) {
	f.now = now
	switch {
	case f.phase == BootstrapDecided || f.options.ClusterKnown() || !f.pending.Trusted:
	case f.phase != BootstrapGathering:
		if now >= f.phaseSince+phaseTimeout {
			f.transition(BootstrapGathering)
		}
	case f.isFirstLiveSeed():
		if core := f.proposableMembers(); core != nil {
			f.propose(core)
		}
	}
}

// isFirstLiveSeed reports whether this is the first live seed. One that has not been heard of yet is given
// time.
func (f *Bootstrapper) isFirstLiveSeed() bool {
	rank := slices.Index(f.options.Seeds, f.options.Self)
	for i, s := range f.options.Seeds[:rank] {
		at, heard := f.seedHeardAt[s]
		if heard && f.now < at+failureTimeout ||
			!heard && f.now < f.startedAt+time.Duration(rank-i)*seedStartTimeout {
			return false
		}
	}
	return true
}

// proposableMembers is a core that bears what may be lost at once, if enough machines are there for one and
// no more come. All of the core have a vote at once: they are named by the ids of their disks, on which all
// is that they will have acknowledged. After a while it is those that are there then, if no loss of machines
// covers them: one more would be one too many that is not, or is another disk by now.
func (f *Bootstrapper) proposableMembers() []message.Node {
	all := func() []message.Node { return slices.SortedFunc(maps.Values(f.candidates), compareAddress) }
	core, borne := f.options.Tolerance.bootstrapMembers(all())
	switch {
	case borne && len(core) > f.options.Tolerance.Machines && f.now >= f.lastCandidateAt+bootstrapQuietPeriod:
		return core
	case f.now < f.startedAt+bootstrapFallbackAfter:
		return nil
	}
	maps.DeleteFunc(f.candidates, func(addr string, _ message.Node) bool {
		return f.now > f.announcedAt[addr]+failureTimeout
	})
	if len(f.candidates) <= f.options.Tolerance.Machines {
		return nil
	}
	core, _ = f.options.Tolerance.bootstrapMembers(all())
	return core
}

// propose asks for pledges, under a ballot that no other seed uses.
func (f *Bootstrapper) propose(core []message.Node) {
	rank := uint64(slices.Index(f.options.Seeds, f.options.Self))
	f.ballot = (max(f.ballot, f.pending.PromisedBallot)/epochsPerRound+1)*epochsPerRound + rank
	f.newestAccepted, f.proposal = 0, withProposerIDs(core)
	f.transition(BootstrapPreparing)
	f.broadcast(&message.Message{Type: message.TypeBootstrapPrepare, Epoch: f.ballot, Chain: f.options.Seeds})
}

func (f *Bootstrapper) broadcast(m *message.Message) {
	for _, s := range f.options.Seeds {
		f.options.Actions.Send(s, m)
	}
}

// Handle takes a message of founding.
func (f *Bootstrapper) Handle(now time.Duration, from string, m *message.Message) {
	f.now = now
	seeds := f.options.Seeds
	if m.Type == message.TypeBootstrapPrepare && !f.pending.Trusted { // its settings may name others by now
		seeds = m.Chain
	}
	if !slices.Contains(seeds, from) || !slices.Contains(seeds, f.options.Self) {
		return
	}
	switch m.Type {
	case message.TypeBootstrapPrepare:
		f.handlePrepare(from, m)
	case message.TypeBootstrapPromise:
		f.handlePromise(from, m)
	case message.TypeBootstrapAccept:
		f.handleAccept(from, m)
	case message.TypeBootstrapAccepted:
		f.handleAccepted(from, m)
	}
}

// handlePrepare promises to take no draft under a lower ballot, and tells the one that was taken last.
func (f *Bootstrapper) handlePrepare(from string, m *message.Message) {
	if m.Epoch <= f.pending.PromisedBallot || f.options.ClusterKnown() {
		return // who asks tries again, under a higher one
	}
	f.pending.PromisedBallot, f.pending.Seeds = m.Epoch, m.Chain
	f.save(func(k BootstrapState) {
		f.options.Actions.Send(
			from,
			&message.Message{Type: message.TypeBootstrapPromise, Incarnation: m.Incarnation, Epoch: m.Epoch,
				Version: k.AcceptedBallot, Members: k.AcceptedMembers, OK: k.Trusted},
		)
	})
}

// save saves, and goes on unless something newer has come since.
func (f *Bootstrapper) save(then func(k BootstrapState)) {
	k := f.pending
	f.options.Save(k, func() {
		if f.pending.PromisedBallot == k.PromisedBallot {
			then(k)
		}
	})
}

// handlePromise counts a pledge. The newest draft that any of them has may be decided already: it is the one.
func (f *Bootstrapper) handlePromise(from string, m *message.Message) {
	if f.phase != BootstrapPreparing || m.Epoch != f.ballot {
		return
	}
	if m.Version > f.newestAccepted && len(m.Members) > 0 {
		f.newestAccepted, f.proposal = m.Version, m.Members
	}
	f.responses[from] = m.OK
	sure := func(seed string) bool { return f.responses[seed] }
	if hasQuorum(sure, f.options.Seeds) || len(f.responses) == len(f.options.Seeds) {
		f.transition(BootstrapAccepting)
		f.broadcast(&message.Message{Type: message.TypeBootstrapAccept, Epoch: f.ballot, Members: f.proposal})
	}
}

// handleAccept takes a draft.
func (f *Bootstrapper) handleAccept(from string, m *message.Message) {
	if m.Epoch < f.pending.PromisedBallot || len(m.Members) == 0 || f.options.ClusterKnown() {
		return
	}
	if !f.pending.Trusted && m.Epoch != f.pending.PromisedBallot { // it may have pledged a later one
		return
	}
	f.pending.PromisedBallot, f.pending.AcceptedBallot, f.pending.AcceptedMembers = m.Epoch, m.Epoch, m.Members
	f.save(func(BootstrapState) {
		f.options.Actions.Send(
			from,
			&message.Message{Type: message.TypeBootstrapAccepted, Incarnation: m.Incarnation, Epoch: m.Epoch},
		)
	})
}

func (f *Bootstrapper) handleAccepted(from string, m *message.Message) {
	if f.phase != BootstrapAccepting || m.Epoch != f.ballot {
		return
	}
	f.responses[from] = true
	if hasQuorum(func(seed string) bool { return f.responses[seed] }, f.options.Seeds) {
		f.transition(BootstrapDecided)
	}
}
