package message

// Announce is sent by a process that starts, and by a replica that is not a member. It requests what the
// receiver knows about the core and announces the sender as a candidate for membership.
type Announce struct {
	HasDisk    bool   `pb:"11"` // the sender has a disk and can become a member
	Zone       string `pb:"18"`
	FirstStart bool   `pb:"20"` // the system as a whole starts for the first time
	StoreID    uint64 `pb:"32"`
	// RemovedByOperator means that the sender was a member and was removed by an operator. Only an operator may
	// add it again.
	RemovedByOperator bool `pb:"54"`
}

// Type is TypeAnnounce.
func (*Announce) Type() Type { return TypeAnnounce }

// MemberList is the response to Announce: the members of the core that the sender knows.
type MemberList struct {
	Members         []Node `pb:"6"`
	MembershipEpoch uint64 `pb:"30"` // of the view that installed the members; 0: the first start installed them
	// OutgoingMembers are the previous members, until the change is known to be complete. Until then, decisions
	// need the agreement of both memberships.
	OutgoingMembers []Node `pb:"31"`
	RemovedMembers  []Node `pb:"53"` // the members that operators removed most recently
}

// Type is TypeMemberList.
func (*MemberList) Type() Type { return TypeMemberList }

// MemberUpdate is a MemberList that is sent without a request.
type MemberUpdate MemberList

// Type is TypeMemberUpdate.
func (*MemberUpdate) Type() Type { return TypeMemberUpdate }

// LearnerSnapshot sends the newest value to a learner, a replica that is about to become a member.
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

// LearnerReady acknowledges that a LearnerSnapshot is stored on the sender's disk.
type LearnerReady struct {
	Version uint64 `pb:"7"`
	StoreID uint64 `pb:"32"`
}

// Type is TypeLearnerReady.
func (*LearnerReady) Type() Type { return TypeLearnerReady }

// ChangeMembers is an operator's request to change the members or, if both addresses are empty, to report
// them.
type ChangeMembers struct {
	AddMember    string `pb:"35"` // address; empty: none
	RemoveMember string `pb:"36"` // address; empty: none
}

// Type is TypeChangeMembers.
func (*ChangeMembers) Type() Type { return TypeChangeMembers }

// ChangeMembersResult is the response to ChangeMembers.
type ChangeMembersResult struct {
	Chain             []string `pb:"5"`
	Members           []Node   `pb:"6"`
	OK                bool     `pb:"9"`  // the members are as requested
	Learners          []Node   `pb:"13"` // replicas that are not members and could become members
	MembershipEpoch   uint64   `pb:"30"`
	Reason            string   `pb:"37"` // why the request was not carried out
	ToleratedFailures uint64   `pb:"38"` // number of members that may fail now
	ToleranceGap      string   `pb:"48"` // why not all required failures can be tolerated now; empty: they can
}

// Type is TypeChangeMembersResult.
func (*ChangeMembersResult) Type() Type { return TypeChangeMembersResult }
