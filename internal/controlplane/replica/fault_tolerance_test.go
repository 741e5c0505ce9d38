package replica

import (
	"fmt"
	"slices"
	"testing"

	"dunespoke/internal/controlplane/message"
)

// The checks below go through sets of machines one by one, where the code counts. A set is the bits of a
// list's machines.

// small calls do with all small sets of machines over three regions of which one has two zones, and with all
// that may be lost of them.
func small(most int, do func(t FaultTolerance, all []message.Node)) {
	region := map[string]string{"a": "r1", "b": "r1", "c": "r2", "d": "r3"}
	for layout := range 4 * 4 * 4 * 4 {
		if a, b, c, d := layout%4, layout>>2%4, layout>>4%4, layout>>6; a < b || c < d {
			continue // as another one, but for the names
		}
		var all []message.Node
		for i, zone := range []string{"a", "b", "c", "d"} {
			for j := range layout >> (2 * i) % 4 {
				all = append(all, message.Node{Addr: fmt.Sprint(zone, j), Zone: zone})
			}
		}
		for what := range 3 * 3 * 2 {
			t := FaultTolerance{Machines: what % 3, Zones: what / 3 % 3, Regions: what / 9, RegionOfZone: region}
			if len(all) > 0 && len(all) <= most && !t.isZero() {
				do(t, all)
			}
		}
	}
}

// losses are all sets of so many domains of one kind.
func losses(all []message.Node, most int, of func(m message.Node) string) (list []int) {
	bits := map[string]int{}
	for i, m := range all {
		bits[of(m)] |= 1 << i
	}
	var sets []int
	for _, set := range bits {
		sets = append(sets, set)
	}
	for pick := range 1 << len(sets) {
		lost, n := 0, 0
		for i, set := range sets {
			if pick>>i&1 == 1 {
				lost, n = lost|set, n+1
			}
		}
		if n <= most {
			list = append(list, lost)
		}
	}
	return list
}

// serves reports whether a set of members may be a chain: a quorum that no permitted loss covers, as far as
// the members themselves are not covered.
func serves(t FaultTolerance, all []message.Node, chain int) bool {
	for _, k := range t.domainKinds() {
		for _, lost := range losses(all, min(k.lost, len(k.domains(all))-1), k.of) {
			if chain&^lost == 0 {
				return false
			}
		}
	}
	return len(membersIn(all, chain)) >= majority(all)
}

// tolerates reports whether a set of members serves after every permitted loss.
func tolerates(t FaultTolerance, all []message.Node, well int) bool {
	for _, k := range t.domainKinds() {
		for _, lost := range losses(all, k.lost, k.of) {
			if !serves(t, all, well&^lost) {
				return false
			}
		}
	}
	return true
}

func membersIn(all []message.Node, set int) (list []message.Node) {
	for i, m := range all {
		if set>>i&1 == 1 {
			list = append(list, m)
		}
	}
	return list
}

// Given all small memberships and what may be lost, when any members are well, then whether they may serve,
// whether they tolerate what may be lost, and how many machines are to spare, is what going through all says.
func TestToleranceIsWhatEveryLossSays(t *testing.T) {
	small(5, func(o FaultTolerance, all []message.Node) {
		for well := range 1 << len(all) {
			list := membersIn(all, well)
			spare := -1
			for _, lost := range losses(all, len(all), func(m message.Node) string { return m.Addr }) {
				n := len(membersIn(all, lost))
				if lost&^well == 0 && (spare < 0 || n <= spare) && !serves(o, all, well&^lost) {
					spare = n - 1
				}
			}
			wantServes := serves(o, all, well)
			if got := o.chainSuffices(list, all) && len(list) >= majority(all); got != wantServes {
				t.Fatalf("%+v: %v of %v serve: %v, want %v", o, list, all, got, wantServes)
			}
			if got, want := o.gap(list, all) == "", tolerates(o, all, well); got != want {
				t.Fatalf("%+v: %v of %v: %q, bears %v", o, list, all, o.gap(list, all), want)
			}
			if got := o.toleratedFailures(list, all); got != max(0, spare) {
				t.Fatalf("%+v: %v of %v: %d to spare, want %d", o, list, all, got, spare)
			}
		}
	})
}

