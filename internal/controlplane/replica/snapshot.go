package replica

import (
	"maps"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// What is long is told as a snapshot, in parts that are asked for one after the other, so that no answer
// takes long, and none of a part that came late is sent again.

const (
	maxInlineSize     = 4 << 10         // a table up to this long is told whole in each answer
	totalChunkBudget  = 16 << 20        // of all answers on their way: it is shared by those who ask for parts
	snapshotRetention = 3 * time.Second // after it was last asked for
	readerRetention   = time.Second     // for which who asked for a part counts as asking
)

// snapshotKey names what a snapshot was made of: a list by epoch and number, a configuration by its number
// and that of its base, the members by their digest.
type snapshotKey struct {
	resource message.Resource
	version  [2]uint64
}

// snapshot is a table as it is told, encoded once for all who lack the same.
type snapshot struct {
	message  *message.Message
	data     []byte
	checksum uint64
	lastUsed time.Duration
}

// snapshotCache are those that are being told, and to whom.
type snapshotCache struct {
	byKey   map[snapshotKey]*snapshot
	readers map[string]time.Duration // when somebody last asked for a part
}

// get returns the snapshot of a version, which is made if there is none.
func (s *snapshotCache) get(now time.Duration, v snapshotKey, tell func() *message.Message) *snapshot {
	x := s.byKey[v]
	if x == nil {
		if s.byKey == nil {
			s.byKey, s.readers = map[snapshotKey]*snapshot{}, map[string]time.Duration{}
		}
		x = &snapshot{message: tell()}
		x.data = message.MarshalAppend(nil, x.message)
		x.checksum = message.Checksum(x.data)
		s.byKey[v] = x
	}
	x.lastUsed = now
	return x
}

// expire drops what nobody asks for any more.
func (s *snapshotCache) expire(now time.Duration) {
	maps.DeleteFunc(s.byKey, func(_ snapshotKey, x *snapshot) bool { return now > x.lastUsed+snapshotRetention })
	maps.DeleteFunc(s.readers, func(_ string, at time.Duration) bool { return now > at+readerRetention })
}

// budget is how many bytes of snapshots the answer to a poll may have: what it asks for, and no more than its
// share of all that may be on its way. The bound is what admission control would be: nobody is turned away,
// and all get less.
func (s *snapshotCache) budget(p *watcher) int {
	room := uint64(message.InitialChunkBudget)
	if p.ChunkBudget != 0 {
		room = min(p.ChunkBudget, message.MaxChunkBudget)
	}
	return int(min(room, uint64(max(message.MinChunkBudget, totalChunkBudget/max(1, len(s.readers))))))
}

// appendResources puts into an answer what the caller lacks, and reports whether that is news for it.
func (f *Replica) appendResources(to string, p *watcher, m *message.Message) (news bool) {
	s := &f.snapshotCache
	room := s.budget(p)
	tell := func(x *snapshot, v snapshotKey, stale bool) {
		if len(x.data) <= maxInlineSize && !stale {
			mergeSnapshot(m, x.message)
			return
		}
		part := message.SnapshotChunk{
			Resource:  v.resource,
			Checksum:  x.checksum,
			TotalSize: uint64(len(x.data)),
			Stale:     stale,
		}
		if v.resource == message.ResourceConfig {
			part.Version, part.BaseVersion = v.version[0], v.version[1]
		}
		if held := chunkOf(p.Chunks, v.resource); held != nil && held.Checksum == x.checksum {
			part.Offset = min(held.Offset, part.TotalSize)
		}
		part.Data = x.data[part.Offset:min(part.TotalSize, part.Offset+uint64(room))]
		room -= len(part.Data)
		m.Chunks = append(m.Chunks, part)
		s.readers[to] = f.now
	}
	// What is on this disk and not committed yet is no news.
	if n := len(
		f.configHistory,
	); n > 0 && f.configHistory[n-1].version == f.committed &&
		f.committed > p.Version {
		v, x, stale := f.configSnapshot(p)
		tell(x, v, stale)
		news = true
	}
	if f.endpoints.Epoch != 0 && isNewer(&f.endpoints, p.Endpoints) {
		v := snapshotKey{message.ResourceEndpoints, [2]uint64{f.endpoints.Epoch, f.endpoints.Sequence}}
		tell(s.get(f.now, v, func() *message.Message {
			l := f.endpoints // not the frame's own, which changes: this process asks, too
			return &message.Message{Endpoints: &l}
		}), v, false)
		news = true
	}
	if f.nodesChecksum != p.NodesChecksum && (p.NodesChecksum == 0 || f.leasesGathered()) {
		v := snapshotKey{message.ResourceNodes, [2]uint64{f.nodesChecksum}}
		tell(s.get(f.now, v, func() *message.Message {
			return &message.Message{Nodes: f.leasedNodes(), NodesChecksum: f.nodesChecksum}
		}), v, false)
	}
	return news || len(p.Chunks) > 0 && len(m.Chunks) > 0
}

// configSnapshot is the snapshot of a configuration that a caller is to get. One that it has begun with goes
// on while the newest can be told as a change of that: otherwise who has a slow link would begin anew with
// each change, and never come to an end.
func (f *Replica) configSnapshot(p *watcher) (v snapshotKey, x *snapshot, stale bool) {
	if held := chunkOf(
		p.Chunks,
		message.ResourceConfig,
	); held != nil &&
		held.Version > max(p.Version, p.BaseVersion) {
		known := held.BaseVersion == 0 ||
			f.inConfigHistory(held.BaseVersion) && (held.BaseVersion == p.Version || held.BaseVersion == p.BaseVersion)
		if known && f.inConfigHistory(held.Version) {
			if v, x = f.deltaSnapshot(held.Version, held.BaseVersion); x.checksum == held.Checksum {
				return v, x, held.Version != f.committed
			}
		}
	}
	base := p.Version
	if p.BaseVersion > base && f.inConfigHistory(p.BaseVersion) {
		base = p.BaseVersion
	}
	if !f.inConfigHistory(base) {
		base = 0
	}
	v, x = f.deltaSnapshot(f.committed, base)
	return v, x, false
}

// deltaSnapshot is the snapshot of one of the configurations that are kept, as a change of another; 0: of
// none.
func (f *Replica) deltaSnapshot(number, base uint64) (snapshotKey, *snapshot) {
	v := snapshotKey{message.ResourceConfig, [2]uint64{number, base}}
	return v, f.snapshotCache.get(f.now, v, func() *message.Message {
		i := slices.IndexFunc(f.configHistory, func(t configVersion) bool { return t.version == number })
		return &message.Message{Version: number, Config: f.deltaFor(f.configHistory[i], base, true)}
	})
}

// inConfigHistory reports whether a configuration is one of those that newer ones are told as changes of.
func (f *Replica) inConfigHistory(version uint64) bool {
	return slices.ContainsFunc(f.configHistory, func(t configVersion) bool { return t.version == version })
}

// mergeSnapshot puts a table's whole into an answer.
func mergeSnapshot(m, table *message.Message) {
	switch {
	case table.Config != nil:
		m.Version, m.Config = table.Version, table.Config
	case table.Endpoints != nil:
		m.Endpoints = table.Endpoints
	default:
		m.Nodes, m.NodesChecksum = table.Nodes, table.NodesChecksum
	}
}

func chunkOf(parts []message.SnapshotChunk, t message.Resource) *message.SnapshotChunk {
	if i := slices.IndexFunc(parts, func(p message.SnapshotChunk) bool { return p.Resource == t }); i >= 0 {
		return &parts[i]
	}
	return nil
}
