package choice_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"dunespoke/choice"
)

const ms = time.Millisecond

// recorder implements Actions and records the calls.
type recorder struct {
	lines   []string
	sends   []sendCall
	adds    []addCall
	refused map[uint64]time.Duration
	failed  map[uint64]bool
}

// sendCall is a call of Actions.Send.
type sendCall struct {
	request, backend uint64
	timeout          time.Duration
}

// addCall is a call of Actions.Add.
type addCall struct {
	name   string
	amount float64
}

func newRecorder() *recorder {
	return &recorder{refused: map[uint64]time.Duration{}, failed: map[uint64]bool{}}
}

func (e *recorder) record(format string, args ...any) {
	e.lines = append(e.lines, fmt.Sprintf(format, args...))
}

func (e *recorder) Send(r, b uint64, t time.Duration) {
	e.sends = append(e.sends, sendCall{r, b, t})
	e.record("send %d %d %v", r, b, t)
}
func (e *recorder) Cancel(r uint64, n int) { e.record("cancel %d %d", r, n) }
func (e *recorder) Refuse(r uint64, w time.Duration) {
	e.refused[r] = w
	e.record("refuse %d %v", r, w)
}
func (e *recorder) Fail(r uint64) {
	e.failed[r] = true
	e.record("fail %d", r)
}
func (e *recorder) Wake(d time.Duration) { e.record("wake %v", d) }
func (e *recorder) Add(n string, x float64, k time.Duration) {
	e.adds = append(e.adds, addCall{n, x})
	e.record("add %s %v %v", n, x, k)
}
func (e *recorder) Log(l string) { e.record("log %s", l) }

func settings() choice.Settings {
	return choice.Settings{
		Zone: "a", Gateways: 3, MaxUnits: 4, Counter: true, CounterTimeout: 30 * ms, MaxAttempts: 3,
		DialTimeout: 250 * ms, MaxRetryAfter: time.Second, Cancel: true, QueueField: -1,
		ColdCapacity: 0.2, ColdTime: 10 * time.Second, FallMultiple: 2, FallTime: time.Second,
		Classes: []choice.Class{
			{Name: "read", Aim: time.Second, Deadline: 3 * time.Second, Worth: 1},
			{Name: "pay", Repeat: choice.Unsafe, Aim: time.Second, Deadline: 3 * time.Second, Worth: 5},
		},
		Plans: []choice.Plan{
			{Name: "hard", Rate: 10, Burst: 30, Price: 1, ExcessCost: 0.8},
			{Name: "soft", Rate: 5, Burst: 10, Price: 1, BeyondEarns: 0.3},
			{Name: "open", Open: 3, Price: 1, ExcessCost: 1},
			{Name: "roof", Rate: 20, Burst: 40, CeilingRate: 40, CeilingBurst: 80, CeilingSlack: 8, Price: 1,
				BeyondEarns: 0.3},
		},
	}
}

func newGate(t testing.TB, e *recorder, backends ...choice.Backend) *choice.Gate {
	t.Helper()
	g, err := choice.New(settings(), 7, e)
	if err != nil {
		t.Fatal(err)
	}
	if backends == nil {
		backends = []choice.Backend{{ID: 1, Zone: "a"}, {ID: 2, Zone: "a"}}
	}
	g.Backends(0, true, backends)
	return g
}

func request(id uint64, class, plan string, units float64, now time.Duration) choice.Request {
	return choice.Request{ID: id, Class: class, Plan: plan, Customer: 9, Units: units, Spread: 3,
		Deadline: now + 2*time.Second}
}

// answerOK reports that the i-th send succeeded.
func answerOK(g *choice.Gate, e *recorder, now time.Duration, i int) {
	s := e.sends[i]
	g.Outcome(now, choice.Outcome{Request: s.request, Backend: s.backend, Code: choice.OK, Ended: true})
}

func TestFirstRequestDoesNotWaitForTheCounter(t *testing.T) {
	e := newRecorder()
	g := newGate(t, e)
	g.Request(0, request(1, "read", "hard", 4, 0))
	if len(e.sends) != 1 || len(e.adds) != 1 || e.adds[0].amount != 4 {
		t.Fatalf("sends %v adds %v, want one of each, 4 units added", e.sends, e.adds)
	}
	// The other gateways drew 60: the burst of 30 and the refill of a window.
	g.Counted(2*ms, e.adds[0].name, choice.OK, 64)
	g.Request(3*ms, request(2, "read", "hard", 4, 0))
	if _, refused := e.refused[2]; !refused {
		t.Fatal("admitted 4 units from an empty bucket")
	}
}