// Given all small sets of machines, when a core is named of them, or grows by them, then it tolerates what
// may be lost wherever some of them do.
func TestABootstrapMembershipIsFoundWhereThereIsOne(t *testing.T) {
	small(7, func(o FaultTolerance, all []message.Node) {
		some := false
		for set := 1; set < 1<<len(all) && !some; set++ {
			list := membersIn(all, set)
			some = o.shortfall(list) == 0
		}
		core, ok := o.bootstrapMembers(all)
		if ok != some || ok && !tolerates(o, core, 1<<len(core)-1) || !ok && len(core) != len(all) {
			t.Fatalf("%+v: of %v %v, %v; there is one: %v", o, all, core, ok, some)
		}
		if (o.shortfall(all) == 0) != tolerates(o, all, 1<<len(all)-1) {
			t.Fatalf("%+v: %v misses %d", o, all, o.shortfall(all))
		}
	})
}

// Given a membership and any machines that would be members, when one after another is taken in, then less is
// missing in the end wherever any of them mend that, and none is taken in, or in a member's place, for
// nothing.
func TestMembersComeWhereTheyHelp(t *testing.T) {
	small(5, func(o FaultTolerance, all []message.Node) {
		for set := 1; set < 1<<len(all); set++ {
			members, fresh := membersIn(all, set), membersIn(all, 1<<len(all)-1&^set)
			grows, swaps, sheds := false, false, false
			for some := range 1 << len(fresh) {
				come := membersIn(fresh, some)
				grows = grows || o.shortfall(slices.Concat(members, come)) < o.shortfall(members)
				for stay := range 1 << len(members) {
					next := slices.Concat(membersIn(members, stay), come)
					swaps = swaps || len(next) == len(members) && o.shortfall(next) < o.shortfall(members)
					sheds = sheds || some == 0 && len(next) > 2*o.Machines && o.shortfall(next) < o.shortfall(members)
				}
			}
			few := len(members) < 2*o.Machines+1 && len(fresh) > 0
			old, _, got := o.improvement(members, fresh)
			if (o.bestRemoval(members) != "") != sheds {
				t.Fatalf("%+v: %v sheds %q: %v", o, members, o.bestRemoval(members), sheds)
			}
			if want := grows || swaps || few; got != want || got && (old != "") != (!grows && !few) {
				t.Fatalf("%+v: %v by %v: %v %q, grows %v, swaps %v", o, members, fresh, got, old, grows, swaps)
			}
		}
	})
}

// Given a place that is free, then the zone that lacks members is first, and after that the zone of who left;
// where nothing but machines is counted, the zone alone decides.
func TestTheLearnerOfTheZoneThatLacksMembers(t *testing.T) {
	all := func(zones string) (list []message.Node) {
		for i, z := range zones {
			list = append(list, message.Node{Addr: fmt.Sprint(string(z), i), Zone: string(z)})
		}
		return list
	}
	zones := FaultTolerance{Machines: 1, Zones: 1}
	for _, c := range []struct {
		t                         FaultTolerance
		registry, fresh, of, want string
	}{
		{zones, "aabbc", "abc", "a", "c"},
		{zones, "aabbcc", "ab", "b", "b"},
		{zones, "aabcc", "ab", "a", "b"},
		{FaultTolerance{Machines: 1}, "aabbc", "abc", "a", "a"},
		{FaultTolerance{Machines: 1}, "aabbc", "bc", "a", "b"},
		{FaultTolerance{Regions: 1, RegionOfZone: map[string]string{"a": "r", "b": "r", "c": "s"}},
			"aab", "bc", "b", "c"},
	} {
		fresh := all(c.fresh)
		if got := fresh[c.t.bestAddition(all(c.registry), fresh, c.of)].Zone; got != c.want {
			t.Errorf("%+v: %s and one of %s for one of %s: %s, want %s", c.t, c.registry, c.fresh, c.of, got, c.want)
		}
	}
}
