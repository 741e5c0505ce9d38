package replica

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"dunespoke/internal/controlplane/message"
)

// FaultTolerance is what may be lost at once with nothing acknowledged lost and a quorum left: so many
// machines of the core, or all those of so many zones, or of so many regions.
type FaultTolerance struct {
	Machines, Zones, Regions int // how many of each
	// RegionOfZone is that of each zone. Zones that it doesn't name count as one region by themselves.
	RegionOfZone map[string]string
}

// domainKind is one kind of failure domain, and how many of it may be lost at once.
type domainKind struct {
	name string
	lost int
	of   func(m message.Node) string
}

// domainKinds are those of which any may be lost; machines always, since a chain has at least one.
func (t FaultTolerance) domainKinds() []domainKind {
	list := []domainKind{{"machine", t.Machines, func(m message.Node) string { return m.Addr }}}
	if t.Zones > 0 {
		list = append(list, domainKind{"zone", t.Zones, func(m message.Node) string { return m.Zone }})
	}
	if t.Regions > 0 {
		list = append(list, domainKind{"region", t.Regions, t.regionOf})
	}
	return list
}

func (t FaultTolerance) regionOf(m message.Node) string { return t.RegionOfZone[m.Zone] }

// isZero reports whether nothing has to be tolerated.
func (t FaultTolerance) isZero() bool { return t.Machines == 0 && !t.coversDomains() }

// coversDomains reports whether more may be lost at once than single machines.
func (t FaultTolerance) coversDomains() bool { return t.Zones > 0 || t.Regions > 0 }

// domain is a failure domain, and how many of some machines it has.
type domain struct {
	name string
	size int
}

// domains are those of some machines, the smallest first.
func (k domainKind) domains(list []message.Node) (all []domain) {
	for _, m := range list {
		i := slices.IndexFunc(all, func(d domain) bool { return d.name == k.of(m) })
		if i < 0 {
			i, all = len(all), append(all, domain{name: k.of(m)})
		}
		all[i].size++
	}
	slices.SortFunc(all, func(a, b domain) int {
		return cmp.Or(cmp.Compare(a.size, b.size), strings.Compare(a.name, b.name))
	})
	return all
}

// remaining is how many of some machines are left after the loss of so many domains at worst, and which those
// are.
func (k domainKind) remaining(list []message.Node, lost int) (n int, names []string) {
	all := k.domains(list)
	n = len(list)
	for _, d := range all[max(0, len(all)-lost):] {
		n -= d.size
		names = append(names, d.name)
	}
	return n, names
}

// requiredDomains is the fewest domains over which a chain has to be spread, so that no loss of what may be
// lost covers it; of a membership that is all covered, all that it has.
func (k domainKind) requiredDomains(members []message.Node) int {
	return min(k.lost+1, len(k.domains(members)))
}

// chainSuffices reports whether a chain may serve: what it acknowledges outlives any loss of what may be
// lost.
func (t FaultTolerance) chainSuffices(chain, members []message.Node) bool {
	for _, k := range t.domainKinds() {
		if len(k.domains(chain)) < k.requiredDomains(members) {
			return false
		}
	}
	return true
}

// requiredMembers is how many members have to be left after a loss: a quorum, and enough for a chain.
func (t FaultTolerance) requiredMembers(members []message.Node) int {
	return max(majority(members), min(t.Machines+1, len(members)))
}

// toleratedFailures is how many single machines may be lost of those that are well, so that the others serve.
func (t FaultTolerance) toleratedFailures(well, members []message.Node) int {
	n := len(well) - t.requiredMembers(members)
	for _, k := range t.domainKinds()[1:] {
		// The smallest domains, machine by machine, until too few are left to be spread over.
		all, until := k.domains(well), 0
		for _, d := range all[:max(0, len(all)-k.requiredDomains(members)+1)] {
			until += d.size
		}
		n = min(n, until-1)
	}
	return max(0, n)
}

// gap tells why not all that may be lost at once can be lost of those that are well; "": it can. In a
// membership that can tolerate it, no permitted loss holds a quorum, so that none covers a chain.
func (t FaultTolerance) gap(well, members []message.Node) string {
	need := t.requiredMembers(members)
	for _, k := range t.domainKinds() {
		if n, names := k.remaining(well, k.lost); n < need && k.lost > 0 {
			return fmt.Sprintf("after the loss of %s %s %d of the %d members would be left, and %d have to be",
				k.name, strings.Join(names, " and "), n, len(members), need)
		}
	}
	return ""
}

// shortfall is how many losses fewer can be tolerated by a membership than may come, all kinds together.
func (t FaultTolerance) shortfall(members []message.Node) (n int) {
	need := t.requiredMembers(members)
	for _, k := range t.domainKinds() {
		for lost := k.lost; lost > 0; lost-- {
			if left, _ := k.remaining(members, lost); left >= need {
				break
			}
			n++
		}
	}
	return n
}