func TestRequestWaitsForRenewalThatLeasesAhead(t *testing.T) {
	e := newRecorder()
	g := newGate(t, e)
	g.Request(0, request(1, "read", "hard", 2, 0))
	g.Counted(2*ms, e.adds[0].name, choice.OK, 2)
	for i := range 5 {
		g.Wake(time.Duration(i+1) * 200 * ms)
	}
	now := 1100 * ms
	g.Request(now, request(2, "read", "hard", 2, now))
	if len(e.sends) != 1 || len(e.adds) != 2 {
		t.Fatalf("sends %d adds %d: want the second request to wait for the counter", len(e.sends), len(e.adds))
	}
	g.Counted(now+2*ms, e.adds[1].name, choice.OK, 2+e.adds[1].amount)
	if len(e.sends) != 2 || e.adds[1].amount <= 2 {
		t.Fatalf("sends %d, added %v: want the request sent, and future demand leased", len(e.sends),
			e.adds[1].amount)
	}
}

// Guards against a request with almost no time left that waits for the counter and gets no answer.
func TestNoWaitWithoutTimeLeft(t *testing.T) {
	e := newRecorder()
	g := newGate(t, e)
	r := request(1, "read", "open", 1, 0)
	r.Deadline = 1 * ms
	g.Request(0, r)
	if _, refused := e.refused[1]; !refused && len(e.sends) == 0 {
		t.Fatal("request neither sent nor answered")
	}
}

// Guards against refusing an account because its lease can't be renewed while few calls are made.
func TestCounterDownFallsBackToShare(t *testing.T) {
	e := newRecorder()
	g := newGate(t, e)
	for i := uint64(1); i <= 4; i++ { // other customers find the counter down
		r := request(i, "read", "hard", 1, 0)
		r.Customer = 100 + i
		g.Request(0, r)
	}
	known := request(5, "read", "hard", 1, 0)
	g.Request(0, known)
	g.Counted(1*ms, e.adds[4].name, choice.OK, 1)
	for _, a := range e.adds[:4] {
		g.Counted(30*ms, a.name, choice.TimedOut, 0)
	}
	for i := range e.sends {
		answerOK(g, e, 35*ms, i)
	}
	before := len(e.sends)
	admitted, now := 0, 40*ms
	for id := uint64(10); now < 20*time.Second; id++ {
		g.Request(now, request(id, "read", "hard", 1, now))
		if len(e.sends) > before {
			admitted += len(e.sends) - before
			before = len(e.sends)
			answerOK(g, e, now, before-1)
		}
		for _, a := range e.adds[5:] {
			g.Counted(now, a.name, choice.Busy, 0)
		}
		now += 20 * ms
	}
	// A third of 10 units per second for 20 s, and the units that were known to be in the bucket of 30.
	if admitted < 60 || admitted > 100 {
		t.Fatalf("%d units admitted while the counter was down, want about 30 and 67", admitted)
	}
}

// Guards against sending requests to backends in backoff when the others are only at their limits.
func TestBusyBackendsDoNotEndBackoffOfOthers(t *testing.T) {
	e := newRecorder()
	g := newGate(t, e)
	refusedAttempts := 0
	for id := uint64(1); id <= 30; id++ {
		r := request(id, "read", "hard", 0.5, 0)
		r.Customer = id
		g.Request(0, r)
		for len(e.sends) > 0 {
			s := e.sends[0]
			e.sends = e.sends[1:]
			if s.backend == 2 {
				refusedAttempts++
				g.Outcome(0, choice.Outcome{Request: s.request, Backend: 2, Code: choice.Refused})
			}
		}
	}
	if refusedAttempts > 2 {
		t.Fatalf("%d attempts on a backend that refuses connections", refusedAttempts)
	}
}

