package common

import (
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Times of the log, in ticks.
const (
	heartbeatTicks = 3
	electionTicks  = 10 // without a leader before a voter stands, at the least; twice that at the most
	compactAfter   = 256
)

// group is this member's part in one group of voters: its log, and the record that follows from it.
type group struct {
	generation uint64
	id         uint64
	node       *raft.RawNode
	store      *raft.MemoryStorage
	names      map[uint64]string // of all voters that the group has had
	conf       *raftpb.ConfState
	record     *Record
	applied    uint64
	compacted  uint64
	snaps      map[uint64]int // ticks until a voter that was sent all is tried again
}

// state is what a snapshot of the log holds.
type state struct {
	Record *Record           `json:"record"`
	Names  map[uint64]string `json:"names"`
}

// newGroup begins with a state that all founders have, or with none, as a voter that is yet to be told all.
func newGroup(generation, id uint64, begin *state, log raft.Logger) (*group, error) {
	g := &group{generation: generation, id: id, store: raft.NewMemoryStorage(), names: map[uint64]string{},
		snaps: map[uint64]int{}, conf: &raftpb.ConfState{}, record: &Record{Generation: generation}}
	if begin != nil {
		var voters []uint64
		for voter := range begin.Names {
			voters = append(voters, voter)
		}
		data, err := json.Marshal(begin)
		if err != nil {
			return nil, fmt.Errorf("the group's first state: %w", err)
		}
		first := &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1),
			Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: voters}}}
		if err := g.store.ApplySnapshot(first); err != nil {
			return nil, fmt.Errorf("the group's first state: %w", err)
		}
		if err := g.restore(first); err != nil {
			return nil, err
		}
	}
	node, err := raft.NewRawNode(&raft.Config{ID: id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks,
		Storage: g.store, Applied: g.applied, MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 16,
		MaxUncommittedEntriesSize: 4 << 20, CheckQuorum: true, PreVote: true, Logger: log,
		DisableProposalForwarding: true})
	if err != nil {
		return nil, fmt.Errorf("the group's log: %w", err)
	}
	g.node = node
	return g, nil
}

// works reports that a majority of the group has agreed on something in it, if only on its first leader.
func (g *group) works() bool { return g.applied > 1 }

// voters are the sets of voters of which each takes a majority.
func (g *group) voters() [][]uint64 {
	sets := [][]uint64{g.conf.GetVoters()}
	if out := g.conf.GetVotersOutgoing(); len(out) > 0 {
		sets = append(sets, out)
	}
	return sets
}

// restore goes by a snapshot.
func (g *group) restore(s *raftpb.Snapshot) error {
	var st state
	if err := json.Unmarshal(s.GetData(), &st); err != nil {
		return fmt.Errorf("snapshot of the log: %w", err)
	}
	g.record, g.names, g.conf = st.Record, st.Names, s.GetMetadata().GetConfState()
	g.applied = s.GetMetadata().GetIndex()
	g.compacted = g.applied
	return nil
}

// apply takes an entry that is agreed.
func (g *group) apply(e *raftpb.Entry) error {
	g.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryNormal:
		if len(e.GetData()) == 0 { // a leader's first
			return nil
		}
		var c Change
		if err := json.Unmarshal(e.GetData(), &c); err != nil {
			return fmt.Errorf("entry %d of the log: %w", e.GetIndex(), err)
		}
		g.record = g.record.with(c)
	case raftpb.EntryConfChangeV2:
		cc := &raftpb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("entry %d of the log: %w", e.GetIndex(), err)
		}
		if len(cc.GetContext()) > 0 {
			added := map[uint64]string{}
			if err := json.Unmarshal(cc.GetContext(), &added); err != nil {
				return fmt.Errorf("entry %d of the log: %w", e.GetIndex(), err)
			}
			for id, name := range added {
				g.names[id] = name
			}
		}
		g.conf = g.node.ApplyConfChange(cc)
		return g.snapshot() // a voter that is new takes only one that names it
	}
	return nil
}

// farthest is the record as it would be with all that this voter's log holds, agreed or not. It has all that
// was ever agreed by a majority that this voter was of.
func (g *group) farthest() *Record {
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
		if e.GetType() == raftpb.EntryNormal && len(e.GetData()) > 0 && json.Unmarshal(e.GetData(), &c) == nil {
			r = r.with(c)
		}
	}
	return r
}

// snapshot has the log's state as it is now go to those who need all of it.
func (g *group) snapshot() error {
	data, err := json.Marshal(state{g.record, g.names})
	if err != nil {
		return fmt.Errorf("snapshot of the log: %w", err)
	}
	_, err = g.store.CreateSnapshot(g.applied, g.conf, data)
	if err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return fmt.Errorf("snapshot of the log: %w", err)
	}
	return nil
}

// compact drops the part of the log that a snapshot stands for.
func (g *group) compact() error {
	if g.applied-g.compacted < compactAfter {
		return nil
	}
	if err := g.snapshot(); err != nil {
		return err
	}
	if err := g.store.Compact(g.applied - compactAfter/4); err != nil {
		return fmt.Errorf("compacting the log: %w", err)
	}
	g.compacted = g.applied
	return nil
}

// replace proposes that another life of a name votes in place of an earlier one; 0: of none.
func (g *group) replace(old, id uint64, name string) error {
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

// tick moves the log's timers on.
func (g *group) tick() {
	g.node.Tick()
	for id, left := range g.snaps {
		if g.snaps[id] = left - 1; left <= 1 {
			delete(g.snaps, id)
			g.node.ReportSnapshot(id, raft.SnapshotFinish) // whether it arrived shows by what the voter says next
		}
	}
}
