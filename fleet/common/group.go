package common

import (
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Raft timing in ticks, and the number of applied entries between two compactions of the log.
const (
	heartbeatTicks      = 3
	electionTicks       = 10 // minimum without a leader before an election; at most twice that
	compactAfterEntries = 256
)

// group is this member's replica in one group of voters: its Raft log and the record that results from it.
type group struct {
	generation    uint64
	id            uint64
	node          *raft.RawNode
	store         *raft.MemoryStorage
	voterNames    map[uint64]string // by voter ID, for every voter that the group has ever had
	confState     *raftpb.ConfState
	record        *Record
	applied       uint64
	compacted     uint64
	snapshotTicks map[uint64]int // per voter: ticks until a sent snapshot is reported as finished
}

// snapshotState is the content of a snapshot of the log.
type snapshotState struct {
	Record *Record           `json:"record"`
	Names  map[uint64]string `json:"names"`
}

// newGroup creates a group from an initial state that all founders share. A nil state creates an empty
// replica, which receives its state from the leader.
func newGroup(generation, id uint64, initial *snapshotState, log raft.Logger) (*group, error) {
	g := &group{generation: generation, id: id, store: raft.NewMemoryStorage(),
		voterNames: map[uint64]string{}, snapshotTicks: map[uint64]int{}, confState: &raftpb.ConfState{},
		record: &Record{Generation: generation}}
	if initial != nil {
		var voters []uint64
		for voter := range initial.Names {
			voters = append(voters, voter)
		}
		data, err := json.Marshal(initial)
		if err != nil {
			return nil, fmt.Errorf("initial state of the group: %w", err)
		}
		first := &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1),
			Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: voters}}}
		if err := g.store.ApplySnapshot(first); err != nil {
			return nil, fmt.Errorf("initial state of the group: %w", err)
		}
		if err := g.restore(first); err != nil {
			return nil, err
		}
	}
	node, err := raft.NewRawNode(&raft.Config{ID: id, ElectionTick: electionTicks,
		HeartbeatTick: heartbeatTicks, Storage: g.store, Applied: g.applied, MaxSizePerMsg: 64 << 10,
		MaxInflightMsgs: 16, MaxUncommittedEntriesSize: 4 << 20, CheckQuorum: true, PreVote: true, Logger: log,
		DisableProposalForwarding: true})
	if err != nil {
		return nil, fmt.Errorf("creating the Raft node of the group: %w", err)
	}
	g.node = node
	return g, nil
}

// hasCommitted reports whether the group has committed an entry, even if it is only the first, empty entry
// of its first leader.
func (g *group) hasCommitted() bool { return g.applied > 1 }

// voterSets returns the sets of voters, each of which needs a majority. There are two sets while a
// configuration change is in progress.
func (g *group) voterSets() [][]uint64 {
	sets := [][]uint64{g.confState.GetVoters()}
	if out := g.confState.GetVotersOutgoing(); len(out) > 0 {
		sets = append(sets, out)
	}
	return sets
}

// restore replaces the state of the group by a snapshot.
func (g *group) restore(s *raftpb.Snapshot) error {
	var st snapshotState
	if err := json.Unmarshal(s.GetData(), &st); err != nil {
		return fmt.Errorf("snapshot of the Raft log: %w", err)
	}
	g.record, g.voterNames, g.confState = st.Record, st.Names, s.GetMetadata().GetConfState()
	g.applied = s.GetMetadata().GetIndex()
	g.compacted = g.applied
	return nil
}

// apply applies a committed entry.
func (g *group) apply(e *raftpb.Entry) error {
	g.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryNormal:
		if len(e.GetData()) == 0 { // the first entry of a leader is empty
			return nil
		}
		var c Change
		if err := json.Unmarshal(e.GetData(), &c); err != nil {
			return fmt.Errorf("entry %d of the Raft log: %w", e.GetIndex(), err)
		}
		g.record = g.record.withChange(c)
	case raftpb.EntryConfChangeV2:
		cc := &raftpb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("entry %d of the Raft log: %w", e.GetIndex(), err)
		}
		if len(cc.GetContext()) > 0 {
			added := map[uint64]string{}
			if err := json.Unmarshal(cc.GetContext(), &added); err != nil {
				return fmt.Errorf("entry %d of the Raft log: %w", e.GetIndex(), err)
			}
			for id, name := range added {
				g.voterNames[id] = name
			}
		}
		g.confState = g.node.ApplyConfChange(cc)
		return g.createSnapshot() // a new voter accepts only a snapshot whose configuration includes it
	}
	return nil
}

// recordWithUncommitted returns the record that results from applying the whole log of this voter,
// including entries that are not known to be committed. It contains every change that was committed by a
// majority that included this voter.
func (g *group) recordWithUncommitted() *Record {
	r := g.record
	last, err := g.store.LastIndex()
	if err != nil || last <= g.applied {
		return r
	}
	entries, err := g.store.Entries(g.applied+1, last+1, 1<<30)
	if err != nil {
		return r
	}
	for _, e := range entries {
		var c Change
		if e.GetType() == raftpb.EntryNormal && len(e.GetData()) > 0 &&
			json.Unmarshal(e.GetData(), &c) == nil {
			r = r.withChange(c)
		}
	}
	return r
}

// createSnapshot stores the present state as the log's snapshot, which Raft sends to voters that lack
// compacted entries.
func (g *group) createSnapshot() error {
	data, err := json.Marshal(snapshotState{g.record, g.voterNames})
	if err != nil {
		return fmt.Errorf("snapshot of the Raft log: %w", err)
	}
	_, err = g.store.CreateSnapshot(g.applied, g.confState, data)
	if err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return fmt.Errorf("snapshot of the Raft log: %w", err)
	}
	return nil
}

// compact creates a snapshot and drops log entries that it covers, once compactAfterEntries entries were
// applied since the last compaction.
func (g *group) compact() error {
	if g.applied-g.compacted < compactAfterEntries {
		return nil
	}
	if err := g.createSnapshot(); err != nil {
		return err
	}
	if err := g.store.Compact(g.applied - compactAfterEntries/4); err != nil {
		return fmt.Errorf("compacting the Raft log: %w", err)
	}
	g.compacted = g.applied
	return nil
}

// proposeReplacement proposes a configuration change that adds voter id, an incarnation of name, and
// removes voter old. If old is 0, no voter is removed.
func (g *group) proposeReplacement(old, id uint64, name string) error {
	context, err := json.Marshal(map[uint64]string{id: name})
	if err != nil {
		return err
	}
	changes := []*raftpb.ConfChangeSingle{{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(id)}}
	if old != 0 {
		changes = append(changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(),
			NodeId: proto.Uint64(old)})
	}
	return g.node.ProposeConfChange(&raftpb.ConfChangeV2{Context: context, Changes: changes})
}

// tick advances the Raft timers. It reports a snapshot as finished some ticks after it was sent, so that
// Raft resumes replication to that voter.
func (g *group) tick() {
	g.node.Tick()
	for id, left := range g.snapshotTicks {
		if g.snapshotTicks[id] = left - 1; left <= 1 {
			delete(g.snapshotTicks, id)
			g.node.ReportSnapshot(id, raft.SnapshotFinish) // the voter's next response shows if it arrived
		}
	}
}
