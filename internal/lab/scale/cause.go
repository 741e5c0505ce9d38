package scale

import "dunespoke/internal/controlplane/message"

// The causes of messages.
const (
	Beats         = "beats"         // between machines of the core
	Members       = "members"       // who holds a lease: in beats, and told to everyone
	Servers       = "servers"       // the list of servers
	Configuration = "configuration" // changes, their way down the chain, and reads
	Polls         = "polls"         // questions for news, which renew leases
	Tolls         = "tolls"         // tokens of tenants
	Views         = "views"         // which machines of the core form the chain
	Starts        = "starts"        // of a process, and of the whole
	Other         = "other"
)

// causes says what a whole message is due to. Fields of some kinds have causes of their own: see parts.
var causes = map[message.Type]string{
	message.TypeHandshake:           Starts,
	message.TypeAnnounce:            Starts,
	message.TypeMemberList:          Starts,
	message.TypeBootstrapPrepare:    Starts,
	message.TypeBootstrapPromise:    Starts,
	message.TypeBootstrapAccept:     Starts,
	message.TypeBootstrapAccepted:   Starts,
	message.TypeHeartbeat:           Beats,
	message.TypeWatch:               Polls,
	message.TypeWatchResponse:       Polls,
	message.TypeEndpointUpdate:      Servers,
	message.TypePrepare:             Views,
	message.TypePromise:             Views,
	message.TypeInstallView:         Views,
	message.TypeViewInstalled:       Views,
	message.TypeActivateView:        Views,
	message.TypeReject:              Views,
	message.TypeLearnerSnapshot:     Views,
	message.TypeLearnerReady:        Views,
	message.TypeMemberUpdate:        Views,
	message.TypeChangeMembers:       Views,
	message.TypeChangeMembersResult: Views,
	message.TypePut:                 Configuration,
	message.TypeCommitted:           Configuration,
	message.TypeReplicate:           Configuration,
	message.TypeRead:                Configuration,
	message.TypeReadResult:          Configuration,
	message.TypeConfirmEpoch:        Configuration,
	message.TypeEpochConfirmed:      Configuration,
	message.TypeConflict:            Configuration,
	message.TypeTokenRequest:        Tolls,
	message.TypeTokenGrant:          Tolls,
}

// tables says what a part of a snapshot is due to.
var tables = map[message.Resource]string{
	message.ResourceConfig:    Configuration,
	message.ResourceEndpoints: Servers,
	message.ResourceNodes:     Members,
}

// parts splits a message's bytes by cause.
func parts(m *message.Message, size int) map[string]int {
	main := causes[m.Type()]
	if main == "" {
		main = Other
	}
	all := map[string]int{}
	take := func(cause string, n int) {
		if cause != main && n > 0 {
			all[cause] += n
			size -= n
		}
	}
	switch body := m.Body.(type) {
	case *message.Heartbeat:
		take(Members, length(&message.Heartbeat{Nodes: body.Nodes}))
	case *message.Watch:
		takeChunks(take, body.Chunks)
	case *message.Promise:
		takeConfig(take, body.Config)
	case *message.InstallView:
		takeConfig(take, body.Config)
	case *message.LearnerSnapshot:
		takeConfig(take, body.Config)
	case *message.ChangeMembersResult:
		take(Members, length(&message.ChangeMembersResult{Learners: body.Learners}))
	case *message.WatchResponse:
		take(Members, length(&message.WatchResponse{Nodes: body.Nodes}))
		takeConfig(take, body.Config)
		takeChunks(take, body.Chunks)
		take(Views, length(&message.WatchResponse{Chain: body.Chain, Members: body.Members,
			OutgoingMembers: body.OutgoingMembers}))
		if body.Endpoints != nil { // long: what is left over
			bare := *body
			bare.Endpoints, bare.Nodes, bare.Config, bare.Chunks = nil, nil, nil, nil
			bare.Chain, bare.Members, bare.OutgoingMembers = nil, nil, nil
			take(Servers, size-length(&message.Message{RequestID: m.RequestID, Incarnation: m.Incarnation,
				Body: &bare}))
		}
	}
	all[main] += size
	return all
}

func takeConfig(take func(cause string, n int), config *message.Delta) {
	if config != nil {
		take(Configuration, length(&message.ReadResult{Config: config}))
	}
}

func takeChunks(take func(cause string, n int), chunks []message.SnapshotChunk) {
	for _, chunk := range chunks {
		take(tables[chunk.Resource], length(&message.Watch{Chunks: []message.SnapshotChunk{chunk}}))
	}
}

// length is how many bytes a message, or a part of its body, takes.
func length(v any) int { return len(message.MarshalAppend(nil, v)) }
