package rig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// plan is a quota, in units a second for each customer.
type plan struct {
	name               string
	rate, burst, price float64
}

// customer asks for so much of its quota.
type customer struct {
	id            uint64
	plan          *plan
	zone          string
	first, spread int
	wants         float64 // requests a second

	mu     sync.Mutex
	filled time.Time
	store  float64 // of what it may ask for inside its quota
	sent   []time.Time
}

// inside reports whether the customer may ask now by its quota, and counts it.
func (c *customer) inside(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.filled.IsZero() {
		c.filled, c.store = now, c.plan.burst
	}
	c.store = min(c.plan.burst, c.store+now.Sub(c.filled).Seconds()*c.plan.rate)
	c.filled = now
	if c.store < 1 {
		return false
	}
	c.store--
	return true
}

// quotaSpan is the time over which what was sent on is held against the quota.
const quotaSpan = 30 * time.Second

// Result is what came of a scenario.
type Result struct {
	Scenario     string              `json:"scenario"`
	Seed         uint64              `json:"seed"`
	Served       float64             `json:"served"` // part of what was asked for inside the quotas, in time
	ByZone       map[string]float64  `json:"served_by_zone"`
	Cross        float64             `json:"cross"`
	Decided      map[string]*float64 `json:"decided_s"`
	Changes      int                 `json:"changes"`
	Lost         int                 `json:"lost"`
	Twice        int                 `json:"twice"`
	OverQuota    float64             `json:"over_quota"` // most that a customer had over it in 30 s, as a part
	Disagreed    float64             `json:"disagreed_s"`
	MessagesMost int                 `json:"messages_in_max"`
	Unfair       float64             `json:"unfair"` // served of all less served of the worst zone's clients
	Late         float64             `json:"late"`
	Falls        int                 `json:"falls"` // cold servers pushed over
	Crashes      []string            `json:"crashes,omitempty"`
	Expects      []Held              `json:"expects"`
	Seconds      []Second            `json:"-"`
}

// Held is what became of an expectation.
type Held struct {
	Name string `json:"name"`
	Held bool   `json:"held"`
}

// Second is what was asked for in one second inside the quotas, by the time of the first try.
type Second struct {
	Asked, Served, Attempts, Cross float64
}

type tally struct{ asked, served, late float64 }

// judge keeps the score.
type judge struct {
	r         *Rig
	plans     []*plan
	customers []*customer
	heap      []float64 // sums of wants, to pick by

	mu       sync.Mutex
	byID     map[string]*customer
	zones    map[string]*tally
	seconds  []Second
	lost     int
	twice    int
	over     float64
	attempts map[string]int // by txn: the cell of the first run, and how often
	runs     map[string]int
	crashes  []string
}

// newJudge draws the customers: most stay under their quota, some come near it, one in twenty asks for more.
func newJudge(r *Rig) *judge {
	mean := r.sc.Load.Rate / float64(r.sc.Load.Clients)
	j := &judge{r: r, zones: map[string]*tally{}, byID: map[string]*customer{}, attempts: map[string]int{},
		runs: map[string]int{}}
	for _, p := range []plan{{"basic", 0.8 * mean, 0, 0.8}, {"standard", 1.4 * mean, 0, 1.2},
		{"extended", 2.4 * mean, 0, 1.8}} {
		p.burst = max(3, 3*p.rate)
		j.plans = append(j.plans, &p)
	}
	rng := rand.New(rand.NewPCG(r.sc.Seed, 5))
	homes := r.homes()
	total := 0.0
	for i := range r.sc.Load.Clients {
		p := j.plans[i%len(j.plans)]
		wants := 0.6
		switch x := rng.Float64(); {
		case x > 0.95:
			wants = 2
		case x > 0.8:
			wants = 0.85
		}
		home := homes[rng.IntN(len(homes))]
		c := &customer{id: uint64(i + 1), plan: p, zone: home.zone, wants: wants * p.rate}
		c.first, c.spread = r.set(home, rng)
		j.customers = append(j.customers, c)
		j.byID[fmt.Sprintf("%016x", c.id)] = c
		total += c.wants
	}
	sum := 0.0
	for _, c := range j.customers {
		c.wants *= r.sc.Load.Rate / total
		sum += c.wants
		j.heap = append(j.heap, sum)
	}
	for _, p := range j.plans { // quotas go with the load that was drawn
		p.rate *= r.sc.Load.Rate / total
		p.burst = max(3, 3*p.rate)
	}
	for zone := range r.clients {
		j.zones[zone] = &tally{}
	}
	j.seconds = make([]Second, int(r.sc.Seconds)+1)
	return j
}

