// Package gateway is the front for general HTTP traffic: it determines a request's route and customer, and
// streams its body to the server and the response to the client. The core decides on its requests as on those
// of any other front.
package gateway

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/bearer"
	"dunespoke/core"
	"dunespoke/front/introspect"
	"dunespoke/front/relay"
	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/transfer"
	"dunespoke/internal/routes"
)

// Options contains the parameters of NewPlan.
type Options struct {
	Routes         []Route
	Budget         *flow.Budget   // limits the memory for long bodies
	TrustedProxies []netip.Prefix // of proxies whose forwarding headers are accepted
	Guard          Guard          // checks access tokens; nil: no route may require one
	VerifyClient   VerifyChain    // verifies client certificates; nil: none is accepted
	Draining       func() bool
	Log            zerolog.Logger
}

// Guard checks the access token of a request before the request is submitted to a core.
type Guard interface {
	// Require calls then once: with the claims of the token and nil, or with the response that the client
	// gets instead. The returned function reports that the client has left.
	Require(r *http1.Request, in core.Request, required bearer.Requirement,
		then func(bearer.Claims, *http1.Answer)) (leave func())
}

// Route defines where matching requests are sent and how they are charged.
type Route struct {
	routes.Route
	Core     *core.Core
	Class    string
	Patience time.Duration // of the class: time limit for the head of a response
	Plan     string
	Customer Source
	Units    float64
	Spread   int           // number of ingresses that receive a customer's requests
	Host     string        // sent to the servers; empty: that of the request
	Long     bool          // responses are long: a transfer must be admitted before any attempt
	Replay   int           // bytes of a long body that are buffered for another attempt
	Upload   time.Duration // added to Patience for a long body that is buffered while it arrives
	Terms    transfer.Terms
	Token    bool // an access token is required
	Require  bearer.Requirement
}

// Front answers clients. It implements accept.Streamer.
type Front struct {
	plan  atomic.Pointer[plan] // for new requests
	start time.Time            // origin of the clock for transfers
}

// New returns a front that uses the given plan.
func New(p *Plan) *Front {
	f := &Front{start: time.Now()}
	f.SetPlan(p)
	return f
}

// SetPlan replaces the plan for new requests. It is safe for concurrent use.
func (f *Front) SetPlan(p *Plan) { f.plan.Store(&plan{p, f.start}) }

// Stream handles a request of a client. It returns the function to call when the client leaves, or nil if the
// request has been answered.
func (f *Front) Stream(x *accept.Exchange) (leave func()) { return f.plan.Load().stream(x) }

// Plan is a validated set of routes and their options.
type Plan struct {
	Options
	table *routes.Table
}

// plan is a Plan in use by a Front.
type plan struct {
	*Plan
	start time.Time
}

// NewPlan returns a plan, or an error that names the first invalid route.
func NewPlan(o Options) (*Plan, error) {
	list := make([]routes.Route, len(o.Routes))
	for i, r := range o.Routes {
		list[i] = r.Route
		if r.Token && o.Guard == nil {
			return nil, fmt.Errorf("route %d: an access token is required, but no guard is configured", i+1)
		}
		if r.Units <= 0 || r.Patience <= 0 {
			return nil, fmt.Errorf("route %d: units and patience must be above 0", i+1)
		}
	}
	table, err := routes.New(list)
	if err != nil {
		return nil, err
	}
	o.Log = o.Log.Sample(&zerolog.BurstSampler{Burst: 20, Period: time.Second})
	return &Plan{o, table}, nil
}

// clock returns the time since the start of the front.
func (f *plan) clock() time.Duration { return time.Since(f.start) }

// stream handles a request; see Front.Stream.
func (f *plan) stream(x *accept.Exchange) (leave func()) {
	route, vars, problem := f.findRoute(x)
	if problem != nil {
		x.Answer(problem)
		return nil
	}
	in := core.Request{Class: route.Class, Plan: route.Plan, Units: route.Units, Spread: route.Spread,
		Deadline: route.Core.Now() + route.Patience}
	if x.Long && route.Replay > 0 {
		in.Deadline += route.Upload
	}
	customer, err := route.Customer.customerName(f, x, vars)
	if err != nil {
		x.Answer(http1.Plain(http.StatusBadRequest, err.Error()))
		return nil
	}
	var admitted *flow.Transfer
	if x.Long || route.Long {
		retryAfter := time.Second
		if !f.Draining() {
			admitted, retryAfter = f.Budget.Admit(f.clock())
		}
		if admitted == nil {
			f.Log.Warn().Str("code", "transfer-refused").Int("open", f.Budget.Open()).Str("path", route.Path).
				Bool("draining", f.Draining()).Msg("long body refused: transfer budget exhausted or process draining")
			x.Answer(f.retryLater(http.StatusServiceUnavailable, "no room for a long body now", retryAfter))
			return nil
		}
	}
	x.SetTerms(&route.Terms, admitted, route.Replay, f.clock)
	in.Payload = f.newMessage(x, route)
	in.Reply = func(a core.Answer) { f.reply(x, in.Deadline-route.Core.Now(), a) }
	if !route.Token {
		in.Customer = account(customer)
		return route.Core.Submit(in).Leave
	}
	in.Customer = account(f.clientAddr(x.Request, x.Peer).String())
	return f.checkAndSubmit(x, route, in, customer)
}

