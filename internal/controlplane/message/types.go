package message

import "fmt"

// Type is the type of a message, as encoded on the wire.
type Type uint64

// The types of messages. Numbers are never reused; 4 was a message of the first start.
const (
	TypeHandshake         Type = 1
	TypeAnnounce          Type = 2
	TypeMemberList        Type = 3
	TypeHeartbeat         Type = 5
	TypePrepare           Type = 6
	TypePromise           Type = 7
	TypeReject            Type = 8
	TypeInstallView       Type = 9
	TypeViewInstalled     Type = 10
	TypeActivateView      Type = 11
	TypePut               Type = 12
	TypeCommitted         Type = 13
	TypeReplicate         Type = 14
	TypeRead              Type = 15
	TypeReadResult        Type = 16
	TypeConfirmEpoch      Type = 17
	TypeEpochConfirmed    Type = 18
	TypeWatch             Type = 19
	TypeWatchResponse     Type = 20
	TypeEndpointUpdate    Type = 21
	TypeTokenRequest      Type = 22
	TypeTokenGrant        Type = 23
	TypeBootstrapPrepare  Type = 24
	TypeBootstrapPromise  Type = 25
	TypeBootstrapAccept   Type = 26
	TypeBootstrapAccepted Type = 27
	TypeConflict          Type = 28

	TypeLearnerSnapshot     Type = 40
	TypeLearnerReady        Type = 41
	TypeMemberUpdate        Type = 42
	TypeChangeMembers       Type = 43
	TypeChangeMembersResult Type = 44
)

// newBody maps each known type to a constructor of an empty body.
var newBody = map[Type]func() Body{
	TypeHandshake:           func() Body { return new(Handshake) },
	TypeAnnounce:            func() Body { return new(Announce) },
	TypeMemberList:          func() Body { return new(MemberList) },
	TypeHeartbeat:           func() Body { return new(Heartbeat) },
	TypePrepare:             func() Body { return new(Prepare) },
	TypePromise:             func() Body { return new(Promise) },
	TypeReject:              func() Body { return new(Reject) },
	TypeInstallView:         func() Body { return new(InstallView) },
	TypeViewInstalled:       func() Body { return new(ViewInstalled) },
	TypeActivateView:        func() Body { return new(ActivateView) },
	TypePut:                 func() Body { return new(Put) },
	TypeCommitted:           func() Body { return new(Committed) },
	TypeReplicate:           func() Body { return new(Replicate) },
	TypeRead:                func() Body { return new(Read) },
	TypeReadResult:          func() Body { return new(ReadResult) },
	TypeConfirmEpoch:        func() Body { return new(ConfirmEpoch) },
	TypeEpochConfirmed:      func() Body { return new(EpochConfirmed) },
	TypeWatch:               func() Body { return new(Watch) },
	TypeWatchResponse:       func() Body { return new(WatchResponse) },
	TypeEndpointUpdate:      func() Body { return new(EndpointUpdate) },
	TypeTokenRequest:        func() Body { return new(TokenRequest) },
	TypeTokenGrant:          func() Body { return new(TokenGrant) },
	TypeBootstrapPrepare:    func() Body { return new(BootstrapPrepare) },
	TypeBootstrapPromise:    func() Body { return new(BootstrapPromise) },
	TypeBootstrapAccept:     func() Body { return new(BootstrapAccept) },
	TypeBootstrapAccepted:   func() Body { return new(BootstrapAccepted) },
	TypeConflict:            func() Body { return new(Conflict) },
	TypeLearnerSnapshot:     func() Body { return new(LearnerSnapshot) },
	TypeLearnerReady:        func() Body { return new(LearnerReady) },
	TypeMemberUpdate:        func() Body { return new(MemberUpdate) },
	TypeChangeMembers:       func() Body { return new(ChangeMembers) },
	TypeChangeMembersResult: func() Body { return new(ChangeMembersResult) },
}

// ResponseTypes maps each type of request to the types of its responses. A response repeats the request id
// or the epoch of its request, and the incarnation of the requesting process.
var ResponseTypes = map[Type][]Type{
	TypeAnnounce:         {TypeMemberList},
	TypePrepare:          {TypePromise, TypeReject},
	TypeInstallView:      {TypeViewInstalled},
	TypePut:              {TypeCommitted, TypeConflict, TypeReject},
	TypeRead:             {TypeReadResult, TypeReject},
	TypeConfirmEpoch:     {TypeEpochConfirmed},
	TypeWatch:            {TypeWatchResponse},
	TypeTokenRequest:     {TypeTokenGrant},
	TypeBootstrapPrepare: {TypeBootstrapPromise},
	TypeBootstrapAccept:  {TypeBootstrapAccepted},
	TypeChangeMembers:    {TypeChangeMembersResult, TypeReject},
}

// isResponse is the set of types that are a response to a request.
var isResponse = func() map[Type]bool {
	all := map[Type]bool{}
	for _, types := range ResponseTypes {
		for _, t := range types {
			all[t] = true
		}
	}
	return all
}()

// String returns the name of a type, for use in logs and tests.
func (t Type) String() string {
	if body := newBody[t]; body != nil {
		return fmt.Sprintf("%T", body())[len("*message."):]
	}
	return fmt.Sprintf("Type(%d)", uint64(t))
}

// Unknown is the body of a message of a type that this version of the program does not know. Receivers
// ignore such a message.
type Unknown struct{ Number Type }

// Type returns the unknown type.
func (u *Unknown) Type() Type { return u.Number }