func TestUnsafeIsRepeatedOnlyIfItNeverRan(t *testing.T) {
	for _, code := range []choice.Code{choice.Error, choice.Busy, choice.TimedOut, choice.Refused, choice.Reset,
		choice.Cancelled} {
		e := newRecorder()
		g := newGate(t, e)
		g.Request(0, request(1, "pay", "hard", 1, 0))
		s := e.sends[0]
		g.Outcome(5*ms, choice.Outcome{Request: 1, Backend: s.backend, Code: code})
		if again := len(e.sends) == 2; again != code.NeverRan() {
			t.Errorf("code %d: retried: %v", code, again)
		}
		if _, refused := e.refused[1]; refused || e.failed[1] == code.NeverRan() {
			t.Errorf("code %d: refused %v failed %v", code, refused, e.failed[1])
		}
	}
}

func TestDrainingAndGoneBackendsGetNoAttempts(t *testing.T) {
	for _, state := range []choice.State{choice.Draining, choice.Gone} {
		e := newRecorder()
		g := newGate(t, e)
		g.Backends(0, false, []choice.Backend{{ID: 1, Zone: "a", State: state}})
		for id := uint64(1); id <= 6; id++ {
			g.Request(0, request(id, "read", "soft", 0.5, 0))
		}
		if slices.ContainsFunc(e.sends, func(s sendCall) bool { return s.backend == 1 }) || len(e.sends) == 0 {
			t.Errorf("state %d: sends %v", state, e.sends)
		}
	}
}

func TestColdBackendIsLimitedToItsBudget(t *testing.T) {
	e := newRecorder()
	warm := []choice.Backend{{ID: 1, Zone: "a"}, {ID: 2, Zone: "a"}}
	g := newGate(t, e, warm...)
	g.Backends(0, false, []choice.Backend{{ID: 3, Zone: "a", Started: 1}})
	cold, all := 0, 0
	for now := time.Duration(0); now < 2*time.Second; now += 10 * ms {
		if now%(200*ms) == 0 {
			g.Wake(now)
		}
		id := uint64(now/ms) + 1
		r := request(id, "read", "hard", 1, now)
		r.Customer = id
		g.Request(now, r)
		if len(e.sends) > 1 { // each attempt is answered after 20 ms
			answerOK(g, e, now, 0)
			all++
			if e.sends[0].backend == 3 {
				cold++
			}
			e.sends = e.sends[1:]
		}
	}
	// At 0.2 to 0.36 of a warm backend's rate of about 80 per second it may get at most about 25 per second.
	if cold == 0 || cold > 60 || all < 150 {
		t.Fatalf("%d of %d attempts to a cold backend", cold, all)
	}
}

func TestOpenLimitCountsAttemptsInFlight(t *testing.T) {
	e := newRecorder()
	g := newGate(t, e)
	total := 2.0 // other gateways use two of three slots
	answer := func(now time.Duration) {
		for len(e.adds) > 0 {
			a := e.adds[0]
			e.adds = e.adds[1:]
			total += a.amount
			g.Counted(now, a.name, choice.OK, total)
		}
	}
	g.Request(0, request(1, "read", "open", 1, 0))
	g.Request(0, request(2, "read", "open", 1, 0))
	answer(2 * ms)
	if _, refused := e.refused[2]; len(e.sends) != 1 || !refused {
		t.Fatalf("sends %v refused %v, want one slot granted", e.sends, e.refused)
	}
	answerOK(g, e, 50*ms, 0)
	answer(52 * ms)
	if total != 2 {
		t.Fatalf("count is %v after the end, want the 2 of the other gateways", total)
	}
}

// A call whose connection broke was most likely counted. Guards against never returning its slot, which would
// then be missing until the count expires.
func TestSlotOfALostCallIsReturned(t *testing.T) {
	for code, total := range map[choice.Code]float64{choice.Reset: 1, choice.TimedOut: 1, choice.Busy: 0} {
		e := newRecorder()
		g := newGate(t, e)
		g.Request(0, request(1, "read", "open", 1, 0))
		g.Counted(2*ms, e.adds[0].name, code, 0)
		answerOK(g, e, 50*ms, 0) // admitted by the even share
		for now, done := 100*ms, 1; now < 4*time.Second; now += 100 * ms {
			for g.Wake(now); done < len(e.adds); done++ {
				total += e.adds[done].amount
				g.Counted(now, e.adds[done].name, choice.OK, total)
			}
		}
		if total != 0 {
			t.Errorf("after code %d the count is %v, with nothing in flight", code, total)
		}
	}
}

