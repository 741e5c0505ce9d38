package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// PersistentState is what a replica keeps on its disk.
type PersistentState struct {
	CaughtUp bool   // it has all that was acknowledged, and may vote
	StoreID  uint64 // of this store, made with it: with the address, it is who this replica is
	Members  []message.Node
	// MembershipEpoch is that of the view that installed the members; 0: the first start did.
	MembershipEpoch uint64
	OutgoingMembers []message.Node // the members before, until the change is known to be complete
	// RemovedMembers are those that operators have removed last, with the ids that they had. They go with
	// Members.
	RemovedMembers    []message.Node
	RemovedByOperator bool     // of a replica that was: it is no learner until an operator adds it
	PromisedEpoch     uint64   // nothing below this epoch is accepted
	Epoch             uint64   // of the view that was installed last
	Chain             []string // and its replicas
	// EarlierHolders are the holders of the allocator's role in views before that, to which leases may have
	// been given that had not run out when the view was installed. HoldersKnown says that there are no
	// others: an earlier program did not note them.
	EarlierHolders []string
	HoldersKnown   bool
	Value
	Bootstrap BootstrapState // of a seed, at the first start
}

// electorates returns the memberships of which a majority each has to agree: the outgoing one, too, while a
// change is not known to be complete.
func (s *PersistentState) electorates() [][]message.Node {
	if len(s.OutgoingMembers) > 0 {
		return [][]message.Node{s.Members, s.OutgoingMembers}
	}
	return [][]message.Node{s.Members}
}

// allMembers returns the members, and the outgoing ones while a change is not known to be complete.
func (s *PersistentState) allMembers() []message.Node {
	list := s.Members
	for _, m := range s.OutgoingMembers {
		if !hasAddress(s.Members, m.Addr) {
			list = append(slices.Clip(list), m)
		}
	}
	return list
}

// memberList returns what is told of the members.
func (s *PersistentState) memberList() *message.MemberList {
	return &message.MemberList{Members: s.Members, MembershipEpoch: s.MembershipEpoch,
		OutgoingMembers: s.OutgoingMembers, RemovedMembers: s.RemovedMembers}
}

// setMembers takes members as they are told.
func (s *PersistentState) setMembers(list *message.MemberList) {
	s.Members, s.OutgoingMembers = list.Members, list.OutgoingMembers
	s.MembershipEpoch, s.RemovedMembers = list.MembershipEpoch, list.RemovedMembers
}

// Times of the disk.
const (
	slowSaveThreshold = 900 * time.Millisecond  // a save that takes so long to write makes the disk unhealthy
	diskRecoveryTime  = 1000 * time.Millisecond // and it is healthy again so long after the last such one
)

// stateStore is the state as it is on disk, and as it will be once all saves under way are done.
type stateStore struct {
	actions      Actions
	saved        PersistentState
	pending      PersistentState
	saves        []pendingSave
	writingSince time.Duration // when the first of the saves under way began to be written
	writeTime    time.Duration // how long the last save that has ended took to write
	lastToken    uint64
	failing      bool
	lastSlow     time.Duration // when a save last took too long, or failed
	versionSince time.Duration // when the version on disk came there
}

// pendingSave is a save under way.
type pendingSave struct {
	token   uint64
	state   PersistentState
	onSaved func()
}

func newStateStore(actions Actions, found PersistentState) stateStore {
	s := stateStore{actions: actions, saved: found, pending: found, lastSlow: -diskRecoveryTime}
	s.saved.Value = found.withOwnDigest()
	s.pending.Value = s.saved.Value
	for _, state := range []*PersistentState{&s.saved, &s.pending} {
		state.Members = withProposerIDs(state.Members)
		state.OutgoingMembers = withProposerIDs(state.OutgoingMembers)
	}
	return s
}

// save writes what is pending, and goes on once that is on disk.
func (s *stateStore) save(now time.Duration, onSaved func()) {
	s.lastToken++
	if len(s.saves) == 0 {
		s.writingSince = now
	}
	s.saves = append(s.saves, pendingSave{s.lastToken, s.pending, onSaved})
	s.actions.Save(s.lastToken, s.pending)
}

// handleSaved ends the save that is under way for longest. Of one that failed, what it would have led to does
// not happen; the state to come keeps it, for the next try.
func (s *stateStore) handleSaved(now time.Duration, token uint64, ok bool) {
	if len(s.saves) == 0 || s.saves[0].token != token {
		return
	}
	done := s.saves[0]
	s.saves = s.saves[1:]
	s.writeTime = now - s.writingSince
	s.writingSince = now // the next one waited for this one, and not for the disk
	if s.writeTime > slowSaveThreshold {
		s.lastSlow = now
	}
	if !ok {
		if !s.failing {
			s.actions.Log(events.DiskFailing)
		}
		s.failing, s.lastSlow = true, now
		return
	}
	if s.failing {
		s.actions.Log(events.DiskRecovered)
	}
	if done.state.Version != s.saved.Version {
		s.versionSince = now
	}
	s.failing, s.saved = false, done.state
	if done.onSaved != nil {
		done.onSaved()
	}
}

// tick tries a failing disk again.
func (s *stateStore) tick(now time.Duration) {
	if s.failing && len(s.saves) == 0 && now >= s.lastSlow+diskRecoveryTime/2 {
		s.lastSlow = now
		s.save(now, nil)
	}
}

// unhealthy reports whether the disk can't be counted on.
func (s *stateStore) unhealthy(now time.Duration) bool {
	return s.failing || now < s.lastSlow+diskRecoveryTime ||
		len(s.saves) > 0 && now > s.writingSince+slowSaveThreshold
}
