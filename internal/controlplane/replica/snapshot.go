package replica

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// What is long is told as a snapshot, in chunks that are asked for one after the other, so that no response
// takes long, and none of a chunk that came late is sent again.

const (
	maxInlineSize = 4 << 10 // bytes: a resource up to this long is told whole in each response
	// bytes of all responses on their way: it is shared by those who ask for chunks
	totalChunkBudget  = 16 << 20
	snapshotRetention = 3 * time.Second // after it was last asked for
	// maxSnapshotBytes bounds what is kept encoded of all snapshots. It holds one of the longest
	// configuration and list there may be; with many changes of a long configuration the least recently
	// used go first, and a transfer of one that is gone goes on as soon as it is made again.
	maxSnapshotBytes = message.MaxFrameSize
	readerRetention  = time.Second // for which who asked for a chunk counts as asking
)

// snapshotKey names what a snapshot was made of: an endpoint list by epoch and sequence, a configuration by
// its version and that of its base, the nodes by their checksum.
type snapshotKey struct {
	resource message.Resource
	version  [2]uint64
}

// before is an agreed order of keys, so that a simulation repeats by its seed.
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

// snapshot is a resource as it is told, encoded once for all who lack the same.
type snapshot struct {
	resource *message.WatchResponse // with one resource
	data     []byte
	checksum uint64
	lastUsed time.Duration
}

// chunkFrom is the chunk of a snapshot that goes on where a transfer is, no longer than the budget in bytes.
func (s *snapshot) chunkFrom(held *message.SnapshotChunk, key snapshotKey, budget int) message.SnapshotChunk {
	chunk := message.SnapshotChunk{Resource: key.resource, Checksum: s.checksum, TotalSize: uint64(len(s.data))}
	if key.resource == message.ResourceConfig {
		chunk.Version, chunk.BaseVersion = key.version[0], key.version[1]
	}
	if held != nil && held.Checksum == s.checksum {
		chunk.Offset = min(held.Offset, chunk.TotalSize)
	}
	chunk.Data = s.data[chunk.Offset:min(chunk.TotalSize, chunk.Offset+uint64(budget))]
	return chunk
}

// snapshotCache is the snapshots that are being told, and to whom.
type snapshotCache struct {
	byKey   map[snapshotKey]*snapshot
	bytes   int                      // of all of them, encoded
	readers map[string]time.Duration // when somebody last asked for a chunk
}

// get returns the snapshot of a key, which is made if there is none.
func (c *snapshotCache) get(now time.Duration, key snapshotKey,
	tell func() *message.WatchResponse) *snapshot {
	s := c.byKey[key]
	if s == nil {
		if c.byKey == nil {
			c.byKey, c.readers = map[snapshotKey]*snapshot{}, map[string]time.Duration{}
		}
		s = &snapshot{resource: tell()}
		s.data = message.MarshalAppend(nil, s.resource)
		s.checksum = message.Checksum(s.data)
		c.byKey[key] = s
		c.bytes += len(s.data)
	}
	s.lastUsed = now
	c.evict(s)
	return s
}

// evict drops the snapshots that were used least recently, but for the one in use, until the rest is
// within the bound.
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

// expire drops what nobody asks for any more.
func (c *snapshotCache) expire(now time.Duration) {
	for key, s := range c.byKey {
		if now > s.lastUsed+snapshotRetention {
			c.remove(key)
		}
	}
	maps.DeleteFunc(c.readers, func(_ string, at time.Duration) bool { return now > at+readerRetention })
}

// budget is how many bytes of snapshots the response to a watch may bring: what it asks for, and no more than
// its share of all that may be on its way. The bound is what admission control would be: nobody is turned
// away, and all get less.
func (c *snapshotCache) budget(watch *message.Watch) int {
	budget := uint64(message.InitialChunkBudget)
	if watch.ChunkBudget != 0 {
		budget = min(watch.ChunkBudget, message.MaxChunkBudget)
	}
	share := max(message.MinChunkBudget, totalChunkBudget/max(1, len(c.readers)))
	return int(min(budget, uint64(share)))
}

// responseBuilder puts resources into a response, within its budget.
type responseBuilder struct {
	replica  *Replica
	to       string
	watch    *message.Watch
	response *message.WatchResponse
	budget   int
}

