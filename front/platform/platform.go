// Package platform is the front that speaks the platform's protocol: it turns clients' messages into
// requests of the core, and the core's answers into messages.
package platform

import (
	"cmp"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/transfer"
)

// margin is how long before the client gives up its answer is due. The way from an answer to the client took
// 0.5 ms at the 99th percentile on the bench, and the way there about 1 ms; the rest is for a late turn on a
// core that other ingresses share.
const margin = 20 * time.Millisecond

// customers is the number above all customers'. Larger ones would be mistaken for the accounts under which
// other fronts count.
const customers = 1 << 33

// Front answers the platform's clients. It is an accept.Streamer.
type Front struct {
	core     *core.Core
	classes  map[string]choice.Class
	plans    map[string]bool
	gateways int
	units    float64 // the most a request counts
	draining func() bool
	guard    Guard

	budget *flow.Budget

	mu   sync.Mutex
	open map[uint64]struct{} // ids of the requests that are being answered
}

// New returns a front for a core with the given settings. The guard may be nil. Long bodies move within the
// budget.
func New(c *core.Core, set choice.Settings, draining func() bool, guard Guard, budget *flow.Budget) *Front {
	f := &Front{core: c, guard: guard, classes: map[string]choice.Class{}, plans: map[string]bool{},
		gateways: set.Gateways, units: cmp.Or(set.MaxUnits, 1e9), draining: draining, open: map[uint64]struct{}{},
		budget: budget}
	for _, k := range set.Classes {
		f.classes[k.Name] = k
	}
	for _, p := range set.Plans {
		f.plans[p.Name] = true
	}
	return f
}

// Stream takes a request of a client.
func (f *Front) Stream(x *accept.Exchange) (leave func()) {
	r := &http1.Request{Request: x.Request, Peer: x.Peer}
	if r.URL.Path == "/healthz" {
		x.Answer(f.health(r))
		return nil
	}
	now := f.core.Now()
	in, problem := f.read(r, x.Upload.Length())
	if problem != nil {
		x.Answer(problem)
		return nil
	}
	m := in.Payload.(*message)
	m.terms = &terms
	var room *flow.Transfer
	if x.Long {
		var after time.Duration
		if room, after = f.budget.Admit(now); room == nil {
			x.Answer(Translate(core.Answer{Kind: core.Refused, RetryAfter: after}))
			return nil
		}
		own := terms
		own.Head, m.terms = in.Deadline, &own
		in.Deadline += uploadTime(x.Upload.Length()) // the client's time counts from its last byte
	}
	x.Hold(m.terms, room, 0, f.core.Now)
	m.upload = x.Upload
	if !f.begin(m.id) {
		x.Answer(http1.Plain(409, "X-Txn: that request is still being answered"))
		return nil
	}
	if left, ends := x.Left(); ends { // an answer after the process's end is none
		in.Deadline = min(in.Deadline, left-margin)
	}
	in.Deadline += now
	answer := func(a *http1.Answer) {
		f.end(m.id)
		x.Answer(a)
	}
	in.Reply = func(a core.Answer) {
		if long, ok := a.Body.(*transfer.Reply); ok {
			f.end(m.id)
			f.pass(x, in.Class, long)
			return
		}
		answer(Translate(a))
	}
	var left func()
	if f.guard != nil {
		left = f.throughGuard(r, in, answer)
	} else {
		left = f.core.Submit(in).Leave
	}
	return func() {
		f.end(m.id)
		left()
	}
}

// pass passes a long answer on. Without room it goes on all the same, in small pieces.
func (f *Front) pass(x *accept.Exchange, class string, r *transfer.Reply) {
	x.OnEnd(f.core.TrackResponse(class))
	if room, _ := f.budget.Admit(f.core.Now()); room != nil {
		x.Widen(room, f.core.Now)
	}
	x.Pass(r)
}

// begin notes that a request is being answered. It reports false if one with the same id is: app servers know
// requests by their ids, and would take the two for one.
func (f *Front) begin(id uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, taken := f.open[id]; taken {
		return false
	}
	f.open[id] = struct{}{}
	return true
}

func (f *Front) end(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, id)
}

func (f *Front) health(r *http1.Request) *http1.Answer {
	switch {
	case r.Method != http.MethodGet:
		return notAllowed("GET")
	case f.draining():
		return http1.Plain(503, "draining")
	case !f.core.Ready():
		return http1.Plain(503, "no app server known")
	}
	return http1.Plain(200, "ok")
}

