package replica

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Long resources are sent as snapshots, in chunks that the watcher requests one after the other, so that each
// response is short and no chunk that was received has to be sent again.

const (
	maxInlineSize = 4 << 10 // bytes: a resource up to this length is sent completely in each response
	// bytes of all responses in flight, which the readers of chunks share
	totalChunkBudget  = 16 << 20
	snapshotRetention = 3 * time.Second // after the last request for it
	// maxSnapshotBytes bounds the encoded size of all cached snapshots. It is sufficient for one configuration
	// and one endpoint list of maximum length. If a long configuration changes often, the least recently used
	// snapshots are evicted first; a transfer of an evicted snapshot continues once it has been encoded again.
	maxSnapshotBytes = message.MaxFrameSize
	readerRetention  = time.Second // how long a watcher counts as a reader after its last chunk
)

// snapshotKey identifies the content of a snapshot: the epoch and sequence of an endpoint list, the version
// of a configuration and that of its base, or the checksum of the list of nodes.
type snapshotKey struct {
	resource message.Resource
	version  [2]uint64
}

// before defines an order of keys that doesn't depend on map iteration, so that a simulation is reproducible
// from its seed.
func (k snapshotKey) before(other snapshotKey) bool {
	return cmp.Or(cmp.Compare(k.resource, other.resource), slices.Compare(k.version[:], other.version[:])) < 0
}

func endpointsKey(l *message.EndpointList) snapshotKey {
	return snapshotKey{message.ResourceEndpoints, [2]uint64{l.Epoch, l.Sequence}}
}

func nodesKey(checksum uint64) snapshotKey {
	return snapshotKey{message.ResourceNodes, [2]uint64{checksum}}
}

func configKey(version, base uint64) snapshotKey {
	return snapshotKey{message.ResourceConfig, [2]uint64{version, base}}
}

// snapshot is a resource as it is sent, encoded once for all watchers that need the same.
type snapshot struct {
	resource *message.WatchResponse // with exactly one resource
	data     []byte
	checksum uint64
	lastUsed time.Duration
}

// nextChunk returns the chunk that continues a watcher's transfer of the snapshot, or the first chunk. Its
// data is at most budget bytes long.
func (s *snapshot) nextChunk(
	received *message.SnapshotChunk, key snapshotKey, budget int,
) message.SnapshotChunk {
	chunk := message.SnapshotChunk{Resource: key.resource, Checksum: s.checksum, TotalSize: uint64(len(s.data))}
	if key.resource == message.ResourceConfig {
		chunk.Version, chunk.BaseVersion = key.version[0], key.version[1]
	}
	if received != nil && received.Checksum == s.checksum {
		chunk.Offset = min(received.Offset, chunk.TotalSize)
	}
	chunk.Data = s.data[chunk.Offset:min(chunk.TotalSize, chunk.Offset+uint64(budget))]
	return chunk
}

// snapshotCache caches the snapshots that are being sent, and tracks who reads them.
type snapshotCache struct {
	byKey   map[snapshotKey]*snapshot
	bytes   int                      // encoded size of all snapshots
	readers map[string]time.Duration // when each watcher was last sent a chunk
}

// get returns the snapshot of a key, and builds it if it isn't cached.
func (c *snapshotCache) get(now time.Duration, key snapshotKey,
	build func() *message.WatchResponse) *snapshot {
	s := c.byKey[key]
	if s == nil {
		if c.byKey == nil {
			c.byKey, c.readers = map[snapshotKey]*snapshot{}, map[string]time.Duration{}
		}
		s = &snapshot{resource: build()}
		s.data = message.MarshalAppend(nil, s.resource)
		s.checksum = message.Checksum(s.data)
		c.byKey[key] = s
		c.bytes += len(s.data)
	}
	s.lastUsed = now
	c.evict(s)
	return s
}

// evict removes the least recently used snapshots, except the one in use, until the total size is within the
// bound.
func (c *snapshotCache) evict(inUse *snapshot) {
	for c.bytes > maxSnapshotBytes && len(c.byKey) > 1 {
		var oldest snapshotKey
		at := time.Duration(math.MaxInt64)
		for key, s := range c.byKey {
			if s != inUse && (s.lastUsed < at || s.lastUsed == at && key.before(oldest)) {
				oldest, at = key, s.lastUsed
			}
		}
		c.remove(oldest)
	}
}

func (c *snapshotCache) remove(key snapshotKey) {
	c.bytes -= len(c.byKey[key].data)
	delete(c.byKey, key)
}

// expire removes the snapshots and readers that have not been active recently.
func (c *snapshotCache) expire(now time.Duration) {
	for key, s := range c.byKey {
		if now > s.lastUsed+snapshotRetention {
			c.remove(key)
		}
	}
	maps.DeleteFunc(c.readers, func(_ string, at time.Duration) bool { return now > at+readerRetention })
}

// budget returns how many bytes of chunks the response to a watch may contain: the requested number, limited
// to the watcher's share of the total. The limit is used in place of admission control: no reader is
// rejected, but each gets less.
func (c *snapshotCache) budget(watch *message.Watch) int {
	budget := uint64(message.InitialChunkBudget)
	if watch.ChunkBudget != 0 {
		budget = min(watch.ChunkBudget, message.MaxChunkBudget)
	}
	share := max(message.MinChunkBudget, totalChunkBudget/max(1, len(c.readers)))
	return int(min(budget, uint64(share)))
}

