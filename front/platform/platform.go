// Package platform is the front for the platform's protocol: it converts HTTP requests of clients into
// requests of the core, and answers of the core into HTTP responses.
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

// deadlineMargin is the time before the client's time-out at which its answer is due. The response takes
// 0.5 ms to reach the client at the 99th percentile, and the request about 1 ms to arrive; the rest covers
// scheduling delays on a CPU core that is shared with other ingresses.
const deadlineMargin = 20 * time.Millisecond

// customerLimit is an exclusive upper limit of customer numbers. Larger numbers are the accounts that other
// fronts use, and would be confused with them.
const customerLimit = 1 << 33

// Front answers the platform's clients. It implements accept.Streamer.
type Front struct {
	core     *core.Core
	classes  map[string]choice.Class
	plans    map[string]bool
	gateways int
	maxUnits float64 // of one request
	draining func() bool
	guard    Guard

	budget *flow.Budget

	mu        sync.Mutex
	activeIDs map[uint64]struct{} // ids of the requests without a final answer; guarded by mu
}

// New returns a front for a core with the given settings. The guard may be nil. The budget limits the memory
// for long bodies.
func New(c *core.Core, settings choice.Settings, draining func() bool, guard Guard,
	budget *flow.Budget) *Front {
	f := &Front{core: c, guard: guard, classes: map[string]choice.Class{}, plans: map[string]bool{},
		gateways: settings.Gateways, maxUnits: cmp.Or(settings.MaxUnits, 1e9), draining: draining,
		activeIDs: map[uint64]struct{}{}, budget: budget}
	for _, class := range settings.Classes {
		f.classes[class.Name] = class
	}
	for _, p := range settings.Plans {
		f.plans[p.Name] = true
	}
	return f
}

// Stream handles a request of a client. It returns the function to call when the client leaves, or nil if the
// request has been answered.
func (f *Front) Stream(x *accept.Exchange) (leave func()) {
	r := &http1.Request{Request: x.Request, Peer: x.Peer}
	if r.URL.Path == "/healthz" {
		x.Answer(f.health(r))
		return nil
	}
	now := f.core.Now()
	in, problem := f.parseRequest(r, x.Upload.Length())
	if problem != nil {
		x.Answer(problem)
		return nil
	}
	m := in.Payload.(*message)
	m.terms = &defaultTerms
	var admitted *flow.Transfer
	if x.Long {
		var retryAfter time.Duration
		if admitted, retryAfter = f.budget.Admit(now); admitted == nil {
			x.Answer(Translate(core.Answer{Kind: core.Refused, RetryAfter: retryAfter}))
			return nil
		}
		longTerms := defaultTerms
		longTerms.Head, m.terms = in.Deadline, &longTerms
		in.Deadline += maxUploadTime(x.Upload.Length()) // the client's time-out starts at its last byte
	}
	x.SetTerms(m.terms, admitted, 0, f.core.Now)
	m.upload = x.Upload
	if !f.register(m.id) {
		x.Answer(http1.Plain(409, "X-Txn: that request is still being answered"))
		return nil
	}
	if remaining, stopping := x.TimeLeft(); stopping { // no answer can be sent once the process has stopped
		in.Deadline = min(in.Deadline, remaining-deadlineMargin)
	}
	in.Deadline += now
	answer := func(a *http1.Answer) {
		f.unregister(m.id)
		x.Answer(a)
	}
	in.Reply = func(a core.Answer) {
		if reply, ok := a.Body.(*transfer.Reply); ok {
			f.unregister(m.id)
			f.passReply(x, in.Class, reply)
			return
		}
		answer(Translate(a))
	}
	var cancel func()
	if f.guard != nil {
		cancel = f.checkAndSubmit(r, in, answer)
	} else {
		cancel = f.core.Submit(in).Leave
	}
	return func() {
		f.unregister(m.id)
		cancel()
	}
}

// passReply sends a long response to the client. If the budget does not admit it, it is still sent, in small
// pieces.
func (f *Front) passReply(x *accept.Exchange, class string, r *transfer.Reply) {
	x.OnEnd(f.core.TrackResponse(class))
	if admitted, _ := f.budget.Admit(f.core.Now()); admitted != nil {
		x.SetTransfer(admitted, f.core.Now)
	}
	x.Pass(r)
}

