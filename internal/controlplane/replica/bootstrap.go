package replica

import (
	"maps"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Timing of the first start.
const (
	bootstrapQuietPeriod = 400 * time.Millisecond  // without a new candidate, before the core is proposed
	seedStartTimeout     = 1500 * time.Millisecond // for each preceding seed that may still be starting
	// bootstrapFallbackAfter is when fewer candidates than the tolerance requires are accepted: quiet_s +
	// confirm_s is 7 s.
	bootstrapFallbackAfter = 5 * time.Second
)

// BootstrapState is what a seed stores about the first start, until the core is decided.
type BootstrapState struct {
	// Trusted reports that this disk has everything that the seed promised, because its store was created during
	// the first start of the system. A seed on another disk may have made promises that it doesn't know of.
	Trusted         bool
	Seeds           []string // at the first start
	PromisedBallot  uint64   // proposals below this ballot are not accepted
	AcceptedBallot  uint64   // of the proposal accepted last; 0: none
	AcceptedMembers []message.Node
}

// BootstrapPhase is the phase of a Bootstrapper.
type BootstrapPhase int

// The phases of a Bootstrapper.
const (
	BootstrapGathering BootstrapPhase = iota // candidates announce themselves
	BootstrapPreparing                       // promises have been requested from the seeds
	BootstrapAccepting                       // a proposal has been sent to the seeds
	BootstrapDecided                         // a majority of the seeds has accepted the proposal: it is the core
)

func (p BootstrapPhase) String() string {
	return [...]string{"gathering", "preparing", "accepting", "decided"}[p]
}

// BootstrapOptions are the options of NewBootstrapper.
type BootstrapOptions struct {
	Self      string
	Seeds     []string // in order of precedence
	Tolerance FaultTolerance
	Saved     BootstrapState // as found on disk
	Actions   Actions
	// Save writes and syncs a state, and then calls onSaved. A seed without a disk calls onSaved at once; after
	// a restart it has forgotten its votes and must not vote again.
	Save func(state BootstrapState, onSaved func())
	// ClusterKnown reports whether a core is already known here. If so, there is nothing left to decide.
	ClusterKnown func() bool
}

// Bootstrapper chooses the members of the core at the first start of the whole system. One runs at each seed;
// the list of seeds is the same everywhere at that time. The first live seed in the list proposes the
// candidates that it has heard, and a majority of the seeds decides by single-decree Paxos, as for a view. At
// most one core is decided, whichever seeds fail and however many propose at the same time. A seed that may
// have forgotten its promises proposes nothing, and its promise counts only when all other seeds have also
// promised: then at least one of them knows of any earlier decision.
type Bootstrapper struct {
	options    BootstrapOptions
	now        time.Duration
	startedAt  time.Duration
	phase      BootstrapPhase
	phaseSince time.Duration

	candidates      map[string]message.Node
	lastCandidateAt time.Duration
	announcedAt     map[string]time.Duration // when each candidate last announced itself
	seedHeardAt     map[string]time.Duration

	pending BootstrapState // the state on disk once all saves in progress are done

	ballot               uint64
	responses            map[string]bool // by seed: whether its promise is trusted, or true if it has accepted
	newestAcceptedBallot uint64          // highest ballot of an accepted proposal among the promises
	proposal             []message.Node
}

// NewBootstrapper returns the Bootstrapper of a seed.
func NewBootstrapper(now time.Duration, options BootstrapOptions) *Bootstrapper {
	return &Bootstrapper{options: options, now: now, startedAt: now, phaseSince: now, lastCandidateAt: now,
		candidates: map[string]message.Node{}, announcedAt: map[string]time.Duration{},
		seedHeardAt: map[string]time.Duration{}, pending: options.Saved}
}

// transition changes the phase. The phase changes nowhere else.
func (b *Bootstrapper) transition(to BootstrapPhase) {
	b.options.Actions.Log(events.BootstrapState, "from", b.phase.String(), "to", to.String(),
		"machines", len(b.proposal))
	b.phase, b.phaseSince = to, b.now
	b.responses = map[string]bool{}
}

// Members returns the members of the core once they are decided here, and nil before.
func (b *Bootstrapper) Members() []message.Node {
	if b.phase != BootstrapDecided {
		return nil
	}
	return b.proposal
}

// HandleAnnounce records an announcement of a process that knows of no core.
func (b *Bootstrapper) HandleAnnounce(now time.Duration, from string, announce *message.Announce) {
	b.now = now
	// a seed that forgot its votes proposes nothing, so the others don't wait for it
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

// Tick runs the actions that are due at the time now.
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

// isFirstLiveSeed reports whether no seed before this one in the list is live. A seed that has not been heard
// yet is given time to start.
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

// proposableMembers returns a core that provides the required fault tolerance, once enough candidates are
// present and no new one has announced itself for bootstrapQuietPeriod; nil if there is none yet. All members
// of the core can vote at once: they are identified by the ids of their stores, which will have everything
// that they acknowledge. After bootstrapFallbackAfter it returns the candidates that are still heard, if
// there are more of them than machines that may fail. A candidate that is no longer heard is left out,
// because it may be down or may have another store by now.
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

// propose requests promises under a ballot that no other seed uses.
func (b *Bootstrapper) propose(members []message.Node) {
	rank := uint64(slices.Index(b.options.Seeds, b.options.Self))
	b.ballot = nextEpoch(max(b.ballot, b.pending.PromisedBallot), rank)
	b.newestAcceptedBallot, b.proposal = 0, withProposerIDs(members)
	b.transition(BootstrapPreparing)
	b.broadcast(&message.BootstrapPrepare{Ballot: b.ballot, Seeds: b.options.Seeds})
}

func (b *Bootstrapper) broadcast(body message.Body) {
	for _, seed := range b.options.Seeds {
		b.options.Actions.Send(seed, &message.Message{Body: body})
	}
}

// Step handles a message of the first start.
func (b *Bootstrapper) Step(now time.Duration, from string, m *message.Message) {
	b.now = now
	seeds := b.options.Seeds
	prepare, isPrepare := m.Body.(*message.BootstrapPrepare)
	if isPrepare && !b.pending.Trusted { // the settings of this seed may name other seeds by now
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

// handlePrepare promises to accept no proposal under a lower ballot, and reports the proposal that was
// accepted last.
func (b *Bootstrapper) handlePrepare(from string, m *message.Message, prepare *message.BootstrapPrepare) {
	if prepare.Ballot <= b.pending.PromisedBallot || b.options.ClusterKnown() {
		return // the proposer tries again under a higher ballot
	}
	b.pending.PromisedBallot, b.pending.Seeds = prepare.Ballot, prepare.Seeds
	b.save(func(saved BootstrapState) {
		b.options.Actions.Send(from, m.Reply(&message.BootstrapPromise{Ballot: prepare.Ballot,
			AcceptedBallot: saved.AcceptedBallot, AcceptedMembers: saved.AcceptedMembers, Trusted: saved.Trusted}))
	})
}

// save saves the pending state and then calls onSaved, unless a higher ballot has been promised since.
func (b *Bootstrapper) save(onSaved func(saved BootstrapState)) {
	saved := b.pending
	b.options.Save(saved, func() {
		if b.pending.PromisedBallot == saved.PromisedBallot {
			onSaved(saved)
		}
	})
}

// handlePromise counts a promise. The accepted proposal with the highest ballot among the promises may
// already be decided, so this seed has to propose it.
func (b *Bootstrapper) handlePromise(from string, promise *message.BootstrapPromise) {
	if b.phase != BootstrapPreparing || promise.Ballot != b.ballot {
		return
	}
	if promise.AcceptedBallot > b.newestAcceptedBallot && len(promise.AcceptedMembers) > 0 {
		b.newestAcceptedBallot, b.proposal = promise.AcceptedBallot, promise.AcceptedMembers
	}
	b.responses[from] = promise.Trusted
	if hasQuorum(b.hasResponse, b.options.Seeds) || len(b.responses) == len(b.options.Seeds) {
		b.transition(BootstrapAccepting)
		b.broadcast(&message.BootstrapAccept{Ballot: b.ballot, Members: b.proposal})
	}
}

// hasResponse reports whether a seed has sent a response that counts towards a quorum.
func (b *Bootstrapper) hasResponse(seed string) bool { return b.responses[seed] }

// handleAccept accepts a proposal, unless a higher ballot was promised.
func (b *Bootstrapper) handleAccept(from string, m *message.Message, accept *message.BootstrapAccept) {
	if accept.Ballot < b.pending.PromisedBallot || len(accept.Members) == 0 || b.options.ClusterKnown() {
		return
	}
	if !b.pending.Trusted && accept.Ballot != b.pending.PromisedBallot { // it may have promised a higher one
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
