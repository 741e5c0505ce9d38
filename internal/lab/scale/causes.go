package scale

import "dunespoke/internal/controlplane/message"

// The causes of messages.
const (
	CauseHeartbeats = "heartbeats"    // between the members of the core
	CauseMembers    = "members"       // who holds a lease: in heartbeats, and sent to everyone
	CauseServers    = "servers"       // the list of servers
	CauseConfig     = "configuration" // changes, their replication down the chain, and reads
	CauseWatches    = "watches"       // which renew leases
	CauseQuotas     = "quotas"        // tokens of tenants
	CauseViews      = "views"         // which members of the core form the chain
	CauseStarts     = "starts"        // of a process, and of the whole
	CauseOther      = "other"
)

var allCauses = []string{CauseHeartbeats, CauseMembers, CauseServers, CauseConfig, CauseWatches, CauseQuotas,
	CauseViews, CauseStarts, CauseOther}

// forEachCause calls do with each cause that bytes are due to, in a fixed order.
func forEachCause(bytes map[string]float64, do func(cause string, bytes float64)) {
	for _, cause := range allCauses {
		if n := bytes[cause]; n != 0 {
			do(cause, n)
		}
	}
}

// causeOfType says what a whole message is due to. Fields of some types have causes of their own: see
// bytesByCause.
var causeOfType = map[message.Type]string{
	message.TypeHandshake:           CauseStarts,
	message.TypeAnnounce:            CauseStarts,
	message.TypeMemberList:          CauseStarts,
	message.TypeBootstrapPrepare:    CauseStarts,
	message.TypeBootstrapPromise:    CauseStarts,
	message.TypeBootstrapAccept:     CauseStarts,
	message.TypeBootstrapAccepted:   CauseStarts,
	message.TypeHeartbeat:           CauseHeartbeats,
	message.TypeWatch:               CauseWatches,
	message.TypeWatchResponse:       CauseWatches,
	message.TypeEndpointUpdate:      CauseServers,
	message.TypePrepare:             CauseViews,
	message.TypePromise:             CauseViews,
	message.TypeInstallView:         CauseViews,
	message.TypeViewInstalled:       CauseViews,
	message.TypeActivateView:        CauseViews,
	message.TypeReject:              CauseViews,
	message.TypeLearnerSnapshot:     CauseViews,
	message.TypeLearnerReady:        CauseViews,
	message.TypeMemberUpdate:        CauseViews,
	message.TypeChangeMembers:       CauseViews,
	message.TypeChangeMembersResult: CauseViews,
	message.TypePut:                 CauseConfig,
	message.TypeCommitted:           CauseConfig,
	message.TypeReplicate:           CauseConfig,
	message.TypeRead:                CauseConfig,
	message.TypeReadResult:          CauseConfig,
	message.TypeConfirmEpoch:        CauseConfig,
	message.TypeEpochConfirmed:      CauseConfig,
	message.TypeConflict:            CauseConfig,
	message.TypeTokenRequest:        CauseQuotas,
	message.TypeTokenGrant:          CauseQuotas,
}

// causeOfResource says what a chunk of a snapshot is due to.
var causeOfResource = map[message.Resource]string{
	message.ResourceConfig:    CauseConfig,
	message.ResourceEndpoints: CauseServers,
	message.ResourceNodes:     CauseMembers,
}

// bytesByCause splits a message's bytes by cause.
func bytesByCause(m *message.Message, size int) map[string]int {
	main := causeOfType[m.Type()]
	if main == "" {
		main = CauseOther
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
		take(CauseMembers, encodedSize(&message.Heartbeat{Nodes: body.Nodes}))
	case *message.Watch:
		takeChunks(take, body.Chunks)
	case *message.Promise:
		takeConfig(take, body.Config)
	case *message.InstallView:
		takeConfig(take, body.Config)
	case *message.LearnerSnapshot:
		takeConfig(take, body.Config)
	case *message.ChangeMembersResult:
		take(CauseMembers, encodedSize(&message.ChangeMembersResult{Learners: body.Learners}))
	case *message.WatchResponse:
		take(CauseMembers, encodedSize(&message.WatchResponse{Nodes: body.Nodes}))
		takeConfig(take, body.Config)
		takeChunks(take, body.Chunks)
		take(CauseViews, encodedSize(&message.WatchResponse{Chain: body.Chain, Members: body.Members,
			OutgoingMembers: body.OutgoingMembers}))
		if body.Endpoints != nil { // long: what is left over
			bare := *body
			bare.Endpoints, bare.Nodes, bare.Config, bare.Chunks = nil, nil, nil, nil
			bare.Chain, bare.Members, bare.OutgoingMembers = nil, nil, nil
			take(CauseServers, size-encodedSize(&message.Message{RequestID: m.RequestID, Incarnation: m.Incarnation,
				Body: &bare}))
		}
	}
	all[main] += size
	return all
}

func takeConfig(take func(cause string, n int), config *message.Delta) {
	if config != nil {
		take(CauseConfig, encodedSize(&message.ReadResult{Config: config}))
	}
}

func takeChunks(take func(cause string, n int), chunks []message.SnapshotChunk) {
	for _, chunk := range chunks {
		take(causeOfResource[chunk.Resource], encodedSize(&message.Watch{Chunks: []message.SnapshotChunk{chunk}}))
	}
}

// encodedSize is how many bytes a message, or a part of its body, takes.
func encodedSize(v any) int { return len(message.MarshalAppend(nil, v)) }
