package choice

import (
	"math"
	"math/rand/v2"
	"time"
)

// Gate makes the decisions of one gateway. It is not safe for concurrent use.
type Gate struct {
	settings        Settings
	actions         Actions
	rng             *rand.Rand
	now             time.Duration
	classes         map[string]*class
	classOrder      []*class // by class.index
	plans           map[string]*Plan
	accounts        map[accountKey]*account
	accountList     []*account          // all accounts, oldest first
	pendingCalls    map[string]*call    // counter calls without an answer, by the name of the count
	requests        map[uint64]*request // requests without a final answer
	backends        map[uint64]*backend
	backendList     []*backend    // all backends, by ID
	resumedAt       time.Duration // when the gateway last resumed after a stall
	lastWakeAt      time.Duration // last run of the periodic work
	failedCalls     int           // consecutive failed counter calls; Busy answers neither count nor reset it
	callRatio       float64       // fraction of the counter calls that are made: below 1 under counter overload
	meanExcessPrice float64       // mean cost of a unit beyond a quota, over all plans
	// refusedRatio is the fraction of requests beyond their quotas, for customers that are counted per request.
	refusedRatio       map[retryClass]float64
	deniedRatio        map[*Plan]float64 // fraction of the requested units that the counter did not grant
	nextLogAt          time.Duration     // when the next line about the counter may be logged
	inFlight           int               // attempts in flight, except to cold backends and hung ones
	limitPerBackend    float64           // limit of attempts in flight per backend, over all gateways
	meanInFlight       float64           // inFlight, averaged over a period
	latencyRatio       float64           // smoothed latency of answers, as a fraction of the latency target
	shedRatio          float64           // fraction of the requests of mean value that are shed
	meanValue          float64           // smoothed value of the requests
	retryBudget        float64           // number of retries that may be sent
	waiting            []*request        // admitted requests that wait for a backend with capacity
	fairness           fairness          // recent requests and attempts by flow
	maxWarmRate        float64           // highest recent value of currentWarmRate
	currentWarmRate    float64           // smoothed rate of answers per warm backend, per second
	warmAnswers        float64           // answers of warm backends in this period
	sentInPeriod       float64           // attempts sent in this period
	sendRate           float64           // smoothed rate of attempts sent, per second
	periods            float64           // periods since the start
	warmBackends       float64           // number of warm backends
	gatewaysPerBackend int               // number of gateways that have a backend in their subset
	maxBackends        float64           // highest recent number of backends
}

// New returns a Gate, or an error that names the first invalid setting. Gates with equal settings and seeds
// take the same actions for the same events.
func New(set Settings, seed uint64, act Actions) (*Gate, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	g := &Gate{settings: set, actions: act, rng: rand.New(rand.NewPCG(seed, 0x636f70706572)),
		classes: map[string]*class{}, plans: map[string]*Plan{}, accounts: map[accountKey]*account{},
		pendingCalls: map[string]*call{}, deniedRatio: map[*Plan]float64{},
		refusedRatio: map[retryClass]float64{}, callRatio: 1,
		requests: map[uint64]*request{}, backends: map[uint64]*backend{},
		fairness: fairness{flows: map[flow]*requestCounts{}}}
	g.settings.orDefaults()
	for _, c := range set.Classes {
		g.setClass(c)
	}
	for i := range set.Plans {
		p := &set.Plans[i]
		g.plans[p.Name] = p
		g.refusedRatio[retryClass{p, true}] = 0.5 // initial estimate: refused clients retry
		g.meanExcessPrice += p.Price * p.ExcessCost / float64(len(set.Plans))
	}
	g.resumedAt, g.limitPerBackend = -1, g.settings.MinConcurrency
	act.Wake(0)
	return g, nil
}

// setClass adds a class or replaces its settings.
func (g *Gate) setClass(c Class) {
	if k := g.classes[c.Name]; k != nil {
		k.Class = c
		return
	}
	k := &class{Class: c, index: len(g.classOrder)}
	g.classes[c.Name], g.classOrder = k, append(g.classOrder, k)
	for _, b := range g.backendList {
		b.errors, b.attempts = append(b.errors, 0), append(b.attempts, 0)
	}
}

// Class adds a class that is not in the settings, or changes one.
func (g *Gate) Class(now time.Duration, c Class) {
	g.advanceClock(now)
	g.setClass(c)
}

// class is a Class with its measurements.
type class struct {
	Class
	index          int     // of its entries in backend.errors and backend.attempts
	latencySeconds float64 // smoothed latency in seconds; 0 before the first answer
	errorRatio     float64 // smoothed fraction of attempts that failed, over all backends
}

// accountKey identifies an account: a customer has one for each plan that its requests name.
type accountKey struct {
	customer uint64
	plan     *Plan
}

// retryClass groups requests of customers that are counted per request, for the estimate of admission before
// a customer has a history of its own.
type retryClass struct {
	plan  *Plan
	retry bool
}

// windowSeconds returns the length of a customer's window: the time in which an empty token bucket fills.
func (a *account) windowSeconds() float64 { return a.plan.Burst / a.plan.Rate }