// register marks a request as active. It reports false if a request with the same id is active: app servers
// identify requests by their ids and would treat the two as one.
func (f *Front) register(id uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, active := f.activeIDs[id]; active {
		return false
	}
	f.activeIDs[id] = struct{}{}
	return true
}

func (f *Front) unregister(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.activeIDs, id)
}

// health answers a health check.
func (f *Front) health(r *http1.Request) *http1.Answer {
	switch {
	case r.Method != http.MethodGet:
		return methodNotAllowed("GET")
	case f.draining():
		return http1.Plain(503, "draining")
	case !f.core.Ready():
		return http1.Plain(503, "no app server known")
	}
	return http1.Plain(200, "ok")
}

// Translate converts a final answer to an HTTP response. The Body of a served answer must be an
// *http1.Answer.
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

func methodNotAllowed(methods string) *http1.Answer {
	a := http1.Plain(405, "method not allowed")
	a.Header = append(a.Header, [2]string{"Allow", methods})
	return a
}

// parseRequest validates an HTTP request and converts it to a request of the core. The returned Deadline is
// relative to the arrival. length is that of the body. If the request is invalid, the error response is
// returned instead.
func (f *Front) parseRequest(r *http1.Request, length int64) (core.Request, *http1.Answer) {
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
		return core.Request{}, methodNotAllowed(method)
	}
	for _, header := range singleHeaders {
		if len(r.Header[header]) > 1 {
			return bad(header + ": came more than once")
		}
	}
	in := core.Request{Class: name, Plan: r.Header.Get("X-Contract")}
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return bad("malformed query")
	}
	account, ok := parseHex16(query.Get("account"))
	if !ok || len(query["account"]) > 1 || account >= customerLimit {
		return bad("account: want 16 hex digits of a number below 2^33, once")
	}
	in.Customer = account
	txn := r.Header.Get("X-Txn")
	id, ok := parseHex16(txn)
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
	remaining, ok := http1.Decimal(r.Header.Get("X-Remaining"))
	if !ok || remaining >= 3600 {
		return bad("X-Remaining: want seconds")
	}
	in.Deadline = time.Duration(remaining*float64(time.Second)) - deadlineMargin
	in.ClientRetry = r.Header.Get("X-Resent") == "1"
	if !f.parseMetering(r.Header.Get("X-Metering"), &in) {
		return bad("X-Metering: want units, spread and first")
	}
	in.Payload = &message{id: id, method: r.Method, target: r.RequestURI, txn: txn, key: key,
		contentType: r.Header.Get("Content-Type")}
	return in, nil
}

// singleHeaders are the headers that define a request. They must not be repeated, as that would be ambiguous.
var singleHeaders = []string{"X-Txn", "X-Lane", "X-Contract", "X-Remaining", "X-Metering", "Idempotency-Key"}

// parseHex16 parses a number of exactly 16 hex digits.
func parseHex16(text string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(text, 16, 64)
	return n, err == nil && len(text) == 16 // ParseUint accepts no sign
}

// parseMetering parses a metering header such as units=2,spread=3,first=1 and sets in.Units and in.Spread:
// units is the use of the quota, spread and first define the set of ingresses that receive the customer's
// requests. It reports false if the text is invalid. A set that exceeds the ingresses of the settings is
// invalid, since it would shift the quota shares of others.
func (f *Front) parseMetering(text string, in *core.Request) bool {
	seen := map[string]float64{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		switch name {
		case "units", "spread", "first":
		default:
			continue
		}
		n, ok := http1.Decimal(value)
		if _, repeated := seen[name]; !ok || repeated {
			return false
		}
		seen[name] = n
	}
	units, spread, first := seen["units"], seen["spread"], seen["first"]
	integers := spread == math.Trunc(spread) && first == math.Trunc(first)
	gateways := float64(f.gateways)
	if len(seen) != 3 || !integers || units <= 0 || units > f.maxUnits || spread < 1 || spread > gateways ||
		first >= gateways {
		return false
	}
	in.Units, in.Spread = units, int(spread)
	return true
}
