package message

// Announce is sent by a process that starts, and by a replica that is no member, to ask what is known of the
// core and to be known as a candidate for it.
type Announce struct {
	HasDisk    bool   `pb:"11"` // the sender has a disk, and would be a member
	Zone       string `pb:"18"`
	FirstStart bool   `pb:"20"` // the whole system starts for the first time
	StoreID    uint64 `pb:"32"`
	// RemovedByOperator says that the sender was a member that an operator removed: only an operator adds it
	// again.
	RemovedByOperator bool `pb:"54"`
}

// Type is TypeAnnounce.
func (*Announce) Type() Type { return TypeAnnounce }

// MemberList answers Announce: the members of the core, as far as known.
type MemberList struct {
	Members         []Node `pb:"6"`
	MembershipEpoch uint64 `pb:"30"` // of the view that installed the members; 0: the first start did
	// OutgoingMembers are the members before, until the change is known to be complete: both must agree until
	// then.
	OutgoingMembers []Node `pb:"31"`
	RemovedMembers  []Node `pb:"53"` // that operators have removed last
}

// Type is TypeMemberList.
func (*MemberList) Type() Type { return TypeMemberList }

// MemberUpdate is a MemberList that nobody asked for.
type MemberUpdate MemberList

// Type is TypeMemberUpdate.
func (*MemberUpdate) Type() Type { return TypeMemberUpdate }

// LearnerSnapshot brings the newest value to a replica that is to become a member.
type LearnerSnapshot struct {
	Version          uint64            `pb:"7"`
	Config           *Delta            `pb:"8"`
	AcceptedEpoch    uint64            `pb:"21"` // under which the value was accepted
	AcceptedVersions []AcceptedVersion `pb:"22"` // the version's own entry
	StoreID          uint64            `pb:"32"` // of the receiver
	AcceptedDelta    *Delta            `pb:"70"` // all entries, as EncodeAcceptedVersions writes them
}

// Type is TypeLearnerSnapshot.
func (*LearnerSnapshot) Type() Type { return TypeLearnerSnapshot }

// LearnerReady says that a LearnerSnapshot is on the sender's disk.
type LearnerReady struct {
	Version uint64 `pb:"7"`
	StoreID uint64 `pb:"32"`
}

// Type is TypeLearnerReady.
func (*LearnerReady) Type() Type { return TypeLearnerReady }

// ChangeMembers is an operator's order: change the members, or, where both addresses are empty, tell them.
type ChangeMembers struct {
	AddMember    string `pb:"35"` // address; empty: none
	RemoveMember string `pb:"36"` // address; empty: none
}

// Type is TypeChangeMembers.
func (*ChangeMembers) Type() Type { return TypeChangeMembers }

// ChangeMembersResult answers ChangeMembers.
type ChangeMembersResult struct {
	Chain             []string `pb:"5"`
	Members           []Node   `pb:"6"`
	OK                bool     `pb:"9"`  // the members are as ordered
	Learners          []Node   `pb:"13"` // replicas that are no members and could become some
	MembershipEpoch   uint64   `pb:"30"`
	Reason            string   `pb:"37"` // why the order is not carried out
	ToleratedFailures uint64   `pb:"38"` // members that may be lost now
	ToleranceGap      string   `pb:"48"` // why not all that may be lost at once can be now; empty: it can
}

// Type is TypeChangeMembersResult.
func (*ChangeMembersResult) Type() Type { return TypeChangeMembersResult }