// The ceiling is not exceeded by gates whose counter always answers that no other gateway has drawn units,
// and which restart from time to time.
func TestCeilingWithWrongTotalsAndRestarts(t *testing.T) {
	p := settings().Plans[3]
	type gateway struct {
		g *choice.Gate
		e *recorder
	}
	start := func(now time.Duration) gateway {
		e := newRecorder()
		g := newGate(t, e)
		g.Backends(now, true, []choice.Backend{{ID: 1, Zone: "a"}, {ID: 2, Zone: "a"}})
		return gateway{g, e}
	}
	gates := []gateway{start(0), start(0), start(0)}
	bucket, lowest, sent := p.CeilingBurst, math.Inf(1), 0.0
	for now := time.Duration(0); now < 30*time.Second; now += 10 * ms {
		bucket = min(p.CeilingBurst, bucket+p.CeilingRate*0.01)
		for i := range gates {
			if now%(4*time.Second) == time.Duration(i)*500*ms {
				gates[i] = start(now)
			}
			v := gates[i]
			if now%(200*ms) == 0 {
				v.g.Wake(now)
			}
			if now > 10*time.Second && now < 14*time.Second {
				continue // a pause that fills every bucket
			}
			r := request(uint64(now/ms)*4+uint64(i)+1, "read", "roof", 4, now)
			v.g.Request(now, r)
			for len(v.e.adds) > 0 {
				a := v.e.adds[0]
				v.e.adds = v.e.adds[1:]
				v.g.Counted(now, a.name, choice.OK, max(a.amount, 0))
			}
			for j := range v.e.sends {
				bucket -= 4
				sent += 4
				answerOK(v.g, v.e, now, j)
			}
			v.e.sends = nil
			lowest = min(lowest, bucket)
		}
	}
	if lowest < -p.CeilingSlack || sent < 400 {
		t.Fatalf("bucket fell to %.1f (slack %v) with %.0f units sent", lowest, p.CeilingSlack, sent)
	}
}

func TestUnknownNamesAndEventsAreSafe(t *testing.T) {
	e := newRecorder()
	g := newGate(t, e)
	g.Request(0, request(1, "nosuch", "hard", 1, 0))
	g.Request(0, request(2, "read", "nosuch", 1, 0))
	if len(e.refused) != 2 {
		t.Fatalf("refused %v, want both", e.refused)
	}
	g.Outcome(0, choice.Outcome{Request: 99})
	g.Left(0, 99)
	g.Counted(0, "nosuch", choice.OK, 1)
	g.Backends(0, false, []choice.Backend{{ID: 77, State: choice.Gone}})
}

func TestInvalidSettings(t *testing.T) {
	for _, change := range []func(*choice.Settings){
		func(s *choice.Settings) { s.Gateways = 0 },
		func(s *choice.Settings) { s.MaxAttempts = 0 },
		func(s *choice.Settings) { s.Plans[0].Burst = 0 },
		func(s *choice.Settings) { s.Plans[0].Price = math.NaN() },
		func(s *choice.Settings) { s.Plans[3].CeilingRate = -1 },
		func(s *choice.Settings) { s.Classes[0].Aim = 0 },
	} {
		s := settings()
		change(&s)
		if _, err := choice.New(s, 1, newRecorder()); err == nil {
			t.Errorf("accepted %+v", s)
		}
	}
	s := settings()
	s.Plans, s.Gateways = nil, 1
	if _, err := choice.New(s, 1, newRecorder()); err != nil {
		t.Errorf("no plans, one gateway: %v", err)
	}
}

func TestLogLineIsRateLimited(t *testing.T) {
	e := newRecorder()
	g := newGate(t, e)
	for i := range uint64(40) {
		now := time.Duration(i) * 300 * ms
		r := request(i+1, "read", "hard", 1, now)
		r.Customer = i
		g.Request(now, r)
		for _, a := range e.adds {
			code := choice.TimedOut
			if i%5 == 4 {
				code = choice.OK
			}
			g.Counted(now+ms, a.name, code, 1)
		}
		e.adds = nil
	}
	logs := 0
	for _, l := range e.lines {
		if strings.HasPrefix(l, "log counter down") {
			logs++
		}
	}
	if logs < 1 || logs > 2 {
		t.Fatalf("%d lines in 12 s of a failing counter, want one per 10 s", logs)
	}
}