// responseBuilder adds resources to a response, within its budget in bytes.
type responseBuilder struct {
	replica  *Replica
	to       string
	watch    *message.Watch
	response *message.WatchResponse
	budget   int
}

// add adds a resource to the response: completely if it is short, or else its next chunk.
func (b *responseBuilder) add(s *snapshot, key snapshotKey, stale bool) {
	if len(s.data) <= maxInlineSize && !stale {
		mergeResource(b.response, s.resource)
		return
	}
	chunk := s.nextChunk(findChunk(b.watch.Chunks, key.resource), key, b.budget)
	chunk.Stale = stale
	b.budget -= len(chunk.Data)
	b.response.Chunks = append(b.response.Chunks, chunk)
	b.replica.snapshots.readers[b.to] = b.replica.now
}

// appendResources adds to a response the resources that the watcher lacks, and reports whether the response
// has any update that must be sent now.
func (r *Replica) appendResources(to string, watch *message.Watch,
	response *message.WatchResponse) (hasUpdates bool) {
	b := &responseBuilder{r, to, watch, response, r.snapshots.budget(watch)}
	// A version that is on this disk but not committed yet is not sent.
	if r.history.newest() == r.committed && r.committed > watch.Version {
		s, key, stale := r.configSnapshot(watch)
		b.add(s, key, stale)
		hasUpdates = true
	}
	switch list := &r.endpoints.list; {
	case list.Epoch == 0 || !list.Newer(watch.Endpoints):
	case r.endpoints.hasSameContent(watch):
		response.SameEndpoints = r.endpoints.version() // the list was read again, as in each view
		hasUpdates = true
	default:
		key := endpointsKey(list)
		b.add(r.snapshots.get(r.now, key, func() *message.WatchResponse {
			listCopy := *list // not the replica's own list, which changes: a watcher may be in this process
			return &message.WatchResponse{Endpoints: &listCopy}
		}), key, false)
		hasUpdates = true
	}
	if checksum := r.nodes.checksum; checksum != watch.NodesChecksum &&
		(watch.NodesChecksum == 0 || r.leasesCollected()) {
		key := nodesKey(checksum)
		b.add(r.snapshots.get(r.now, key, func() *message.WatchResponse {
			return &message.WatchResponse{Nodes: r.nodes.all(), NodesChecksum: checksum}
		}), key, false)
	}
	return hasUpdates || len(watch.Chunks) > 0 && len(response.Chunks) > 0
}

// configSnapshot returns the snapshot of a configuration for a watcher. A transfer that has begun continues
// with the older version while the newest one can be sent as a delta to it. Otherwise a watcher with a slow
// link would restart with each change and never finish. stale reports that the version is not the newest.
func (r *Replica) configSnapshot(watch *message.Watch) (s *snapshot, key snapshotKey, stale bool) {
	received := findChunk(watch.Chunks, message.ResourceConfig)
	if received != nil && received.Version > max(watch.Version, watch.BaseVersion) &&
		r.canContinueTransfer(received, watch) {
		if s, key = r.deltaSnapshot(received.Version, received.BaseVersion); s.checksum == received.Checksum {
			return s, key, received.Version != r.committed
		}
	}
	base := watch.Version
	if watch.BaseVersion > base && r.history.contains(watch.BaseVersion) {
		base = watch.BaseVersion
	}
	if !r.history.contains(base) {
		base = 0
	}
	s, key = r.deltaSnapshot(r.committed, base)
	return s, key, false
}

// canContinueTransfer reports whether a transfer of a configuration can continue: the configuration is kept,
// and so is its base, which the watcher still has.
func (r *Replica) canContinueTransfer(received *message.SnapshotChunk, watch *message.Watch) bool {
	if !r.history.contains(received.Version) {
		return false
	}
	if received.BaseVersion == 0 {
		return true
	}
	return r.history.contains(received.BaseVersion) &&
		(received.BaseVersion == watch.Version || received.BaseVersion == watch.BaseVersion)
}

// deltaSnapshot returns the snapshot of a kept configuration as a delta to another one; base 0 means in full.
func (r *Replica) deltaSnapshot(version, base uint64) (*snapshot, snapshotKey) {
	key := configKey(version, base)
	return r.snapshots.get(r.now, key, func() *message.WatchResponse {
		c, _ := r.history.find(version)
		return &message.WatchResponse{Version: version, Config: r.history.delta(c, base, true)}
	}), key
}

// mergeResource adds a complete resource to a response.
func mergeResource(response, resource *message.WatchResponse) {
	switch {
	case resource.Config != nil:
		response.Version, response.Config = resource.Version, resource.Config
	case resource.Endpoints != nil:
		response.Endpoints = resource.Endpoints
	default:
		response.Nodes, response.NodesChecksum = resource.Nodes, resource.NodesChecksum
	}
}

// findChunk returns the chunk of a resource, or nil if there is none.
func findChunk(chunks []message.SnapshotChunk, resource message.Resource) *message.SnapshotChunk {
	i := slices.IndexFunc(chunks, func(c message.SnapshotChunk) bool { return c.Resource == resource })
	if i < 0 {
		return nil
	}
	return &chunks[i]
}