// homes has each zone of clients as often as its part of the load asks for.
func (r *Rig) homes() []*actor {
	var homes []*actor
	for _, region := range r.sc.Regions {
		for _, z := range region.Zones {
			n := z.Ingresses
			if z.Load > 0 {
				n = max(1, int(10*z.Load))
			}
			for range n {
				homes = append(homes, r.clients[z.Name])
			}
		}
	}
	return homes
}

// set draws a customer's ingresses: up to three in a row, of its own zone where that has any.
func (r *Rig) set(home *actor, rng *rand.Rand) (first, spread int) {
	var mine []int
	for _, a := range r.ingresses {
		if a.zone == home.zone {
			mine = append(mine, a.number)
		}
	}
	if len(mine) == 0 {
		return rng.IntN(len(r.ingresses)), min(3, len(r.ingresses))
	}
	spread = min(3, len(mine))
	return mine[0] + rng.IntN(len(mine)-spread+1), spread
}

func (j *judge) pick(rng *rand.Rand) *customer {
	return j.customers[sort.SearchFloat64s(j.heap, rng.Float64()*j.heap[len(j.heap)-1])]
}

// done takes the end of an asking.
func (j *judge) done(end int, a *asking, inside bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if end == lost {
		j.lost++
	}
	if !inside || j.r.ctx.Err() != nil {
		return
	}
	z := j.zones[a.c.zone]
	at := min(int(a.start.Sub(j.r.begun).Seconds()), len(j.seconds)-1)
	z.asked++
	j.seconds[at].Asked++
	switch end {
	case served:
		z.served++
		j.seconds[at].Served++
	case late:
		z.late++
	}
}

// arrived takes an attempt that has come whole to a server. The first of a try counts against the quota.
func (j *judge) arrived(txn, class, account, plan string, from *actor, at *actor) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	s := &j.seconds[max(0, min(int(now.Sub(j.r.begun).Seconds()), len(j.seconds)-1))]
	s.Attempts++
	if from != nil && from.zone != at.zone {
		s.Cross++
	}
	j.attempts[txn]++
	if c := j.byID[account]; c != nil && j.attempts[txn] == 1 {
		i := 0
		for i < len(c.sent) && now.Sub(c.sent[i]) > quotaSpan {
			i++
		}
		c.sent = append(c.sent[i:], now)
		most := c.plan.rate*quotaSpan.Seconds() + c.plan.burst
		j.over = max(j.over, float64(len(c.sent))/most-1)
	}
}

// ran takes a run of a request on a core.
func (j *judge) ran(txn, class string, cell int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	before, again := j.runs[txn]
	if again && (class == "withdrawal" || class == "transfer" && before != cell) {
		j.twice++
	}
	j.runs[txn] = cell
}

func (j *judge) crashed(name string) {
	j.r.note("ingress " + name + " ended by itself")
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashes = append(j.crashes, name)
}

// line is a line of progress.
func (j *judge) line() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := int(time.Since(j.r.begun).Seconds())
	var sum Second
	for _, s := range j.seconds[max(0, now-6):max(0, min(now-1, len(j.seconds)))] {
		sum.add(s)
	}
	return fmt.Sprintf("served %.3f of what was asked in the last 5 s, %.3f of attempts to another zone",
		part(sum.Served, sum.Asked), part(sum.Cross, sum.Attempts))
}

func (s *Second) add(o Second) {
	s.Asked, s.Served = s.Asked+o.Asked, s.Served+o.Served
	s.Attempts, s.Cross = s.Attempts+o.Attempts, s.Cross+o.Cross
}

