package replica

import (
	"fmt"
	"slices"
	"testing"

	"dunespoke/internal/controlplane/message"
)

// These tests check the code, which computes by counting, against an exhaustive search over sets of machines.
// A set is a bit mask over the machines of a list.

// forEachSmallCluster calls check with all clusters of up to maxMachines machines in three regions, one of
// which has two zones, and with all required fault tolerances.
func forEachSmallCluster(maxMachines int, check func(t FaultTolerance, all []message.Node)) {
	region := map[string]string{"a": "r1", "b": "r1", "c": "r2", "d": "r3"}
	for layout := range 4 * 4 * 4 * 4 {
		if a, b, c, d := layout%4, layout>>2%4, layout>>4%4, layout>>6; a < b || c < d {
			continue // the same as another layout, except for the names
		}
		var all []message.Node
		for i, zone := range []string{"a", "b", "c", "d"} {
			for j := range layout >> (2 * i) % 4 {
				all = append(all, message.Node{Addr: fmt.Sprint(zone, j), Zone: zone})
			}
		}
		for limits := range 3 * 3 * 2 {
			t := FaultTolerance{Machines: limits % 3, Zones: limits / 3 % 3, Regions: limits / 9, RegionOfZone: region}
			if len(all) > 0 && len(all) <= maxMachines && !t.isZero() {
				check(t, all)
			}
		}
	}
}

// losses returns all sets of machines that consist of up to maxDomains domains of one kind.
func losses(all []message.Node, maxDomains int, domainOf func(m message.Node) string) (list []int) {
	bits := map[string]int{}
	for i, m := range all {
		bits[domainOf(m)] |= 1 << i
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
		if n <= maxDomains {
			list = append(list, lost)
		}
	}
	return list
}

// serves reports whether a set of members may be a chain: a quorum that is not covered by any tolerated
// failure, unless that covers all members.
func serves(t FaultTolerance, all []message.Node, chain int) bool {
	for _, k := range t.domainKinds() {
		for _, lost := range losses(all, min(k.maxLost, len(k.domains(all))-1), k.domainOf) {
			if chain&^lost == 0 {
				return false
			}
		}
	}
	return len(membersIn(all, chain)) >= majority(all)
}

