package client

import (
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// chunkTargetTime is how long a chunk of a snapshot is to take.
const chunkTargetTime = firstResponseTimeout / 2

// resources are what a Client has of each resource that it watches, and what is on its way.
type resources struct {
	config          message.ConfigVersion
	base            message.ConfigVersion // a configuration that is held and not in force
	needFullConfig  bool                  // a delta did not apply
	endpoints       *message.EndpointList
	endpointsDigest message.Digest // of the servers in the list; zero: not computed yet
	nodesChecksum   uint64

	transfers   snapshotTransfers
	chunkBudget uint64 // bytes of snapshots that a response may bring
}

func newResources() resources {
	return resources{transfers: snapshotTransfers{}, chunkBudget: message.InitialChunkBudget}
}

// transferring reports whether a snapshot is on its way.
func (r *resources) transferring() bool { return len(r.transfers) > 0 }

// shrinkBudget asks for less, after a response that did not come in time.
func (r *resources) shrinkBudget() {
	r.chunkBudget = max(r.chunkBudget/4, message.MinChunkBudget)
}

// describe tells in a watch what is here.
func (r *resources) describe(watch *message.Watch) {
	watch.Version = r.config.Version
	watch.NodesChecksum = r.nodesChecksum
	watch.Chunks = r.transfers.progress()
	if r.chunkBudget != message.InitialChunkBudget {
		watch.ChunkBudget = r.chunkBudget
	}
	if r.base.Version > r.config.Version {
		watch.BaseVersion = r.base.Version
	}
	if r.endpoints != nil {
		watch.Endpoints = &message.EndpointList{Epoch: r.endpoints.Epoch, Sequence: r.endpoints.Sequence}
		if r.endpoints.Epoch < watch.Epoch { // another view is there, whose reader reads the list anew
			watch.EndpointsDigest = r.digestOfEndpoints()
		}
	}
	if r.needFullConfig {
		watch.Version, watch.BaseVersion = 0, 0
	}
}

// digestOfEndpoints returns the digest of the servers in the list. It takes 50 ms for 47,000 servers.
func (r *resources) digestOfEndpoints() message.Digest {
	if r.endpointsDigest == (message.Digest{}) {
		r.endpointsDigest = r.endpoints.ContentDigest()
	}
	return r.endpointsDigest
}

// take takes a fresh response, which took the given time since its request.
func (r *resources) take(response *message.WatchResponse, took time.Duration, actions Actions) {
	r.apply(response, actions)
	r.takeChunks(response.Chunks, took, actions)
}

// apply puts in force what a fresh response, or a complete snapshot that it names as the newest, tells.
func (r *resources) apply(response *message.WatchResponse, actions Actions) {
	if response.Version > r.config.Version && response.Config != nil {
		config, err := r.applyDelta(response.Config)
		if r.needFullConfig = err != nil; r.needFullConfig {
			actions.Log(events.DeltaInvalid, "version", response.Version, "error", err.Error())
		} else {
			r.config = message.ConfigVersion{Version: response.Version, Config: config}
			actions.ApplyConfig(response.Version, config)
		}
	}
	if r.base.Version <= r.config.Version {
		r.base = message.ConfigVersion{}
	}
	if list := response.Endpoints; list != nil && list.Newer(r.endpoints) {
		r.endpoints, r.endpointsDigest = list, message.Digest{}
		actions.SetEndpoints(list.Endpoints)
	}
	if same := response.SameEndpoints; same != nil && r.endpoints != nil && same.Newer(r.endpoints) {
		r.endpoints = &message.EndpointList{Epoch: same.Epoch, Sequence: same.Sequence,
			Endpoints: r.endpoints.Endpoints}
	}
	if response.NodesChecksum != 0 && response.NodesChecksum != r.nodesChecksum {
		r.nodesChecksum = response.NodesChecksum
		actions.SetNodes(response.Nodes)
	}
}

// applyDelta returns a configuration, which may be a delta over the one in force or over the one that is
// held.
func (r *resources) applyDelta(delta *message.Delta) ([]byte, error) {
	base := r.config
	if delta.BaseVersion != base.Version && delta.BaseVersion == r.base.Version {
		base = r.base
	}
	return delta.Apply(base.Version, base.Config)
}

// takeChunks takes what a fresh response brings of snapshots. Each that the response names as the newest, and
// that is complete by now, comes into force. What it doesn't name is of no use any more.
func (r *resources) takeChunks(chunks []message.SnapshotChunk, took time.Duration, actions Actions) {
	incomplete := snapshotTransfers{}
	received := 0
	for i := range chunks {
		chunk := &chunks[i]
		received += len(chunk.Data)
		transfer := r.transfers.merge(chunk, false)
		switch {
		case transfer == nil:
		case !transfer.complete():
			incomplete[chunk.Resource] = transfer
		case chunk.Stale:
			r.hold(transfer)
		default:
			if snapshot, ok := transfer.decode(); ok {
				r.apply(snapshot, actions)
			}
		}
	}
	r.transfers = incomplete
	if len(incomplete) == 0 {
		r.chunkBudget = message.InitialChunkBudget
		return
	}
	// As much as comes in that time at the rate of this response, which counts the wait for it, too.
	affordable := uint64(received) * uint64(chunkTargetTime) / uint64(max(took, time.Millisecond))
	r.chunkBudget = min(max(r.chunkBudget, affordable), message.MaxChunkBudget)
}

// takeLate takes what the response to an earlier request brings: bytes, and not a word of what is newest.
func (r *resources) takeLate(chunks []message.SnapshotChunk) {
	for i := range chunks {
		chunk := &chunks[i]
		transfer := r.transfers.merge(chunk, true)
		if transfer != nil && transfer.complete() && chunk.Resource == message.ResourceConfig {
			r.hold(transfer)
			delete(r.transfers, chunk.Resource)
		}
	}
}

// hold keeps a configuration that is complete and may be old, as the base of deltas: the next response tells
// what is newer, or that nothing is, in a few bytes, and that puts it in force.
func (r *resources) hold(transfer *snapshotTransfer) {
	snapshot, ok := transfer.decode()
	if !ok || snapshot.Config == nil || snapshot.Version <= max(r.config.Version, r.base.Version) {
		return
	}
	if config, err := r.applyDelta(snapshot.Config); err == nil {
		r.base = message.ConfigVersion{Version: snapshot.Version, Config: config}
	}
}
