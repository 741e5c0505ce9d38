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
	inlineMost    = 4 << 10         // a table up to this long is told whole in each answer
	roomAll       = 16 << 20        // of all answers on their way: it is shared by those who ask for parts
	snapshotsKept = 3 * time.Second // after it was last asked for
	pullsFor      = time.Second     // for which who asked for a part counts as asking
)

// version names what a snapshot was made of: a list by epoch and number, a configuration by its number and
// that of its base, the members by their digest.
type version struct {
	table message.Table
	of    [2]uint64
}

// snapshot is a table as it is told, encoded once for all who lack the same.
type snapshot struct {
	whole  *message.Message
	bytes  []byte
	digest uint64
	asked  time.Duration
}

// snapshots are those that are being told, and to whom.
type snapshots struct {
	made  map[version]*snapshot
	pulls map[string]time.Duration // when somebody last asked for a part
}

// of returns the snapshot of a version, which is made if there is none.
func (s *snapshots) of(now time.Duration, v version, tell func() *message.Message) *snapshot {
	x := s.made[v]
	if x == nil {
		if s.made == nil {
			s.made, s.pulls = map[version]*snapshot{}, map[string]time.Duration{}
		}
		x = &snapshot{whole: tell()}
		x.bytes = message.Encode(nil, x.whole)
		x.digest = message.Digest(x.bytes)
		s.made[v] = x
	}
	x.asked = now
	return x
}

// forget drops what nobody asks for any more.
func (s *snapshots) forget(now time.Duration) {
	maps.DeleteFunc(s.made, func(_ version, x *snapshot) bool { return now > x.asked+snapshotsKept })
	maps.DeleteFunc(s.pulls, func(_ string, at time.Duration) bool { return now > at+pullsFor })
}

// room is how many bytes of snapshots the answer to a poll may have: what it asks for, and no more than its
// share of all that may be on its way. The bound is what admission control would be: nobody is turned away,
// and all get less.
func (s *snapshots) room(p *poll) int {
	room := uint64(message.RoomFirst)
	if p.Room != 0 {
		room = min(p.Room, message.RoomMost)
	}
	return int(min(room, uint64(max(message.RoomLeast, roomAll/max(1, len(s.pulls))))))
}

// tables puts into an answer what the caller lacks, and reports whether that is news for it.
func (f *Frame) tables(to string, p *poll, m *message.Message) (news bool) {
	s := &f.snapshots
	room := s.room(p)
	tell := func(x *snapshot, v version, stale bool) {
		if len(x.bytes) <= inlineMost && !stale {
			add(m, x.whole)
			return
		}
		part := message.Part{Table: v.table, Digest: x.digest, Size: uint64(len(x.bytes)), Stale: stale}
		if v.table == message.ConfigTable {
			part.Version, part.Base = v.of[0], v.of[1]
		}
		if held := partOf(p.Parts, v.table); held != nil && held.Digest == x.digest {
			part.From = min(held.From, part.Size)
		}
		part.Bytes = x.bytes[part.From:min(part.Size, part.From+uint64(room))]
		room -= len(part.Bytes)
		m.Parts = append(m.Parts, part)
		s.pulls[to] = f.now
	}
	// What is on this disk and not committed yet is no news.
	if n := len(f.texts); n > 0 && f.texts[n-1].version == f.committed && f.committed > p.Version {
		v, x, stale := f.configuration(p)
		tell(x, v, stale)
		news = true
	}
	if f.list.Epoch != 0 && newer(&f.list, p.List) {
		v := version{message.ServerTable, [2]uint64{f.list.Epoch, f.list.Seq}}
		tell(s.of(f.now, v, func() *message.Message {
			l := f.list // not the frame's own, which changes: this process asks, too
			return &message.Message{List: &l}
		}), v, false)
		news = true
	}
	if f.roster != p.Roster && (p.Roster == 0 || f.gathered()) {
		v := version{message.MemberTable, [2]uint64{f.roster}}
		tell(s.of(f.now, v, func() *message.Message {
			return &message.Message{Members: f.all(), Roster: f.roster}
		}), v, false)
	}
	return news || len(p.Parts) > 0 && len(m.Parts) > 0
}

// configuration is the snapshot of a configuration that a caller is to get. One that it has begun with goes
// on while the newest can be told as a change of that: otherwise who has a slow link would begin anew with
// each change, and never come to an end.
func (f *Frame) configuration(p *poll) (v version, x *snapshot, stale bool) {
	if held := partOf(p.Parts, message.ConfigTable); held != nil && held.Version > max(p.Version, p.Base) {
		known := held.Base == 0 || f.keeps(held.Base) && (held.Base == p.Version || held.Base == p.Base)
		if known && f.keeps(held.Version) {
			if v, x = f.packedAs(held.Version, held.Base); x.digest == held.Digest {
				return v, x, held.Version != f.committed
			}
		}
	}
	base := p.Version
	if p.Base > base && f.keeps(p.Base) {
		base = p.Base
	}
	if !f.keeps(base) {
		base = 0
	}
	v, x = f.packedAs(f.committed, base)
	return v, x, false
}

// packedAs is the snapshot of one of the configurations that are kept, as a change of another; 0: of none.
func (f *Frame) packedAs(number, base uint64) (version, *snapshot) {
	v := version{message.ConfigTable, [2]uint64{number, base}}
	return v, f.snapshots.of(f.now, v, func() *message.Message {
		i := slices.IndexFunc(f.texts, func(t text) bool { return t.version == number })
		return &message.Message{Version: number, Config: f.packed(f.texts[i], base, true)}
	})
}

// keeps reports whether a configuration is one of those that newer ones are told as changes of.
func (f *Frame) keeps(version uint64) bool {
	return slices.ContainsFunc(f.texts, func(t text) bool { return t.version == version })
}

// add puts a table's whole into an answer.
func add(m, table *message.Message) {
	switch {
	case table.Config != nil:
		m.Version, m.Config = table.Version, table.Config
	case table.List != nil:
		m.List = table.List
	default:
		m.Members, m.Roster = table.Members, table.Roster
	}
}

func partOf(parts []message.Part, t message.Table) *message.Part {
	if i := slices.IndexFunc(parts, func(p message.Part) bool { return p.Table == t }); i >= 0 {
		return &parts[i]
	}
	return nil
}