// account is the state of one customer at this gateway.
type account struct {
	id              uint64
	plan            *Plan
	spread          float64 // number of gateways that receive the customer's requests
	lastSeen        time.Duration
	awaitingCounter []*request // requests that wait for an answer of the counter

	bucket          float64       // units in the customer's token bucket, without the lease, as far as known
	bucketAt        time.Duration // when bucket was last refilled
	noTotal         bool          // no total has been received yet, or only an old one
	counterSilent   bool          // the last call failed: use a share of the quota
	totalWindow     int64         // index of the window of lastTotal
	lastTotal       float64       // last total of that window
	randomBudget    float64       // units that may still be admitted randomly
	randomBudgetAt  time.Duration // when randomBudget was last refilled
	grantRatio      float64       // smoothed fraction of the requested units granted
	unposted        float64       // units spent and not yet counted; negative: counted and not granted
	unitCallPending bool
	exhaustedWindow int64 // if counted per request: index of the half window without units left

	lease          float64 // units counted and not spent
	lent           float64 // units of the lease that are lent for this period
	borrowed       float64 // units of other customers that may be spent in this period
	alpha          float64 // allocation of the last period, in units
	record         float64 // units lent minus units borrowed
	remainder      float64 // remainder of rounding in distribute
	requestedUnits float64 // units requested in this period, including refused ones
	demand         float64 // smoothed units requested per period
	demandRate     float64 // smoothed demand, in units per second

	// Variables of the three steps of allocateQuotas. p (share of the rates), u (use of the allocation) and df
	// (weight in the distribution) are named as in the paper.
	ownAlpha, p, u, df, recordBefore, portion float64

	ceilingUnits float64       // units in this gateway's part of the ceiling's token bucket
	ceilingAt    time.Duration // when ceilingUnits was last refilled

	slotsUsed       int   // slots taken by requests
	slotsGranted    int   // slots that may be used without another call
	slotsPosted     int   // slots that this gateway has added to the current count
	openEpoch       int64 // index of the epoch of the current count
	openCallPending bool
	recentRequests  float64 // decaying count of requests
}

// call is a counter call without an answer.
type call struct {
	account     *account
	openCount   bool    // for the count of slots
	carryOver   bool    // counts in the next half window; no request waits for it
	retry       bool    // for a client's retry
	amount      float64 // units or slots added
	spentUnits  float64 // part of the amount that was spent before the call
	wantedUnits float64 // part of the amount that is requested as a lease
	sentAt      time.Duration
	window      int64 // index of the window or half window
}

// request is a client's request without a final answer.
type request struct {
	Request
	class        *class
	plan         *Plan
	account      *account
	flowCounts   *requestCounts // counts of its flow, nil before it is counted
	paid         bool           // units are drawn from the quota
	called       bool           // a call was made for it, if counted per request
	withinQuota  bool           // paid from the own quota: units may be corrected or returned
	hasSlot      bool           // has one of the slots of Plan.Open
	attempts     int            // attempts sent
	waitingSince time.Duration  // since when it has needed a backend
	current      *attempt       // attempt in flight, or nil
	mayHaveRunAt time.Duration  // send time of the first attempt that may have run
	mayHaveRunOn *backend       // backend of that attempt; nil if none may have run
	done         bool           // answered, or the client has left
}

// attempt is one attempt in flight.
type attempt struct {
	request   *request
	number    int // from 0, in the order of sending
	backend   *backend
	sentAt    time.Duration
	uncounted bool // not counted in Gate.inFlight
}

// backend is a Backend with its measurements.
type backend struct {
	Backend
	inFlight      []*attempt    // oldest first
	inFlightLimit float64       // maximum number of attempts in flight from this gateway
	queueLength   float64       // last reported number of waiting requests
	latencyRatio  float64       // smoothed latency relative to the usual one of the class
	errors        []float64     // decaying counts of errors, by class
	attempts      []float64     // decaying counts of attempts, by class
	backoff       time.Duration // last backoff after a rejected attempt, 0 after a success
	backoffUntil  time.Duration
	inSubset      bool    // in this gateway's subset of the backends
	coldBudget    float64 // attempts that may be sent while it is cold
}

// sum returns the sum of a value over accounts.
func sum(accounts []*account, value func(*account) float64) float64 {
	result := 0.0
	for _, a := range accounts {
		result += value(a)
	}
	return result
}

// roundRandomly rounds up with the probability of the fraction, so that sums over many gateways are right on
// average.
func (g *Gate) roundRandomly(x float64) float64 { return math.Floor(x + g.rng.Float64()) }

// valueIf returns the value if the condition holds, else 0.
func valueIf(condition bool, value float64) float64 {
	if condition {
		return value
	}
	return 0
}

// sameGroup reports whether two backends discard each other's duplicates.
func sameGroup(group Group, a, b *backend) bool {
	return group == GroupAll || group == GroupZone && a.Zone == b.Zone || group == GroupCell && a.Cell == b.Cell
}

// retryDecision says whether a request may be sent, or else how it may be answered.
type retryDecision int

const (
	sendAny   retryDecision = iota // to any backend
	sendGroup                      // only to the group of the attempt that may have run
	mayRefuse                      // not to be sent, but a retry by the client is safe
	mustFail                       // not to be sent, and a retry by the client might run it twice
)

// allowsSend reports whether the request may be sent.
func (d retryDecision) allowsSend() bool { return d == sendAny || d == sendGroup }
