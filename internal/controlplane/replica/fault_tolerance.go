package replica

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"dunespoke/internal/controlplane/message"
)

// FaultTolerance is what may fail at the same time without losing acknowledged data or the quorum: a number
// of machines of the core, or all its machines in a number of zones, or in a number of regions.
type FaultTolerance struct {
	Machines, Zones, Regions int // number of each that may fail
	// RegionOfZone maps each zone to its region. All zones that are not in it count as one region.
	RegionOfZone map[string]string
}

// domainKind is a kind of failure domain, and how many domains of it may fail at the same time.
type domainKind struct {
	name     string
	maxLost  int
	domainOf func(m message.Node) string
}

// domainKinds returns the kinds of domains that may fail. Machines are always included, since a chain has at
// least one.
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

// isZero reports whether no failure has to be tolerated.
func (t FaultTolerance) isZero() bool { return t.Machines == 0 && !t.coversDomains() }

// coversDomains reports whether failures of zones or regions have to be tolerated.
func (t FaultTolerance) coversDomains() bool { return t.Zones > 0 || t.Regions > 0 }

// domain is a failure domain, and how many of the given machines are in it.
type domain struct {
	name string
	size int
}

// domains returns the domains of the machines in list, the smallest first.
func (k domainKind) domains(list []message.Node) (all []domain) {
	for _, m := range list {
		i := slices.IndexFunc(all, func(d domain) bool { return d.name == k.domainOf(m) })
		if i < 0 {
			i, all = len(all), append(all, domain{name: k.domainOf(m)})
		}
		all[i].size++
	}
	slices.SortFunc(all, func(a, b domain) int {
		return cmp.Or(cmp.Compare(a.size, b.size), strings.Compare(a.name, b.name))
	})
	return all
}

// remaining returns how many machines of list remain after the failure of its largest domains, whose number
// is lost, and the names of these domains.
func (k domainKind) remaining(list []message.Node, lost int) (n int, names []string) {
	all := k.domains(list)
	n = len(list)
	for _, d := range all[max(0, len(all)-lost):] {
		n -= d.size
		names = append(names, d.name)
	}
	return n, names
}

// requiredDomains returns the minimum number of domains over which a chain must be spread, so that no
// tolerated failure covers all of it. If a tolerated failure can cover the whole membership, it is the number
// of domains of the membership.
func (k domainKind) requiredDomains(members []message.Node) int {
	return min(k.maxLost+1, len(k.domains(members)))
}

// chainSuffices reports whether a chain may serve: what it acknowledges survives any tolerated failure.
func (t FaultTolerance) chainSuffices(chain, members []message.Node) bool {
	for _, k := range t.domainKinds() {
		if len(k.domains(chain)) < k.requiredDomains(members) {
			return false
		}
	}
	return true
}

// requiredMembers returns how many members must remain after a failure: a quorum, and enough for a chain.
func (t FaultTolerance) requiredMembers(members []message.Node) int {
	return max(majority(members), min(t.Machines+1, len(members)))
}

// toleratedFailures returns how many machines may fail of those in healthy while the remaining ones can
// serve.
func (t FaultTolerance) toleratedFailures(healthy, members []message.Node) int {
	n := len(healthy) - t.requiredMembers(members)
	for _, k := range t.domainKinds()[1:] {
		// Remove machines from the smallest domains until too few domains are left for a chain.
		all, losses := k.domains(healthy), 0
		for _, d := range all[:max(0, len(all)-k.requiredDomains(members)+1)] {
			losses += d.size
		}
		n = min(n, losses-1)
	}
	return max(0, n)
}

// gap explains why the tolerated failures can't all be tolerated with the machines in healthy; it is empty if
// they can. In a membership that can tolerate them, no tolerated failure includes a quorum, so none covers a
// chain.
func (t FaultTolerance) gap(healthy, members []message.Node) string {
	required := t.requiredMembers(members)
	for _, k := range t.domainKinds() {
		if n, names := k.remaining(healthy, k.maxLost); n < required && k.maxLost > 0 {
			return fmt.Sprintf("after the loss of %s %s %d of the %d members would be left, and %d have to be",
				k.name, strings.Join(names, " and "), n, len(members), required)
		}
	}
	return ""
}

// shortfall returns how many of the required failures a membership can't tolerate, summed over all kinds.
func (t FaultTolerance) shortfall(members []message.Node) (n int) {
	required := t.requiredMembers(members)
	for _, k := range t.domainKinds() {
		for lost := k.maxLost; lost > 0; lost-- {
			if left, _ := k.remaining(members, lost); left >= required {
				break
			}
			n++
		}
	}
	return n
}