// checkAndSubmit submits a request to the core after its token was accepted. If the route's customer is a
// claim of the token, it replaces the given customer.
func (f *plan) checkAndSubmit(x *accept.Exchange, route *Route, in core.Request,
	customer string) (leave func()) {
	stages := &relay.Relay{}
	stages.Begin(f.Guard.Require(&http1.Request{Request: x.Request, Peer: x.Peer}, in, route.Require,
		func(c bearer.Claims, a *http1.Answer) {
			if a != nil {
				x.Answer(a)
				return
			}
			if route.Customer.Kind == Claim {
				if customer = claimValue(c, route.Customer.Name); customer == "" {
					x.Answer(http1.Plain(http.StatusForbidden, "the token does not say whose it is"))
					return
				}
			}
			in.Customer = account(customer)
			stages.StartSecond(func() func() { return route.Core.Submit(in).Leave })
		}))
	return stages.Leave
}

// findRoute returns a request's route and the values of its path variables, or the response to a request that
// has no route.
func (f *plan) findRoute(x *accept.Exchange) (*Route, map[string]string, *http1.Answer) {
	switch x.Method {
	case http.MethodConnect, http.MethodTrace:
		return nil, nil, http1.Plain(http.StatusNotImplemented, "not a method for here")
	}
	if x.Host == "" && x.ProtoAtLeast(1, 1) {
		return nil, nil, http1.Plain(http.StatusBadRequest, "a Host line is needed")
	}
	if e := x.Header.Get("Expect"); e != "" && !isContinue(e) {
		return nil, nil, http1.Plain(http.StatusExpectationFailed, "only 100-continue can be expected")
	}
	path, _, _ := strings.Cut(requestTarget(x.Request), "?")
	match, err := f.table.Match(x.Host, path, x.Method)
	var methodErr *routes.MethodError
	switch {
	case err == nil:
		return &f.Routes[match.Route], match.Vars, nil
	case errors.As(err, &methodErr):
		a := http1.Plain(http.StatusMethodNotAllowed, "not a method for there")
		a.Header = append(a.Header, [2]string{"Allow", joinValues(methodErr.Allow)})
		return nil, nil, a
	case errors.Is(err, routes.ErrNone):
		return nil, nil, http1.Plain(http.StatusNotFound, "no such path")
	}
	return nil, nil, http1.Plain(http.StatusBadRequest, err.Error())
}

// requestTarget returns the path and the query of a request: unchanged if the request line contains only
// these, and otherwise taken from the absolute URL.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// reply sends a final answer to the client. remaining is the time until the request's deadline; it determines
// whether a failure is reported as a time-out.
func (f *plan) reply(x *accept.Exchange, remaining time.Duration, a core.Answer) {
	switch {
	case a.Kind == core.Served:
		x.Pass(a.Body.(*transfer.Reply))
	case a.Kind == core.Refused:
		x.Answer(f.retryLater(http.StatusTooManyRequests, "refused: try again later", a.RetryAfter))
	case remaining <= 0:
		x.Answer(http1.Plain(http.StatusGatewayTimeout, "no answer in time"))
	default:
		x.Answer(http1.Plain(http.StatusBadGateway, "no answer"))
	}
}

// retryLater returns a response with a Retry-After header in seconds, rounded up. after is the time until a
// retry may succeed; the header is omitted if it is 0.
func (f *plan) retryLater(status int, text string, after time.Duration) *http1.Answer {
	a := http1.Plain(status, text)
	if after > 0 {
		seconds := strconv.Itoa(int(math.Ceil(after.Seconds())))
		a.Header = append(a.Header, [2]string{"Retry-After", seconds})
	}
	return a
}

// account returns the customer number of the core for a customer's name.
func account(name string) uint64 { return introspect.Customer(name) }