// Translate words a final answer.
func Translate(a core.Answer) *http1.Answer {
	switch a.Kind {
	case core.Served:
		return a.Body.(*http1.Answer)
	case core.Refused:
		answer := http1.Plain(429, "refused")
		if a.RetryAfter > 0 {
			seconds := strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)
			answer.Header = append(answer.Header, [2]string{"Retry-After", seconds})
		}
		return answer
	}
	return http1.Plain(502, "failed")
}

func notAllowed(methods string) *http1.Answer {
	a := http1.Plain(405, "method not allowed")
	a.Header = append(a.Header, [2]string{"Allow", methods})
	return a
}

// read checks a message and makes the core's request of it, with its deadline counted from the arrival.
func (f *Front) read(r *http1.Request, length int64) (core.Request, *http1.Answer) {
	bad := func(what string) (core.Request, *http1.Answer) { return core.Request{}, http1.Plain(400, what) }
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, known := f.classes[name]
	if !known || !strings.HasPrefix(r.RequestURI, "/") {
		return core.Request{}, http1.Plain(404, "no such path")
	}
	method := http.MethodPost
	if class.Repeat == choice.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		return core.Request{}, notAllowed(method)
	}
	for _, header := range told {
		if len(r.Header[header]) > 1 {
			return bad(header + ": came more than once")
		}
	}
	in := core.Request{Class: name, Plan: r.Header.Get("X-Contract")}
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return bad("malformed query")
	}
	account, ok := hex16(query.Get("account"))
	if !ok || len(query["account"]) > 1 || account >= customers {
		return bad("account: want 16 hex digits of a number below 2^33, once")
	}
	in.Customer = account
	txn := r.Header.Get("X-Txn")
	id, ok := hex16(txn)
	if !ok {
		return bad("X-Txn: want 16 hex digits")
	}
	key := r.Header.Get("Idempotency-Key")
	switch {
	case r.Header.Get("X-Lane") != name:
		return bad("X-Lane: want the class of the path")
	case !f.plans[in.Plan]:
		return bad("X-Contract: unknown")
	case (class.Repeat == choice.Keyed) != (key != ""):
		return bad("Idempotency-Key: for the classes that carry one, and no others")
	case class.Repeat == choice.Safe && length != 0:
		return bad("a body where the class has none")
	}
	left, ok := http1.Decimal(r.Header.Get("X-Remaining"))
	if !ok || left >= 3600 {
		return bad("X-Remaining: want seconds")
	}
	in.Deadline = time.Duration(left*float64(time.Second)) - margin
	in.ClientRetry = r.Header.Get("X-Resent") == "1"
	if !f.meter(r.Header.Get("X-Metering"), &in) {
		return bad("X-Metering: want units, spread and first")
	}
	in.Payload = &message{id: id, method: r.Method, target: r.RequestURI, txn: txn, key: key,
		kind: r.Header.Get("Content-Type")}
	return in, nil
}

// told are the headers that say what a request is. One that came twice could be read in two ways.
var told = []string{"X-Txn", "X-Lane", "X-Contract", "X-Remaining", "X-Metering", "Idempotency-Key"}

// hex16 reads a number of 16 hex digits.
func hex16(text string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(text, 16, 64)
	return n, err == nil && len(text) == 16 // which leaves no room for a sign
}

// meter reads units=2,spread=3,first=1: what the request draws, and the set of ingresses that its customer's
// requests come through. A set beyond the settings' ingresses would shift the quota's shares for others.
func (f *Front) meter(text string, in *core.Request) bool {
	seen := map[string]float64{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		switch name {
		case "units", "spread", "first":
		default:
			continue
		}
		n, ok := http1.Decimal(value)
		if _, twice := seen[name]; !ok || twice {
			return false
		}
		seen[name] = n
	}
	units, spread, first := seen["units"], seen["spread"], seen["first"]
	whole := spread == math.Trunc(spread) && first == math.Trunc(first)
	n := float64(f.gateways)
	if len(seen) != 3 || !whole || units <= 0 || units > f.units || spread < 1 || spread > n || first >= n {
		return false
	}
	in.Units, in.Spread = units, int(spread)
	return true
}
