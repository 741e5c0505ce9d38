package replica

import (
	"maps"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Times of the first start.
const (
	bootstrapQuietPeriod = 400 * time.Millisecond  // without another candidate, before the core is proposed
	seedStartTimeout     = 1500 * time.Millisecond // for a seed that may be starting yet
	// bootstrapFallbackAfter is when fewer candidates than survive asks for will do: quiet_s + confirm_s is 7 s.
	bootstrapFallbackAfter = 5 * time.Second
)

// BootstrapState is what a seed keeps of the first start, until a core is named.
type BootstrapState struct {
	// Trusted says that this disk holds all that the seed promised: it was made in the first life of the system.
	// A seed on another disk may have promised what it doesn't know.
	Trusted         bool
	Seeds           []string // of the first start
	PromisedBallot  uint64   // it accepts no proposal below this ballot
	AcceptedBallot  uint64   // of the proposal that it accepted last; 0: none
	AcceptedMembers []message.Node
}

// BootstrapPhase is what a Bootstrapper is in.
type BootstrapPhase int

// The phases of a Bootstrapper.
const (
	BootstrapGathering BootstrapPhase = iota // candidates announce themselves
	BootstrapPreparing                       // it has asked the seeds for promises
	BootstrapAccepting                       // it has handed out a proposal
	BootstrapDecided                         // a majority of the seeds has accepted it: it is the core
)

func (p BootstrapPhase) String() string {
	return [...]string{"gathering", "preparing", "accepting", "decided"}[p]
}

// BootstrapOptions are what NewBootstrapper needs.
type BootstrapOptions struct {
	Self      string
	Seeds     []string // in order
	Tolerance FaultTolerance
	Saved     BootstrapState // as found on the disk
	Actions   Actions
	// Save writes what there is to keep and syncs it, and calls onSaved once that is done. A seed without a disk
	// calls it at once: what its process forgets, it may not vote on again.
	Save func(state BootstrapState, onSaved func())
	// ClusterKnown tells whether a core is known here: all is decided then.
	ClusterKnown func() bool
}

// Bootstrapper names the members of the core at the first start of the whole system. One runs at each seed;
// the seeds are the same everywhere then. The first live one in their order proposes whom it has heard of,
// and a majority of the seeds decides, by single-decree Paxos, as for a view: whoever dies midway, and
// however many propose at once, no two cores are named. A seed that may have forgotten what it promised
// proposes nothing, and its promise counts only beside those of all other seeds: whatever is decided, one of
// them knows.
type Bootstrapper struct {
	options    BootstrapOptions
	now        time.Duration
	startedAt  time.Duration
	phase      BootstrapPhase
	phaseSince time.Duration

	candidates      map[string]message.Node
	lastCandidateAt time.Duration
	announcedAt     map[string]time.Duration // when each candidate was last heard
	seedHeardAt     map[string]time.Duration

	pending BootstrapState // what is kept, once all saves under way are done

	ballot         uint64
	responses      map[string]bool // by seed: its promise is trusted, or it has accepted
	newestAccepted uint64          // ballot of the proposal that was told
	proposal       []message.Node
}

// NewBootstrapper returns a seed's bootstrapper.
func NewBootstrapper(now time.Duration, options BootstrapOptions) *Bootstrapper {
	return &Bootstrapper{options: options, now: now, startedAt: now, phaseSince: now, lastCandidateAt: now,
		candidates: map[string]message.Node{}, announcedAt: map[string]time.Duration{},
		seedHeardAt: map[string]time.Duration{}, pending: options.Saved}
}

// transition is the one place where the phase changes.
func (b *Bootstrapper) transition(to BootstrapPhase) {
	b.options.Actions.Log(events.BootstrapState, "from", b.phase.String(), "to", to.String(),
		"machines", len(b.proposal))
	b.phase, b.phaseSince = to, b.now
	b.responses = map[string]bool{}
}

// Members returns the members of the core once they are decided here; nil before.
func (b *Bootstrapper) Members() []message.Node {
	if b.phase != BootstrapDecided {
		return nil
	}
	return b.proposal
}

// HandleAnnounce notes a process that knows of no core.
func (b *Bootstrapper) HandleAnnounce(now time.Duration, from string, announce *message.Announce) {
	b.now = now
	// one that forgot its votes proposes nothing
	if announce.FirstStart && slices.Contains(b.options.Seeds, from) {
		b.seedHeardAt[from] = now
	}
	if announce.HasDisk {
		b.announcedAt[from] = now
		if known := b.candidates[from]; known.StoreID != announce.StoreID {
			b.candidates[from] = message.Node{Addr: from, Zone: announce.Zone, StoreID: announce.StoreID}
			b.lastCandidateAt = now
		}
	}
	b.Tick(now)
}

// Tick does what is due.
func (b *Bootstrapper) Tick(now time.Duration) {
	b.now = now
	switch {
	case b.phase == BootstrapDecided || b.options.ClusterKnown() || !b.pending.Trusted:
	case b.phase != BootstrapGathering:
		if now >= b.phaseSince+phaseTimeout {
			b.transition(BootstrapGathering)
		}
	case b.isFirstLiveSeed():
		if members := b.proposableMembers(); members != nil {
			b.propose(members)
		}
	}
}

// isFirstLiveSeed reports whether no seed before this one lives. One that has not been heard of yet is given
// time.
func (b *Bootstrapper) isFirstLiveSeed() bool {
	rank := slices.Index(b.options.Seeds, b.options.Self)
	for i, seed := range b.options.Seeds[:rank] {
		at, heard := b.seedHeardAt[seed]
		mayStart := !heard && b.now < b.startedAt+time.Duration(rank-i)*seedStartTimeout
		if mayStart || heard && b.now < at+failureTimeout {
			return false
		}
	}
	return true
}

// proposableMembers is a core that tolerates what may be lost at once, if enough candidates are there for one
// and no more come. All of the core have a vote at once: they are named by the ids of their stores, on which
// all is that they will have acknowledged. After a while it is those that are there then, if no loss of
// machines covers them: one more would be one too many that is not, or is another store by now.
func (b *Bootstrapper) proposableMembers() []message.Node {
	tolerance := b.options.Tolerance
	members, tolerated := tolerance.bootstrapMembers(b.sortedCandidates())
	switch {
	case tolerated && len(members) > tolerance.Machines && b.now >= b.lastCandidateAt+bootstrapQuietPeriod:
		return members
	case b.now < b.startedAt+bootstrapFallbackAfter:
		return nil
	}
	maps.DeleteFunc(b.candidates, func(addr string, _ message.Node) bool {
		return b.now > b.announcedAt[addr]+failureTimeout
	})
	if len(b.candidates) <= tolerance.Machines {
		return nil
	}
	members, _ = tolerance.bootstrapMembers(b.sortedCandidates())
	return members
}

func (b *Bootstrapper) sortedCandidates() []message.Node {
	return slices.SortedFunc(maps.Values(b.candidates), compareAddress)
}

// propose asks for promises, under a ballot that no other seed uses.
func (b *Bootstrapper) propose(members []message.Node) {
	rank := uint64(slices.Index(b.options.Seeds, b.options.Self))
	b.ballot = nextEpoch(max(b.ballot, b.pending.PromisedBallot), rank)
	b.newestAccepted, b.proposal = 0, withProposerIDs(members)
	b.transition(BootstrapPreparing)
	b.broadcast(&message.BootstrapPrepare{Ballot: b.ballot, Seeds: b.options.Seeds})
}

func (b *Bootstrapper) broadcast(body message.Body) {
	for _, seed := range b.options.Seeds {
		b.options.Actions.Send(seed, &message.Message{Body: body})
	}
}

// Step takes a message of the first start.
func (b *Bootstrapper) Step(now time.Duration, from string, m *message.Message) {
	b.now = now
	seeds := b.options.Seeds
	prepare, isPrepare := m.Body.(*message.BootstrapPrepare)
	if isPrepare && !b.pending.Trusted { // this seed's settings may name others by now
		seeds = prepare.Seeds
	}
	if !slices.Contains(seeds, from) || !slices.Contains(seeds, b.options.Self) {
		return
	}
	switch body := m.Body.(type) {
	case *message.BootstrapPrepare:
		b.handlePrepare(from, m, body)
	case *message.BootstrapPromise:
		b.handlePromise(from, body)
	case *message.BootstrapAccept:
		b.handleAccept(from, m, body)
	case *message.BootstrapAccepted:
		b.handleAccepted(from, body)
	}
}

// handlePrepare promises to accept no proposal under a lower ballot, and tells the one that was accepted
// last.
func (b *Bootstrapper) handlePrepare(from string, m *message.Message, prepare *message.BootstrapPrepare) {
	if prepare.Ballot <= b.pending.PromisedBallot || b.options.ClusterKnown() {
		return // who asks tries again, under a higher one
	}
	b.pending.PromisedBallot, b.pending.Seeds = prepare.Ballot, prepare.Seeds
	b.save(func(saved BootstrapState) {
		b.options.Actions.Send(from, m.Reply(&message.BootstrapPromise{Ballot: prepare.Ballot,
			AcceptedBallot: saved.AcceptedBallot, AcceptedMembers: saved.AcceptedMembers, Trusted: saved.Trusted}))
	})
}

// save saves, and goes on unless something newer has come since.
func (b *Bootstrapper) save(onSaved func(saved BootstrapState)) {
	saved := b.pending
	b.options.Save(saved, func() {
		if b.pending.PromisedBallot == saved.PromisedBallot {
			onSaved(saved)
		}
	})
}

// handlePromise counts a promise. The newest proposal that any of them has accepted may be decided already:
// it is the one.
func (b *Bootstrapper) handlePromise(from string, promise *message.BootstrapPromise) {
	if b.phase != BootstrapPreparing || promise.Ballot != b.ballot {
		return
	}
	if promise.AcceptedBallot > b.newestAccepted && len(promise.AcceptedMembers) > 0 {
		b.newestAccepted, b.proposal = promise.AcceptedBallot, promise.AcceptedMembers
	}
	b.responses[from] = promise.Trusted
	if hasQuorum(b.hasResponse, b.options.Seeds) || len(b.responses) == len(b.options.Seeds) {
		b.transition(BootstrapAccepting)
		b.broadcast(&message.BootstrapAccept{Ballot: b.ballot, Members: b.proposal})
	}
}

// hasResponse reports whether a seed's response counts.
func (b *Bootstrapper) hasResponse(seed string) bool { return b.responses[seed] }

// handleAccept accepts a proposal.
func (b *Bootstrapper) handleAccept(from string, m *message.Message, accept *message.BootstrapAccept) {
	if accept.Ballot < b.pending.PromisedBallot || len(accept.Members) == 0 || b.options.ClusterKnown() {
		return
	}
	if !b.pending.Trusted && accept.Ballot != b.pending.PromisedBallot { // it may have promised a later one
		return
	}
	b.pending.PromisedBallot, b.pending.AcceptedBallot = accept.Ballot, accept.Ballot
	b.pending.AcceptedMembers = accept.Members
	b.save(func(BootstrapState) {
		b.options.Actions.Send(from, m.Reply(&message.BootstrapAccepted{Ballot: accept.Ballot}))
	})
}

func (b *Bootstrapper) handleAccepted(from string, accepted *message.BootstrapAccepted) {
	if b.phase != BootstrapAccepting || accepted.Ballot != b.ballot {
		return
	}
	b.responses[from] = true
	if hasQuorum(b.hasResponse, b.options.Seeds) {
		b.transition(BootstrapDecided)
	}
}
