package replica

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"dunespoke/internal/controlplane/message"
)

// Tolerance is what may be lost at once with nothing acknowledged lost and a quorum left: so many machines of
// the core, or all those of so many zones, or of so many regions.
type Tolerance struct {
	Machines, Zones, Regions int
	// Region is that of each zone. Zones that it doesn't name count as one region by themselves.
	Region map[string]string
}

// kind is one kind of failure domain, and how many of it may be lost at once.
type kind struct {
	name string
	lost int
	of   func(m message.Machine) string
}

// kinds are those of which any may be lost; machines always, since a chain has at least one.
func (t Tolerance) kinds() []kind {
	list := []kind{{"machine", t.Machines, func(m message.Machine) string { return m.Addr }}}
	if t.Zones > 0 {
		list = append(list, kind{"zone", t.Zones, func(m message.Machine) string { return m.Zone }})
	}
	if t.Regions > 0 {
		list = append(list, kind{"region", t.Regions, t.region})
	}
	return list
}

func (t Tolerance) region(m message.Machine) string { return t.Region[m.Zone] }

// none reports whether nothing has to be borne.
func (t Tolerance) none() bool { return t.Machines == 0 && !t.byDomain() }

// byDomain reports whether more may be lost at once than single machines.
func (t Tolerance) byDomain() bool { return t.Zones > 0 || t.Regions > 0 }

// domain is a failure domain, and how many of some machines it has.
type domain struct {
	name string
	size int
}

