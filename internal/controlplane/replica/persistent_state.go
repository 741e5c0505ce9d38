package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// PersistentState is what a replica stores on its disk.
type PersistentState struct {
	CaughtUp bool   // it has everything that was acknowledged, and may vote
	StoreID  uint64 // created with the store; identifies the replica, together with its address
	Members  []message.Node
	// MembershipEpoch is the epoch of the view that installed the members; 0: the first start did.
	MembershipEpoch uint64
	OutgoingMembers []message.Node // the previous members, until the change is known to be complete
	// RemovedMembers are the members that operators removed last, with the ids that they had. The list is part
	// of the membership.
	RemovedMembers    []message.Node
	RemovedByOperator bool     // this replica was removed, and becomes no member until an operator adds it
	PromisedEpoch     uint64   // nothing below this epoch is accepted
	Epoch             uint64   // of the view that was installed last
	Chain             []string // of that view
	// EarlierHolders are the replicas that held the role of the rate-limit allocator in earlier views and to
	// which leases may have been granted that had not expired when the view was installed. HoldersKnown reports
	// that the list is complete: earlier versions of the program did not store it.
	EarlierHolders []string
	HoldersKnown   bool
	Value
	Bootstrap BootstrapState // of a seed, at the first start
}

// electorates returns the memberships of which a majority each has to agree: the members and, while a change
// is not known to be complete, the outgoing members.
func (s *PersistentState) electorates() [][]message.Node {
	if len(s.OutgoingMembers) > 0 {
		return [][]message.Node{s.Members, s.OutgoingMembers}
	}
	return [][]message.Node{s.Members}
}

// allMembers returns the members and, while a change is not known to be complete, the outgoing members.
func (s *PersistentState) allMembers() []message.Node {
	list := s.Members
	for _, m := range s.OutgoingMembers {
		if !hasAddress(s.Members, m.Addr) {
			list = append(slices.Clip(list), m)
		}
	}
	return list
}

// memberList returns the membership in the form in which it is sent to others.
func (s *PersistentState) memberList() *message.MemberList {
	return &message.MemberList{Members: s.Members, MembershipEpoch: s.MembershipEpoch,
		OutgoingMembers: s.OutgoingMembers, RemovedMembers: s.RemovedMembers}
}

// setMembers sets the membership to a received one.
func (s *PersistentState) setMembers(list *message.MemberList) {
	s.Members, s.OutgoingMembers = list.Members, list.OutgoingMembers
	s.MembershipEpoch, s.RemovedMembers = list.MembershipEpoch, list.RemovedMembers
}

// Timing of the disk.
const (
	slowSaveThreshold = 900 * time.Millisecond  // a longer write makes the disk unhealthy
	diskRecoveryTime  = 1000 * time.Millisecond // after the last slow or failed write, until it is healthy again
)

// stateStore has the state on disk, and the state that will be there once all saves in progress are done.
type stateStore struct {
	actions      Actions
	saved        PersistentState
	pending      PersistentState
	saves        []pendingSave
	writingSince time.Duration // when the write of the first save in progress began
	writeTime    time.Duration // of the last completed save
	lastToken    uint64
	failing      bool
	lastSlow     time.Duration // when a save last was too slow or failed
	versionSince time.Duration // when the version on disk was saved
}

// pendingSave is a save in progress.
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

// save writes the pending state, and calls onSaved once it is on disk; nil means no call.
func (s *stateStore) save(now time.Duration, onSaved func()) {
	s.lastToken++
	if len(s.saves) == 0 {
		s.writingSince = now
	}
	s.saves = append(s.saves, pendingSave{s.lastToken, s.pending, onSaved})
	s.actions.Save(s.lastToken, s.pending)
}

// handleSaved completes the oldest save in progress. If it failed, its onSaved is not called, but the pending
// state keeps the changes for the next attempt.
func (s *stateStore) handleSaved(now time.Duration, token uint64, ok bool) {
	if len(s.saves) == 0 || s.saves[0].token != token {
		return
	}
	done := s.saves[0]
	s.saves = s.saves[1:]
	s.writeTime = now - s.writingSince
	s.writingSince = now // the next save was waiting for this one, not for the disk
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

// tick retries a write to a failing disk.
func (s *stateStore) tick(now time.Duration) {
	if s.failing && len(s.saves) == 0 && now >= s.lastSlow+diskRecoveryTime/2 {
		s.lastSlow = now
		s.save(now, nil)
	}
}

// unhealthy reports whether the disk is failing or slow, or recently was.
func (s *stateStore) unhealthy(now time.Duration) bool {
	return s.failing || now < s.lastSlow+diskRecoveryTime ||
		len(s.saves) > 0 && now > s.writingSince+slowSaveThreshold
}