// tolerates reports whether a set of members can serve after every tolerated failure.
func tolerates(t FaultTolerance, all []message.Node, healthy int) bool {
	for _, k := range t.domainKinds() {
		for _, lost := range losses(all, k.maxLost, k.domainOf) {
			if !serves(t, all, healthy&^lost) {
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

// Given all small memberships and fault tolerances, when any set of members is healthy, then whether these
// may serve, whether they tolerate the required failures, and how many machines may fail agree with the
// search.
func TestToleranceMatchesExhaustiveSearch(t *testing.T) {
	forEachSmallCluster(5, func(o FaultTolerance, all []message.Node) {
		for healthy := range 1 << len(all) {
			list := membersIn(all, healthy)
			spare := -1
			for _, lost := range losses(all, len(all), func(m message.Node) string { return m.Addr }) {
				n := len(membersIn(all, lost))
				if lost&^healthy == 0 && (spare < 0 || n <= spare) && !serves(o, all, healthy&^lost) {
					spare = n - 1
				}
			}
			wantServes := serves(o, all, healthy)
			if got := o.chainSuffices(list, all) && len(list) >= majority(all); got != wantServes {
				t.Fatalf("%+v: chain %v of %v may serve: %v, want %v", o, list, all, got, wantServes)
			}
			if got, want := o.gap(list, all) == "", tolerates(o, all, healthy); got != want {
				t.Fatalf("%+v: healthy %v of %v: gap %q, want tolerated: %v", o, list, all, o.gap(list, all), want)
			}
			if got := o.toleratedFailures(list, all); got != max(0, spare) {
				t.Fatalf("%+v: healthy %v of %v: %d failures tolerated, want %d", o, list, all, got, spare)
			}
		}
	})
}

// Given all small sets of machines, when a core is formed from them, then it tolerates the required failures
// if any subset of the machines does.
func TestBootstrapMembersTolerateLossesWhenPossible(t *testing.T) {
	forEachSmallCluster(7, func(o FaultTolerance, all []message.Node) {
		possible := false
		for set := 1; set < 1<<len(all) && !possible; set++ {
			list := membersIn(all, set)
			possible = o.shortfall(list) == 0
		}
		core, ok := o.bootstrapMembers(all)
		if ok != possible || ok && !tolerates(o, core, 1<<len(core)-1) || !ok && len(core) != len(all) {
			t.Fatalf("%+v: from %v formed %v, tolerated: %v, possible: %v", o, all, core, ok, possible)
		}
		if (o.shortfall(all) == 0) != tolerates(o, all, 1<<len(all)-1) {
			t.Fatalf("%+v: %v has shortfall %d", o, all, o.shortfall(all))
		}
	})
}

// Given a membership and learners, when learners are added one after the other, then the shortfall is reduced
// if any change by these learners reduces it, and no member is added, replaced or removed without that
// effect.
func TestMembershipChangesReduceShortfall(t *testing.T) {
	forEachSmallCluster(5, func(o FaultTolerance, all []message.Node) {
		for set := 1; set < 1<<len(all); set++ {
			members, learners := membersIn(all, set), membersIn(all, 1<<len(all)-1&^set)
			additionHelps, replacementHelps, removalHelps := false, false, false
			for subset := range 1 << len(learners) {
				added := membersIn(learners, subset)
				additionHelps = additionHelps || o.shortfall(slices.Concat(members, added)) < o.shortfall(members)
				for kept := range 1 << len(members) {
					next := slices.Concat(membersIn(members, kept), added)
					replacementHelps = replacementHelps ||
						len(next) == len(members) && o.shortfall(next) < o.shortfall(members)
					removalHelps = removalHelps ||
						subset == 0 && len(next) > 2*o.Machines && o.shortfall(next) < o.shortfall(members)
				}
			}
			tooFew := len(members) < 2*o.Machines+1 && len(learners) > 0
			old, _, got := o.improvement(members, learners)
			if (o.bestRemoval(members) != "") != removalHelps {
				t.Fatalf("%+v: %v removes %q, want a removal: %v", o, members, o.bestRemoval(members), removalHelps)
			}
			if want := additionHelps || replacementHelps || tooFew; got != want ||
				got && (old != "") != (!additionHelps && !tooFew) {
				t.Fatalf("%+v: %v with %v: change %v of %q, addition helps: %v, replacement helps: %v",
					o, members, learners, got, old, additionHelps, replacementHelps)
			}
		}
	})
}

// Given a free place among the members, when a learner is chosen, then one of the zone that lacks members is
// preferred, and then one of the zone of the member that left. If only machines are counted, just the zone of
// the member that left matters.
func TestBestAdditionPrefersUnderrepresentedZone(t *testing.T) {
	nodesInZones := func(zones string) (list []message.Node) {
		for i, z := range zones {
			list = append(list, message.Node{Addr: fmt.Sprint(string(z), i), Zone: string(z)})
		}
		return list
	}
	zones := FaultTolerance{Machines: 1, Zones: 1}
	for _, c := range []struct {
		t                             FaultTolerance
		members, learners, zone, want string
	}{
		{zones, "aabbc", "abc", "a", "c"},
		{zones, "aabbcc", "ab", "b", "b"},
		{zones, "aabcc", "ab", "a", "b"},
		{FaultTolerance{Machines: 1}, "aabbc", "abc", "a", "a"},
		{FaultTolerance{Machines: 1}, "aabbc", "bc", "a", "b"},
		{FaultTolerance{Regions: 1, RegionOfZone: map[string]string{"a": "r", "b": "r", "c": "s"}},
			"aab", "bc", "b", "c"},
	} {
		learners := nodesInZones(c.learners)
		if got := learners[c.t.bestAddition(nodesInZones(c.members), learners, c.zone)].Zone; got != c.want {
			t.Errorf("%+v: members in %s, learners in %s, zone %s: chose %s, want %s",
				c.t, c.members, c.learners, c.zone, got, c.want)
		}
	}
}