// imbalance returns a score of how badly a membership is spread, to be compared element by element: first the
// shortfall, then for each kind the sum of the squared domain sizes, so that the domain that lacks members is
// filled first.
func (t FaultTolerance) imbalance(members []message.Node) []int {
	scores := []int{t.shortfall(members)}
	for _, k := range slices.Backward(t.domainKinds()[1:]) {
		squares := 0
		for _, d := range k.domains(members) {
			squares += d.size * d.size
		}
		scores = append(scores, squares)
	}
	return scores
}

// bestAddition returns the index of the learner with which a membership is spread best. Among equal ones, it
// is the first one in the given zone, or else the first one.
func (t FaultTolerance) bestAddition(members, learners []message.Node, zone string) (bestIndex int) {
	var bestScore []int
	for i, m := range learners {
		score := t.imbalance(append(slices.Clip(members), m))
		if score = append(score, 0); m.Zone != zone {
			score[len(score)-1] = 1
		}
		if i == 0 || slices.Compare(score, bestScore) < 0 {
			bestIndex, bestScore = i, score
		}
	}
	return bestIndex
}

// improvement returns a change that lets the membership tolerate more failures, as the learner's index i and
// the address old of the member that it replaces. If adding learners doesn't help, a learner replaces a
// member of a domain that has too many; otherwise old is empty. The change may be the first of a sequence
// that improves the tolerance only as a whole.
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

// improvementSequence returns the first change of a sequence of additions, or of replacements, that improves
// the tolerance; ok is false if there is none.
func (t FaultTolerance) improvementSequence(
	members, learners []message.Node,
	replaceMembers bool,
) (old string, i int, ok bool) {
	initialShortfall := t.shortfall(members)
	for step := 0; len(learners) > 0; step++ {
		replaced, added := "", t.bestAddition(members, learners, "")
		if replaceMembers {
			replaced, added = t.bestReplacement(members, learners)
		}
		next := append(withoutAddress(members, replaced), learners[added])
		if replaceMembers && slices.Compare(t.imbalance(next), t.imbalance(members)) >= 0 {
			break
		}
		if members = next; step == 0 {
			old, i = replaced, added
		}
		if t.shortfall(members) < initialShortfall {
			return old, i, true
		}
		learners = slices.Delete(slices.Clone(learners), added, added+1)
	}
	return "", 0, false
}

// bestRemoval returns the address of a member that should leave without a replacement, from a domain that has
// too many, as the first of a sequence of removals that improves the tolerance; it is empty if there is none.
func (t FaultTolerance) bestRemoval(members []message.Node) (first string) {
	initialShortfall := t.shortfall(members)
	for initialShortfall > 0 && len(members) > 2*t.Machines+1 {
		var bestScore []int
		var old string
		for _, m := range members {
			if score := t.imbalance(withoutAddress(members, m.Addr)); bestScore == nil ||
				slices.Compare(score, bestScore) < 0 {
				old, bestScore = m.Addr, score
			}
		}
		first = cmp.Or(first, old)
		if members = withoutAddress(members, old); bestScore[0] < initialShortfall {
			return first
		}
	}
	return ""
}

// bestReplacement returns the address of the member whose replacement by one of the learners spreads the
// membership best, and the index of that learner.
func (t FaultTolerance) bestReplacement(members, learners []message.Node) (old string, best int) {
	var bestScore []int
	seen := map[string]bool{} // members of the same zone are equivalent
	for _, m := range members {
		if seen[m.Zone] {
			continue
		}
		seen[m.Zone] = true
		rest := withoutAddress(members, m.Addr)
		i := t.bestAddition(rest, learners, "")
		if score := t.imbalance(append(rest, learners[i])); bestScore == nil ||
			slices.Compare(score, bestScore) < 0 {
			old, best, bestScore = m.Addr, i, score
		}
	}
	return old, best
}

// bootstrapMembers returns the core that is formed from the given machines: all of them or, if a domain has
// too many, the largest set that can tolerate the required failures. ok is false if no set can, and then all
// machines are returned.
func (t FaultTolerance) bootstrapMembers(all []message.Node) (core []message.Node, ok bool) {
	if t.shortfall(all) == 0 {
		return all, true
	}
	if !t.coversDomains() {
		return all, false
	}
	for perZone := range len(all) {
		for perRegion := range len(all) {
			list := t.limitedPerDomain(all, perZone+1, perRegion+1)
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

// limitedPerDomain returns as many of the machines as the limits per zone and per region allow, choosing from
// the zones of a region in turn.
func (t FaultTolerance) limitedPerDomain(
	all []message.Node, maxPerZone, maxPerRegion int,
) (list []message.Node) {
	regionCounts := map[string]int{}
	for round := range maxPerZone {
		zoneCounts := map[string]int{}
		for _, m := range all {
			if zoneCounts[m.Zone]++; zoneCounts[m.Zone] == round+1 && regionCounts[t.regionOf(m)] < maxPerRegion {
				regionCounts[t.regionOf(m)]++
				list = append(list, m)
			}
		}
	}
	return list
}