// add puts a resource into the response: whole where it is short, else its next chunk.
func (b *responseBuilder) add(s *snapshot, key snapshotKey, stale bool) {
	if len(s.data) <= maxInlineSize && !stale {
		mergeResource(b.response, s.resource)
		return
	}
	chunk := s.chunkFrom(findChunk(b.watch.Chunks, key.resource), key, b.budget)
	chunk.Stale = stale
	b.budget -= len(chunk.Data)
	b.response.Chunks = append(b.response.Chunks, chunk)
	b.replica.snapshots.readers[b.to] = b.replica.now
}

// appendResources puts into a response what the watcher lacks, and reports whether that is new for it.
func (r *Replica) appendResources(to string, watch *message.Watch,
	response *message.WatchResponse) (isNew bool) {
	b := &responseBuilder{r, to, watch, response, r.snapshots.budget(watch)}
	// What is on this disk and not committed yet is not told.
	if r.history.newest() == r.committed && r.committed > watch.Version {
		s, key, stale := r.configSnapshot(watch)
		b.add(s, key, stale)
		isNew = true
	}
	switch list := &r.endpoints.list; {
	case list.Epoch == 0 || !list.Newer(watch.Endpoints):
	case r.endpoints.sameAs(watch):
		response.SameEndpoints = r.endpoints.version() // as after each change of the view: it was read anew
		isNew = true
	default:
		key := endpointsKey(list)
		b.add(r.snapshots.get(r.now, key, func() *message.WatchResponse {
			told := *list // not the replica's own, which changes: this process watches, too
			return &message.WatchResponse{Endpoints: &told}
		}), key, false)
		isNew = true
	}
	if checksum := r.nodes.checksum; checksum != watch.NodesChecksum &&
		(watch.NodesChecksum == 0 || r.leasesGathered()) {
		key := nodesKey(checksum)
		b.add(r.snapshots.get(r.now, key, func() *message.WatchResponse {
			return &message.WatchResponse{Nodes: r.nodes.all(), NodesChecksum: checksum}
		}), key, false)
	}
	return isNew || len(watch.Chunks) > 0 && len(response.Chunks) > 0
}

// configSnapshot is the snapshot of a configuration that a watcher is to get. One that it has begun with goes
// on while the newest can be told as a delta over that: otherwise who has a slow link would begin anew with
// each change, and never come to an end.
func (r *Replica) configSnapshot(watch *message.Watch) (s *snapshot, key snapshotKey, stale bool) {
	held := findChunk(watch.Chunks, message.ResourceConfig)
	if held != nil && held.Version > max(watch.Version, watch.BaseVersion) && r.mayContinue(held, watch) {
		if s, key = r.deltaSnapshot(held.Version, held.BaseVersion); s.checksum == held.Checksum {
			return s, key, held.Version != r.committed
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

// mayContinue reports whether a transfer of a configuration can go on: it is kept, and so is its base, which
// the watcher has.
func (r *Replica) mayContinue(held *message.SnapshotChunk, watch *message.Watch) bool {
	if !r.history.contains(held.Version) {
		return false
	}
	if held.BaseVersion == 0 {
		return true
	}
	return r.history.contains(held.BaseVersion) &&
		(held.BaseVersion == watch.Version || held.BaseVersion == watch.BaseVersion)
}

// deltaSnapshot is the snapshot of one of the configurations that are kept, as a delta over another; base 0:
// in full.
func (r *Replica) deltaSnapshot(version, base uint64) (*snapshot, snapshotKey) {
	key := configKey(version, base)
	return r.snapshots.get(r.now, key, func() *message.WatchResponse {
		c, _ := r.history.find(version)
		return &message.WatchResponse{Version: version, Config: r.history.delta(c, base, true)}
	}), key
}

// mergeResource puts a whole resource into a response.
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

// findChunk returns the chunk of a resource; nil: there is none.
func findChunk(chunks []message.SnapshotChunk, resource message.Resource) *message.SnapshotChunk {
	i := slices.IndexFunc(chunks, func(c message.SnapshotChunk) bool { return c.Resource == resource })
	if i < 0 {
		return nil
	}
	return &chunks[i]
}