// replayEvents sends a gate events made from bytes, in any order, and checks the invariants of final answers.
// It returns the recorded actions.
func replayEvents(t *testing.T, data []byte) []string {
	e := newRecorder()
	g := newGate(t, e)
	now := time.Duration(0)
	s := settings()
	requested := map[uint64]bool{}
	for i, b := range data {
		k := int(b)
		switch k % 8 {
		case 0, 1:
			id := uint64(i + 1)
			r := request(id, s.Classes[k/8%2].Name, s.Plans[k/16%4].Name, float64(k%5), now)
			r.Customer = uint64(k / 64)
			requested[id] = true
			g.Request(now, r)
		case 2, 3:
			if len(e.sends) > 0 {
				x := e.sends[k/8%len(e.sends)]
				code := choice.Code(k / 16 % 8)
				g.Outcome(now, choice.Outcome{Request: x.request, Attempt: k % 3, Backend: x.backend, Code: code,
					Units: float64(k % 7)})
			}
		case 4:
			for _, a := range e.adds {
				g.Counted(now, a.name, choice.Code(k/16%4), float64(k%40)-5)
			}
			e.adds = nil
		case 5:
			g.Wake(now)
		case 6:
			g.Backends(now, k&8 > 0, []choice.Backend{{ID: uint64(k / 32), Zone: "a", State: choice.State(k / 16 % 3),
				Started: now * time.Duration(k/64%2)}})
		case 7:
			now += time.Duration(k) * ms
		}
		if len(e.refused)+len(e.failed) > len(requested) {
			t.Fatal("more final answers than requests")
		}
	}
	for id := range e.refused {
		if e.failed[id] || !requested[id] {
			t.Fatalf("request %d: two final answers, or one for an unknown request", id)
		}
	}
	return e.lines
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("\x00\x10\x04\x02\x05\x0f\x12\x07\x05\x06\x20\x30"))
	f.Add([]byte("qrstuvwxyz0123456789abcdefghijklmnop"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if a, b := replayEvents(t, data), replayEvents(t, data); !slices.Equal(a, b) {
			t.Fatal("the same events gave different actions")
		}
	})
}

// Example sends a gate the events of one request, which is admitted immediately and served.
func Example() {
	e := newRecorder()
	g, err := choice.New(settings(), 1, e)
	if err != nil {
		fmt.Println(err)
		return
	}
	g.Backends(0, true, []choice.Backend{{ID: 1, Zone: "a"}})
	g.Request(10*ms, choice.Request{ID: 1, Class: "read", Plan: "hard", Customer: 5, Units: 2, Spread: 3,
		Deadline: 3 * time.Second})
	g.Outcome(90*ms, choice.Outcome{Request: 1, Backend: 1, Code: choice.OK, Took: 80 * ms, Ended: true})
	fmt.Println(e.lines[1:3])
	// Output: [add u5.0 2 7s send 1 1 2.99s]
}

// Guards against taking units that peers return, because they were not granted, for counts that the counter
// lost.
func TestUnitsReturnedByPeersRefillTheBucket(t *testing.T) {
	e := newRecorder()
	g := newGate(t, e)
	g.Request(0, request(1, "read", "hard", 4, 0))
	g.Counted(2*ms, e.adds[0].name, choice.OK, 4)
	g.Request(4*ms, request(2, "read", "hard", 4, 0))
	g.Counted(6*ms, e.adds[1].name, choice.OK, 8+26) // peers drew all that was left
	if _, refused := e.refused[2]; !refused || e.adds[2].amount != -4 {
		t.Fatalf("refused %v, adds %v: want it refused and its units returned", e.refused, e.adds)
	}
	g.Counted(8*ms, e.adds[2].name, choice.OK, 30-8) // a peer returns 8
	g.Request(10*ms, request(3, "read", "hard", 4, 0))
	g.Counted(12*ms, e.adds[3].name, choice.OK, 22+e.adds[3].amount)
	if len(e.sends) != 2 {
		t.Fatalf("sends %v, want the third request admitted", e.sends)
	}
}

// Guards against posting all units spent during an outage of the counter when it ends: for the peers that
// would empty the bucket, although it was refilled meanwhile.
func TestOldSpendingDuringAnOutageIsNotPosted(t *testing.T) {
	e := newRecorder()
	g := newGate(t, e)
	for i := range uint64(200) {
		now := time.Duration(i) * 100 * ms
		g.Request(now, request(i+1, "read", "hard", 1, now))
		for len(e.adds) > 0 && i < 180 {
			g.Counted(now, e.adds[0].name, choice.Busy, 0)
			e.adds = e.adds[1:]
		}
		for j := range e.sends {
			answerOK(g, e, now, j)
		}
		e.sends = nil
	}
	for _, a := range e.adds {
		if a.amount > 10+1 { // a third of the burst of 30
			t.Fatalf("%v units posted after an outage", a.amount)
		}
	}
	if len(e.adds) == 0 {
		t.Fatal("nothing posted")
	}
}

