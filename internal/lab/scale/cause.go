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
	main := causes[m.Type]
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
	if len(m.Nodes) > 0 {
		take(Members, length(&message.Message{Nodes: m.Nodes}))
	}
	if m.Config != nil {
		take(Configuration, length(&message.Message{Config: m.Config}))
	}
	for _, p := range m.Chunks {
		take(tables[p.Resource], length(&message.Message{Chunks: []message.SnapshotChunk{p}}))
	}
	if m.Type == message.TypeWatchResponse {
		take(
			Views,
			length(&message.Message{Chain: m.Chain, Members: m.Members, OutgoingMembers: m.OutgoingMembers}),
		)
		if m.Endpoints != nil { // long: what is left over
			bare := *m
			bare.Endpoints, bare.Nodes, bare.Config, bare.Chunks = nil, nil, nil, nil
			bare.Chain, bare.Members, bare.OutgoingMembers = nil, nil, nil
			take(Servers, size-length(&bare))
		}
	}
	all[main] += size
	return all
}

func length(m *message.Message) int { return len(message.MarshalAppend(nil, m)) }
