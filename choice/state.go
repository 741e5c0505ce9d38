package choice

import (
	"math"
	"math/rand/v2"
	"time"
)

// The state of a Gate. What is done with it is in choice.go.

// Gate decides for one gateway. Its methods must not be called concurrently.
type Gate struct {
	set      Settings
	act      Actions
	rng      *rand.Rand
	now      time.Duration
	classes  map[string]*class
	order    []*class // as in the settings
	plans    map[string]*Plan
	accounts map[accountKey]*account
	list     []*account // all accounts, oldest first
	calls    map[string]*call
	requests map[uint64]*request
	backends map[uint64]*backend
	fleet    []*backend
	stalled  time.Duration     // when it went on after it had stood still
	stepped  time.Duration     // last run of the three steps
	failed   int               // calls to the counter failed in a row, turned away ones left out
	ease     float64           // part of the calls that are made: 1 unless the counter shows strain
	stake    float64           // mean price of a unit beyond a quota
	refused  map[kind]float64  // share of thin customers' requests that are found beyond their quotas
	denied   map[*Plan]float64 // share of asked units not granted, by plan
	logAt    time.Duration     // when the next line about the counter may be logged
	outs     int               // attempts out in all
	level    float64           // attempts that a backend may hold, by all gateways, pooled over backends
	busy     float64           // attempts out, averaged over a period
	part     float64           // smoothed latency of answers, as a part of the aim
	shed     float64           // part of the work of mean value that is refused early
	worth    float64           // smoothed value of what is asked
	again    float64           // budget of further attempts
	waiting  []*request        // let in, and no backend has room
	fair     fairness          // what was asked and sent lately
	warmRate float64           // the most answers a second lately got from each warm backend
	warmNow  float64           // the same at present
	warmOK   float64           // answers of warm backends in this period
	sends    float64           // attempts sent in this period
	sendRate float64           // and smoothed, a second
	periods  float64           // since the start
	warm     float64           // warm backends
	holders  int               // gateways that have a backend in their part
	widest   float64           // the most backends lately
}

// New returns a Gate, or an error that names the setting it can't work with.
func New(set Settings, seed uint64, act Actions) (*Gate, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	g := &Gate{set: set, act: act, rng: rand.New(rand.NewPCG(seed, 0x636f70706572)),
		classes: map[string]*class{}, plans: map[string]*Plan{}, accounts: map[accountKey]*account{},
		calls: map[string]*call{}, denied: map[*Plan]float64{}, refused: map[kind]float64{}, ease: 1,
		requests: map[uint64]*request{}, backends: map[uint64]*backend{},
		fair: fairness{flows: map[flow]*admissions{}}}
	g.set.orDefaults()
	for _, c := range set.Classes {
		g.know(c)
	}
	for i := range set.Plans {
		p := &set.Plans[i]
		g.plans[p.Name] = p
		g.refused[kind{p, true}] = 0.5 // who is refused comes again
		g.stake += p.Price * p.ExcessCost / float64(len(set.Plans))
	}
	g.stalled, g.level = -1, g.set.MinConcurrency
	act.Wake(0)
	return g, nil
}

// know takes a class, new or as it now is.
func (g *Gate) know(c Class) {
	if k := g.classes[c.Name]; k != nil {
		k.Class = c
		return
	}
	k := &class{Class: c, index: len(g.order)}
	g.classes[c.Name], g.order = k, append(g.order, k)
	for _, b := range g.fleet {
		b.bad, b.seen = append(b.bad, 0), append(b.seen, 0)
	}
}

// Class takes a class that the settings did not name, or a change of one.
func (g *Gate) Class(now time.Duration, c Class) {
	g.tick(now)
	g.know(c)
}

type class struct {
	Class
	index   int
	usual   float64 // smoothed latency of answers, in seconds
	failing float64 // smoothed share of errors
}

// accountKey tells accounts apart: a customer has one for each plan it is named with.
type accountKey struct {
	customer uint64
	plan     *Plan
}

// kind tells requests of thin customers apart of which nothing else is known.
type kind struct {
	plan  *Plan
	again bool
}

