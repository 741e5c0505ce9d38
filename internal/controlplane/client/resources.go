package client

import (
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// chunkTargetTime is the target duration of the transfer of a snapshot chunk.
const chunkTargetTime = firstResponseTimeout / 2

// resources are the versions that a Client has of the resources that it watches, and the snapshots in
// transfer.
type resources struct {
	config          message.ConfigVersion
	deltaBase       message.ConfigVersion // a newer configuration that is stored and not in force
	needFullConfig  bool                  // the last delta could not be applied
	endpoints       *message.EndpointList
	endpointsDigest message.Digest // of the servers in the list; zero means not computed yet
	nodesChecksum   uint64

	transfers   snapshotTransfers
	chunkBudget uint64 // maximum bytes of snapshot chunks per response
}

func newResources() resources {
	return resources{transfers: snapshotTransfers{}, chunkBudget: message.InitialChunkBudget}
}

// transferring reports whether a snapshot transfer is in progress.
func (r *resources) transferring() bool { return len(r.transfers) > 0 }

// reduceChunkBudget reduces the size of the next response, after one has timed out.
func (r *resources) reduceChunkBudget() {
	r.chunkBudget = max(r.chunkBudget/4, message.MinChunkBudget)
}

// fillWatch sets the fields of a watch that report the versions and transfers of this client.
func (r *resources) fillWatch(watch *message.Watch) {
	watch.Version = r.config.Version
	watch.NodesChecksum = r.nodesChecksum
	watch.Chunks = r.transfers.progress()
	if r.chunkBudget != message.InitialChunkBudget {
		watch.ChunkBudget = r.chunkBudget
	}
	if r.deltaBase.Version > r.config.Version {
		watch.BaseVersion = r.deltaBase.Version
	}
	if r.endpoints != nil {
		watch.Endpoints = &message.EndpointList{Epoch: r.endpoints.Epoch, Sequence: r.endpoints.Sequence}
		if r.endpoints.Epoch < watch.Epoch { // in a new view, the endpoint reader reads the list again
			watch.EndpointsDigest = r.computeEndpointsDigest()
		}
	}
	if r.needFullConfig {
		watch.Version, watch.BaseVersion = 0, 0
	}
}

// computeEndpointsDigest returns the digest of the servers in the list, which it caches. Computing it takes
// 50 ms for 47,000 servers.
func (r *resources) computeEndpointsDigest() message.Digest {
	if r.endpointsDigest == (message.Digest{}) {
		r.endpointsDigest = r.endpoints.ContentDigest()
	}
	return r.endpointsDigest
}

// handleResponse applies a fresh response. The elapsed time is counted from its request.
func (r *resources) handleResponse(response *message.WatchResponse, elapsed time.Duration, actions Actions) {
	r.apply(response, actions)
	r.receiveChunks(response.Chunks, elapsed, actions)
}

// apply puts the versions of a fresh response in force, or those of a complete snapshot that a fresh response
// names as the newest.
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
	if r.deltaBase.Version <= r.config.Version {
		r.deltaBase = message.ConfigVersion{}
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

// applyDelta returns the configuration that results from a delta. Its base is the configuration in force or
// deltaBase.
func (r *resources) applyDelta(delta *message.Delta) ([]byte, error) {
	base := r.config
	if delta.BaseVersion != base.Version && delta.BaseVersion == r.deltaBase.Version {
		base = r.deltaBase
	}
	return delta.Apply(base.Version, base.Config)
}

// receiveChunks handles the snapshot chunks of a fresh response. A snapshot that is complete and that the
// response names as the newest is put in force. Transfers that the response doesn't mention are dropped.
func (r *resources) receiveChunks(chunks []message.SnapshotChunk, elapsed time.Duration, actions Actions) {
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
			r.keepAsDeltaBase(transfer)
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
	// The bytes that arrive in chunkTargetTime at the rate of this response, whose elapsed time includes the
	// wait for it.
	affordable := uint64(received) * uint64(chunkTargetTime) / uint64(max(elapsed, time.Millisecond))
	r.chunkBudget = min(max(r.chunkBudget, affordable), message.MaxChunkBudget)
}

// receiveLateChunks handles the snapshot chunks of a late response. Their bytes are usable, but a late
// response doesn't show which version is the newest.
func (r *resources) receiveLateChunks(chunks []message.SnapshotChunk) {
	for i := range chunks {
		chunk := &chunks[i]
		transfer := r.transfers.merge(chunk, true)
		if transfer != nil && transfer.complete() && chunk.Resource == message.ResourceConfig {
			r.keepAsDeltaBase(transfer)
			delete(r.transfers, chunk.Resource)
		}
	}
}

// keepAsDeltaBase stores a complete configuration that may be stale as the base of deltas. The next response
// then needs only a few bytes to put it, or a newer version based on it, in force.
func (r *resources) keepAsDeltaBase(transfer *snapshotTransfer) {
	snapshot, ok := transfer.decode()
	if !ok || snapshot.Config == nil || snapshot.Version <= max(r.config.Version, r.deltaBase.Version) {
		return
	}
	if config, err := r.applyDelta(snapshot.Config); err == nil {
		r.deltaBase = message.ConfigVersion{Version: snapshot.Version, Config: config}
	}
}