// domains are those of some machines, the smallest first.
func (k kind) domains(list []message.Machine) (all []domain) {
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

// left is how many of some machines are left after the loss of so many domains at worst, and which those are.
func (k kind) left(list []message.Machine, lost int) (n int, names []string) {
	all := k.domains(list)
	n = len(list)
	for _, d := range all[max(0, len(all)-lost):] {
		n -= d.size
		names = append(names, d.name)
	}
	return n, names
}

// covers is the fewest domains over which a chain has to be spread, so that no loss of what may be lost
// covers it; of a registry that is all covered, all that it has.
func (k kind) covers(registry []message.Machine) int {
	return min(k.lost+1, len(k.domains(registry)))
}

// suffices reports whether a chain may serve: what it acknowledges outlives any loss of what may be lost.
func (t Tolerance) suffices(chain, registry []message.Machine) bool {
	for _, k := range t.kinds() {
		if len(k.domains(chain)) < k.covers(registry) {
			return false
		}
	}
	return true
}

// need is how many members have to be left after a loss: a quorum, and enough for a chain.
func (t Tolerance) need(registry []message.Machine) int {
	return max(majority(registry), min(t.Machines+1, len(registry)))
}

// spare is how many single machines may be lost of those that are well, so that the others serve.
func (t Tolerance) spare(well, registry []message.Machine) int {
	n := len(well) - t.need(registry)
	for _, k := range t.kinds()[1:] {
		// The smallest domains, machine by machine, until too few are left to be spread over.
		all, until := k.domains(well), 0
		for _, d := range all[:max(0, len(all)-k.covers(registry)+1)] {
			until += d.size
		}
		n = min(n, until-1)
	}
	return max(0, n)
}

// lacks tells why not all that may be lost at once can be lost of those that are well; "": it can. In a
// registry that can bear it, no permitted loss holds a quorum, so that none covers a chain.
func (t Tolerance) lacks(well, registry []message.Machine) string {
	need := t.need(registry)
	for _, k := range t.kinds() {
		if n, names := k.left(well, k.lost); n < need && k.lost > 0 {
			return fmt.Sprintf("after the loss of %s %s %d of the %d members would be left, and %d have to be",
				k.name, strings.Join(names, " and "), n, len(registry), need)
		}
	}
	return ""
}

// missing is how many losses fewer can be borne by a registry than may come, all kinds together.
func (t Tolerance) missing(registry []message.Machine) (n int) {
	need := t.need(registry)
	for _, k := range t.kinds() {
		for lost := k.lost; lost > 0; lost-- {
			if left, _ := k.left(registry, lost); left >= need {
				break
			}
			n++
		}
	}
	return n
}

// uneven is how badly a registry is spread, to be compared: by what it can't bear, then by the squares of its
// domains, so that the domain that lacks members is filled first.
func (t Tolerance) uneven(registry []message.Machine) []int {
	by := []int{t.missing(registry)}
	for _, k := range slices.Backward(t.kinds()[1:]) {
		squares := 0
		for _, d := range k.domains(registry) {
			squares += d.size * d.size
		}
		by = append(by, squares)
	}
	return by
}

// pick is the one of some machines that a registry is best spread with; of alike ones the first of a zone,
// else the first.
func (t Tolerance) pick(registry, fresh []message.Machine, zone string) (best int) {
	var least []int
	for i, m := range fresh {
		by := t.uneven(append(slices.Clip(registry), m))
		if by = append(by, 0); m.Zone != zone {
			by[len(by)-1] = 1
		}
		if i == 0 || slices.Compare(by, least) < 0 {
			best, least = i, by
		}
	}
	return best
}

// better is a change by which more can be borne: a machine that comes besides the members or, where none
// helps so, takes the place of one in a domain that has too many. It is the first of a row of such changes.
func (t Tolerance) better(registry, fresh []message.Machine) (old string, i int, ok bool) {
	switch {
	case len(fresh) == 0 || t.missing(registry) == 0:
		return "", 0, false
	case len(registry) < 2*t.Machines+1:
		return "", t.pick(registry, fresh, ""), true
	}
	if old, i, ok = t.row(registry, fresh, false); !ok {
		old, i, ok = t.row(registry, fresh, true)
	}
	return old, i, ok
}

// row is the first of a row of changes after which more can be borne, if there is one.
func (t Tolerance) row(registry, fresh []message.Machine, swaps bool) (old string, i int, ok bool) {
	missing := t.missing(registry)
	for step := 0; len(fresh) > 0; step++ {
		out, in := "", t.pick(registry, fresh, "")
		if swaps {
			out, in = t.swap(registry, fresh)
		}
		next := append(without(registry, out), fresh[in])
		if swaps && slices.Compare(t.uneven(next), t.uneven(registry)) >= 0 {
			break
		}
		if registry = next; step == 0 {
			old, i = out, in
		}
		if t.missing(registry) < missing {
			return old, i, true
		}
		fresh = slices.Delete(slices.Clone(fresh), in, in+1)
	}
	return "", 0, false
}

// shed is the member to go without a successor, of a domain that has too many, the first of a row after which
// more can be borne; "": none.
func (t Tolerance) shed(registry []message.Machine) (first string) {
	missing := t.missing(registry)
	for missing > 0 && len(registry) > 2*t.Machines+1 {
		var least []int
		var old string
		for _, m := range registry {
			if by := t.uneven(without(registry, m.Addr)); least == nil || slices.Compare(by, least) < 0 {
				old, least = m.Addr, by
			}
		}
		first = cmp.Or(first, old)
		if registry = without(registry, old); least[0] < missing {
			return first
		}
	}
	return ""
}

// swap is the member whose place one of some machines takes best, and that machine.
func (t Tolerance) swap(registry, fresh []message.Machine) (old string, best int) {
	var least []int
	seen := map[string]bool{} // a zone's members are alike
	for _, m := range registry {
		if seen[m.Zone] {
			continue
		}
		seen[m.Zone] = true
		rest := without(registry, m.Addr)
		i := t.pick(rest, fresh, "")
		if by := t.uneven(append(rest, fresh[i])); least == nil || slices.Compare(by, least) < 0 {
			old, best, least = m.Addr, i, by
		}
	}
	return old, best
}

// found is the core that some machines make: all of them, or, where a domain has too many, the most that can
// bear what may be lost; ok is false where none can, and it is all.
func (t Tolerance) found(all []message.Machine) (core []message.Machine, ok bool) {
	if t.missing(all) == 0 {
		return all, true
	}
	if !t.byDomain() {
		return all, false
	}
	for ofZone := range len(all) {
		for ofRegion := range len(all) {
			list := t.atMost(all, ofZone+1, ofRegion+1)
			if len(list) > len(core) && t.missing(list) == 0 {
				core = list
			}
		}
	}
	if core == nil {
		return all, false
	}
	return core, true
}

// atMost is some machines with at most so many of each zone and of each region; a region's zones give theirs
// in turn.
func (t Tolerance) atMost(all []message.Machine, ofZone, ofRegion int) (list []message.Machine) {
	region := map[string]int{}
	for turn := range ofZone {
		zone := map[string]int{}
		for _, m := range all {
			if zone[m.Zone]++; zone[m.Zone] == turn+1 && region[t.region(m)] < ofRegion {
				region[t.region(m)]++
				list = append(list, m)
			}
		}
	}
	return list
}