// length is that of a customer's window, in seconds.
func (a *account) length() float64 { return a.plan.Burst / a.plan.Rate }

type account struct {
	id     uint64
	plan   *Plan
	spread float64
	seen   time.Duration
	queue  []*request // wait for an answer of the counter

	store    float64       // units in the customer's store beside this gateway's, as far as known
	storeAt  time.Duration // when it was last refilled
	fresh    bool          // no total has been seen yet
	blind    bool          // the counter did not answer: go by a share
	window   int64         // index of the window of total
	total    float64       // last total of that window
	luck     float64       // what may yet be let in by chance
	luckAt   time.Duration // when that was last filled
	grant    float64       // smoothed share of asked units granted
	unposted float64       // spent and not yet added; below 0: added and not granted
	unitCall bool
	spent    int64 // of a thin customer: index of the half window that holds no more

	lease    float64 // units added and not spent
	lent     float64 // of the lease, lent away for this period
	borrowed float64 // units of others that may be spent in this period
	alpha    float64 // the last period's allocation
	record   float64 // lent minus borrowed
	rest     float64 // remainder of integer divisions
	asked    float64 // units asked in this period, refused ones included
	demand   float64 // the same as the steps take it, smoothed
	rate     float64 // smoothed demand, units a second

	own, p, u, df, before, part float64 // of the three steps while they run

	ceiling   float64 // units of this gateway's part of the ceiling
	ceilingAt time.Duration

	out      int // attempts out, or slots taken for them
	held     int // slots granted
	posted   int // slots this gateway has added to the current count
	epoch    int64
	openCall bool
	often    float64 // requests that came lately
}

// call is one call to the counter that has not been answered.
type call struct {
	account *account
	open    bool
	carry   bool // draws from the next half window; nothing waits for it
	again   bool // for a client's repeat
	amount  float64
	used    float64 // the part of the amount that was spent before
	want    float64 // the part that asks for a lease
	sent    time.Duration
	window  int64
}

type request struct {
	Request
	class    *class
	plan     *Plan
	account  *account
	flow     *admissions // its flow's counts
	paid     bool        // units taken from the quota
	asked    bool        // a call was made for it: of thin customers
	inside   bool        // from its own store, so that true units are settled
	slot     bool
	attempts int
	since    time.Duration // when it began to look for a backend
	out      *attempt
	mayRun   time.Duration // send time of the first attempt that may have run
	home     *backend      // its backend, nil if none may have run
	done     bool
}

type attempt struct {
	request *request
	number  int
	backend *backend
	sent    time.Duration
	settled bool // no longer counted as out
}

type backend struct {
	Backend
	out    []*attempt
	limit  float64   // attempts that may be out to it
	queue  float64   // waiting requests, as last reported
	slow   float64   // smoothed latency against the fleet's, 1 as usual
	bad    []float64 // errors of late, by class
	seen   []float64 // and attempts
	rest   time.Duration
	restTo time.Duration
	mine   bool    // in this gateway's part of the fleet
	budget float64 // attempts that may be sent while it is cold
}

// total sums a value over accounts.
func total(act []*account, value func(*account) float64) float64 {
	sum := 0.0
	for _, a := range act {
		sum += value(a)
	}
	return sum
}

// round rounds by chance, so that sums over many gateways are right on average.
func (g *Gate) round(x float64) float64 { return math.Floor(x + g.rng.Float64()) }

// when is the value if the condition holds, else 0.
func when(condition bool, value float64) float64 {
	if condition {
		return value
	}
	return 0
}

func sameGroup(group Group, a, b *backend) bool {
	return group == GroupAll || group == GroupZone && a.Zone == b.Zone || group == GroupCell && a.Cell == b.Cell
}

// verdict says what may follow an attempt.
type verdict int

const (
	sendAny   verdict = iota // to any backend
	sendGroup                // only within the group of the attempt that may have run
	mayRefuse                // not again, but a retry by the client is harmless
	mustFail                 // neither
)

// again says whether the request may be sent again.
func (v verdict) again() bool { return v == sendAny || v == sendGroup }