// imbalance is how badly a membership is spread, to be compared: by what it can't tolerate, then by the
// squares of its domains, so that the domain that lacks members is filled first.
func (t FaultTolerance) imbalance(members []message.Node) []int {
	by := []int{t.shortfall(members)}
	for _, k := range slices.Backward(t.domainKinds()[1:]) {
		squares := 0
		for _, d := range k.domains(members) {
			squares += d.size * d.size
		}
		by = append(by, squares)
	}
	return by
}

// bestAddition is the one of some machines that a membership is best spread with; of alike ones the first of
// a zone, else the first.
func (t FaultTolerance) bestAddition(members, learners []message.Node, zone string) (best int) {
	var least []int
	for i, m := range learners {
		by := t.imbalance(append(slices.Clip(members), m))
		if by = append(by, 0); m.Zone != zone {
			by[len(by)-1] = 1
		}
		if i == 0 || slices.Compare(by, least) < 0 {
			best, least = i, by
		}
	}
	return best
}

// improvement is a change by which more can be tolerated: a machine that comes besides the members or, where
// none helps so, takes the place of one in a domain that has too many. It is the first of a row of such
// changes.
func (t FaultTolerance) improvement(members, learners []message.Node) (old string, i int, ok bool) {
	switch {
	case len(learners) == 0 || t.shortfall(members) == 0:
		return "", 0, false
	case len(members) < 2*t.Machines+1:
		return "", t.bestAddition(members, learners, ""), true
	}
	if old, i, ok = t.improvementSequence(members, learners, false); !ok {
		old, i, ok = t.improvementSequence(members, learners, true)
	}
	return old, i, ok
}

// improvementSequence is the first of a row of changes after which more can be tolerated, if there is one.
func (t FaultTolerance) improvementSequence(
	members, learners []message.Node,
	swaps bool,
) (old string, i int, ok bool) {
	missing := t.shortfall(members)
	for step := 0; len(learners) > 0; step++ {
		out, in := "", t.bestAddition(members, learners, "")
		if swaps {
			out, in = t.bestReplacement(members, learners)
		}
		next := append(withoutAddress(members, out), learners[in])
		if swaps && slices.Compare(t.imbalance(next), t.imbalance(members)) >= 0 {
			break
		}
		if members = next; step == 0 {
			old, i = out, in
		}
		if t.shortfall(members) < missing {
			return old, i, true
		}
		learners = slices.Delete(slices.Clone(learners), in, in+1)
	}
	return "", 0, false
}

// bestRemoval is the member to go without a successor, of a domain that has too many, the first of a row
// after which more can be tolerated; "": none.
func (t FaultTolerance) bestRemoval(members []message.Node) (first string) {
	missing := t.shortfall(members)
	for missing > 0 && len(members) > 2*t.Machines+1 {
		var least []int
		var old string
		for _, m := range members {
			if by := t.imbalance(withoutAddress(members, m.Addr)); least == nil || slices.Compare(by, least) < 0 {
				old, least = m.Addr, by
			}
		}
		first = cmp.Or(first, old)
		if members = withoutAddress(members, old); least[0] < missing {
			return first
		}
	}
	return ""
}

// bestReplacement is the member whose place one of some machines takes best, and that machine.
func (t FaultTolerance) bestReplacement(members, learners []message.Node) (old string, best int) {
	var least []int
	seen := map[string]bool{} // a zone's members are alike
	for _, m := range members {
		if seen[m.Zone] {
			continue
		}
		seen[m.Zone] = true
		rest := withoutAddress(members, m.Addr)
		i := t.bestAddition(rest, learners, "")
		if by := t.imbalance(append(rest, learners[i])); least == nil || slices.Compare(by, least) < 0 {
			old, best, least = m.Addr, i, by
		}
	}
	return old, best
}

// bootstrapMembers is the core that some machines make: all of them, or, where a domain has too many, the
// most that can tolerate what may be lost; ok is false where none can, and it is all.
func (t FaultTolerance) bootstrapMembers(all []message.Node) (core []message.Node, ok bool) {
	if t.shortfall(all) == 0 {
		return all, true
	}
	if !t.coversDomains() {
		return all, false
	}
	for ofZone := range len(all) {
		for ofRegion := range len(all) {
			list := t.limitedPerDomain(all, ofZone+1, ofRegion+1)
			if len(list) > len(core) && t.shortfall(list) == 0 {
				core = list
			}
		}
	}
	if core == nil {
		return all, false
	}
	return core, true
}

// limitedPerDomain is some machines with at most so many of each zone and of each region; a region's zones
// give theirs in turn.
func (t FaultTolerance) limitedPerDomain(all []message.Node, ofZone, ofRegion int) (list []message.Node) {
	region := map[string]int{}
	for turn := range ofZone {
		zone := map[string]int{}
		for _, m := range all {
			if zone[m.Zone]++; zone[m.Zone] == turn+1 && region[t.regionOf(m)] < ofRegion {
				region[t.regionOf(m)]++
				list = append(list, m)
			}
		}
	}
	return list
}