func part(a, of float64) float64 {
	if of == 0 {
		return 0
	}
	return a / of
}

// result sums up.
func (j *judge) result(sc *Scenario) *Result {
	j.mu.Lock()
	defer j.mu.Unlock()
	res := &Result{Scenario: sc.Name, Seed: sc.Seed, ByZone: map[string]float64{},
		Decided: map[string]*float64{},
		Lost:    j.lost, Twice: j.twice, OverQuota: j.over, Crashes: j.crashes, Seconds: j.seconds,
		Expects: []Held{}}
	var all tally
	worst := 1.0
	for zone, z := range j.zones {
		all.asked, all.served, all.late = all.asked+z.asked, all.served+z.served, all.late+z.late
		if z.asked > 0 {
			res.ByZone[zone] = part(z.served, z.asked)
			worst = min(worst, res.ByZone[zone])
		}
	}
	res.Served, res.Late = part(all.served, all.asked), part(all.late, all.asked)
	res.Unfair = max(0, res.Served-worst)
	res.Cross = crossOf(j.seconds)
	for _, g := range j.r.gossips {
		g.mu.Lock()
		res.MessagesMost = max(res.MessagesMost, g.mostIn)
		g.mu.Unlock()
	}
	j.r.seen.mu.Lock()
	res.Disagreed, res.Changes = j.r.seen.beyond.Seconds(), len(j.r.seen.tables)
	for zone, d := range j.r.seen.in {
		in := d.Seconds()
		res.Decided[zone] = &in
	}
	j.r.seen.mu.Unlock()
	for _, s := range j.r.servers {
		s.mu.Lock()
		res.Falls += s.falls
		s.mu.Unlock()
	}
	for _, e := range sc.Expects {
		res.Expects = append(res.Expects, Held{e.name(), e.held(res)})
	}
	return res
}

func crossOf(seconds []Second) float64 {
	var sum Second
	for _, s := range seconds {
		sum.add(s)
	}
	return part(sum.Cross, sum.Attempts)
}

// name tells an expectation apart from others.
func (e Expect) name() string {
	name := e.What
	if e.Zone != "" {
		name += " " + e.Zone
	}
	if e.Until > 0 {
		name += fmt.Sprintf(" %v-%v", time.Duration(e.From), time.Duration(e.Until))
	}
	if e.Within > 0 {
		name += " within " + time.Duration(e.Within).String()
	}
	if e.Least != nil {
		name += " least " + strconv.FormatFloat(*e.Least, 'g', -1, 64)
	}
	if e.Most != nil {
		name += " most " + strconv.FormatFloat(*e.Most, 'g', -1, 64)
	}
	return name
}

// held reports whether the result is as expected.
func (e Expect) held(res *Result) bool {
	within := func(v float64) bool {
		return (e.Least == nil || v >= *e.Least) && (e.Most == nil || v <= *e.Most) &&
			(e.Within == 0 || v <= time.Duration(e.Within).Seconds())
	}
	seconds := res.Seconds
	if e.Until > 0 {
		until := min(len(seconds), int(time.Duration(e.Until).Seconds()))
		seconds = seconds[min(until, int(time.Duration(e.From).Seconds())):until]
	}
	switch e.What {
	case "decided":
		d := res.Decided[e.Zone]
		return d != nil && within(*d)
	case "served":
		if e.Zone != "" {
			return within(res.ByZone[e.Zone])
		}
		var sum Second
		for _, s := range seconds {
			sum.add(s)
		}
		return within(part(sum.Served, sum.Asked))
	case "cross":
		return within(crossOf(seconds))
	}
	return within(map[string]float64{"changes": float64(res.Changes), "lost": float64(res.Lost),
		"twice": float64(res.Twice), "over_quota": res.OverQuota, "disagreed": res.Disagreed,
		"unfair": res.Unfair}[e.What])
}

// AllHeld reports whether all expectations held.
func (res *Result) AllHeld() bool {
	return !slices.ContainsFunc(res.Expects, func(h Held) bool { return !h.Held })
}