// Guards against sending nothing when all backends are cold, because no rate of warm backends is known.
func TestColdBackendsAreUsedWithoutWarmOnes(t *testing.T) {
	e := newRecorder()
	cold := choice.Backend{ID: 1, Zone: "a", Started: 1}
	g := newGate(t, e, cold)
	for now := time.Duration(0); now < 4*time.Second; now += 100 * ms {
		if now%(200*ms) == 0 {
			g.Wake(now)
		}
		r := request(uint64(now/ms)+1, "read", "hard", 1, now)
		r.Customer = r.ID
		g.Request(now, r)
		if len(e.sends) > 0 {
			return
		}
	}
	t.Fatal("nothing was sent in four seconds")
}

// Guards against using a backend that fails one class and serves another for both classes, or for neither.
func TestErrorsAreCountedByClass(t *testing.T) {
	e := newRecorder()
	g := newGate(t, e)
	last := map[string]int{}
	for id := uint64(1); id <= 200; id++ {
		now := time.Duration(id) * 60 * ms
		r := request(id, []string{"read", "pay"}[id%2], "hard", 1, now)
		r.Customer = id
		before := len(e.sends)
		g.Request(now, r)
		for i := before; i < len(e.sends); i++ {
			s := e.sends[i]
			code := choice.OK
			if s.backend == 1 && r.Class == "pay" {
				code = choice.Error
			}
			if s.backend == 1 && id > 100 {
				last[r.Class]++
			}
			g.Outcome(now+50*ms, choice.Outcome{Request: s.request, Backend: s.backend, Code: code})
		}
	}
	if last["pay"] > 5 || last["read"] < 20 {
		t.Fatalf("attempts on the backend that fails %q only: %v", "pay", last)
	}
}

// Guards against counting units twice by posting them again after the connection of a call broke, which may
// have been counted.
func TestOnlyCallsThatNeverRanArePostedAgain(t *testing.T) {
	posted := func(code choice.Code) (units float64) {
		e := newRecorder()
		g := newGate(t, e)
		for i := range uint64(30) {
			now := time.Duration(i) * 10 * ms
			if i < 2 {
				g.Request(now, request(i+1, "read", "hard", 4, now))
			} else {
				g.Wake(now)
			}
			for j, a := range e.adds {
				if i > 0 || j > 0 {
					units += a.amount
					g.Counted(now, a.name, choice.OK, a.amount)
				} else {
					g.Counted(now, a.name, code, 0)
				}
			}
			e.adds = nil
		}
		return units
	}
	if again, once := posted(choice.Refused), posted(choice.Reset); again < once+3 {
		t.Fatalf("%v units posted after a call that never ran, %v after one that may have", again, once)
	}
}

// Guards against units of a lost call that stay counted although nobody leased them, and that the gateway
// then takes for units of other gateways: a slow counter would empty the buckets of customers with little
// use.
func TestLostCallIsOwnAndItsLeaseIsReturned(t *testing.T) {
	e := newRecorder()
	g := newGate(t, e)
	counted, lost, sent := 0.0, 0.0, 0
	for i := range uint64(20) {
		now := time.Duration(i) * 100 * ms
		g.Wake(now)
		g.Request(now, request(i+1, "read", "hard", 1, now))
		for len(e.adds) > 0 {
			a, code := e.adds[0], choice.OK
			e.adds = e.adds[1:]
			if i > 2 && lost == 0 && a.amount > 1 {
				lost, code = a.amount, choice.TimedOut
			}
			counted += a.amount // the counter counts every call, even a late one
			g.Counted(now+2*ms, a.name, code, counted)
		}
		for j := range e.sends {
			answerOK(g, e, now+2*ms, j)
		}
		sent += len(e.sends)
		e.sends = nil
	}
	unspent := counted - float64(sent) // units leased and not spent
	if sent != 20 || lost == 0 || unspent > 4 {
		t.Fatalf("%d requests admitted, a call of %v units lost; %v units counted", sent, lost, counted)
	}
}
