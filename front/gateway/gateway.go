// Package gateway is the front for any HTTP traffic: it finds a request's route, says what it counts as, and
// passes its body and its answer on as they come. The core decides on it as on any other request.
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

// Options are what a plan is made of.
type Options struct {
	Routes         []Route
	Budget         *flow.Budget   // of long bodies
	TrustedProxies []netip.Prefix // of proxies whose word on whom they speak for is taken
	Guard          Guard          // checks access tokens; nil: no route may ask for that
	VerifyClient   VerifyChain    // checks clients' certificates; nil: none is believed
	Draining       func() bool
	Log            zerolog.Logger
}

// Guard checks the access token of a request before that goes on, and calls then once: with what is known of
// the token, or with the answer that the client gets instead.
type Guard interface {
	Require(r *http1.Request, in core.Request, required bearer.Requirement,
		then func(bearer.Claims, *http1.Answer)) (leave func())
}

// Route is where some requests go, and what they count as.
type Route struct {
	routes.Route
	Core     *core.Core
	Class    string
	Patience time.Duration // of the class: for an answer's head
	Plan     string
	Customer Source
	Units    float64
	Spread   int           // ingresses through which a customer's requests arrive
	Host     string        // told to the servers; empty: as asked
	Long     bool          // answers are long: room is needed before any attempt
	Replay   int           // bytes of a long body held to be sent again
	Upload   time.Duration // more patience for a body that is held while it comes
	Terms    transfer.Terms
	Token    bool // an access token is needed
	Require  bearer.Requirement
}

// Front answers clients. It is an accept.Streamer.
type Front struct {
	now   atomic.Pointer[plan]
	start time.Time
}

// New returns a front that goes by a plan.
func New(p *Plan) *Front {
	f := &Front{start: time.Now()}
	f.SetPlan(p)
	return f
}

// SetPlan has the requests that come from now on go by another plan.
func (f *Front) SetPlan(p *Plan) { f.now.Store(&plan{p, f.start}) }

// Stream takes a request of a client.
func (f *Front) Stream(x *accept.Exchange) (leave func()) { return f.now.Load().stream(x) }

// Plan is what a front goes by.
type Plan struct {
	Options
	table *routes.Table
}

// plan is one in use.
type plan struct {
	*Plan
	start time.Time
}

// NewPlan returns a plan, or names the route that makes no sense.
func NewPlan(o Options) (*Plan, error) {
	list := make([]routes.Route, len(o.Routes))
	for i, r := range o.Routes {
		list[i] = r.Route
		if r.Token && o.Guard == nil {
			return nil, fmt.Errorf("route %d: nobody checks tokens", i+1)
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

func (f *plan) clock() time.Duration { return time.Since(f.start) }

func (f *plan) stream(x *accept.Exchange) (leave func()) {
	route, vars, problem := f.route(x)
	if problem != nil {
		x.Answer(problem)
		return nil
	}
	in := core.Request{Class: route.Class, Plan: route.Plan, Units: route.Units, Spread: route.Spread,
		Deadline: route.Core.Now() + route.Patience}
	if x.Long && route.Replay > 0 {
		in.Deadline += route.Upload
	}
	who, err := route.Customer.read(f, x, vars)
	if err != nil {
		x.Answer(http1.Plain(http.StatusBadRequest, err.Error()))
		return nil
	}
	var room *flow.Transfer
	if x.Long || route.Long {
		after := time.Second
		if !f.Draining() {
			room, after = f.Budget.Admit(f.clock())
		}
		if room == nil {
			f.Log.Warn().Str("code", "transfer-refused").Int("open", f.Budget.Open()).Str("path", route.Path).
				Bool("draining", f.Draining()).Msg("no room for a long body")
			x.Answer(f.later(http.StatusServiceUnavailable, "no room for a long body now", after))
			return nil
		}
	}
	x.Hold(&route.Terms, room, route.Replay, f.clock)
	in.Payload = f.message(x, route)
	in.Reply = func(a core.Answer) { f.reply(x, in.Deadline-route.Core.Now(), a) }
	if !route.Token {
		in.Customer = account(who)
		return route.Core.Submit(in).Leave
	}
	in.Customer = account(f.address(x.Request, x.Peer).String())
	return f.guarded(x, route, in, who)
}

// guarded has the token checked first, and counts by what it claims where the route says so.
func (f *plan) guarded(x *accept.Exchange, route *Route, in core.Request, who string) (leave func()) {
	g := &relay.Relay{}
	g.Begin(f.Guard.Require(&http1.Request{Request: x.Request, Peer: x.Peer}, in, route.Require,
		func(c bearer.Claims, a *http1.Answer) {
			if a != nil {
				x.Answer(a)
				return
			}
			if route.Customer.Kind == Claim {
				if who = claim(c, route.Customer.Name); who == "" {
					x.Answer(http1.Plain(http.StatusForbidden, "the token does not say whose it is"))
					return
				}
			}
			in.Customer = account(who)
			g.StartSecond(func() func() { return route.Core.Submit(in).Leave })
		}))
	return g.Leave
}

// route finds a request's route, or the answer of one that has none.
func (f *plan) route(x *accept.Exchange) (*Route, map[string]string, *http1.Answer) {
	switch x.Method {
	case http.MethodConnect, http.MethodTrace:
		return nil, nil, http1.Plain(http.StatusNotImplemented, "not a method for here")
	}
	if x.Host == "" && x.ProtoAtLeast(1, 1) {
		return nil, nil, http1.Plain(http.StatusBadRequest, "a Host line is needed")
	}
	if e := x.Header.Get("Expect"); e != "" && !continues(e) {
		return nil, nil, http1.Plain(http.StatusExpectationFailed, "only 100-continue can be expected")
	}
	path, _, _ := strings.Cut(target(x.Request), "?")
	to, err := f.table.Match(x.Host, path, x.Method)
	var method *routes.MethodError
	switch {
	case err == nil:
		return &f.Routes[to.Route], to.Vars, nil
	case errors.As(err, &method):
		a := http1.Plain(http.StatusMethodNotAllowed, "not a method for there")
		a.Header = append(a.Header, [2]string{"Allow", join(method.Allow)})
		return nil, nil, a
	case errors.Is(err, routes.ErrNone):
		return nil, nil, http1.Plain(http.StatusNotFound, "no such path")
	}
	return nil, nil, http1.Plain(http.StatusBadRequest, err.Error())
}

// target is the path and the query that were asked for, as they came where they came alone.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// reply hands a final answer on. left is what the request had left of its time.
func (f *plan) reply(x *accept.Exchange, left time.Duration, a core.Answer) {
	switch {
	case a.Kind == core.Served:
		x.Pass(a.Body.(*transfer.Reply))
	case a.Kind == core.Refused:
		x.Answer(f.later(http.StatusTooManyRequests, "refused: try again later", a.RetryAfter))
	case left <= 0:
		x.Answer(http1.Plain(http.StatusGatewayTimeout, "no answer in time"))
	default:
		x.Answer(http1.Plain(http.StatusBadGateway, "no answer"))
	}
}

// later is an answer that says when to come back, in whole seconds.
func (f *plan) later(status int, text string, after time.Duration) *http1.Answer {
	a := http1.Plain(status, text)
	if after > 0 {
		seconds := strconv.Itoa(int(math.Ceil(after.Seconds())))
		a.Header = append(a.Header, [2]string{"Retry-After", seconds})
	}
	return a
}

// account is the number under which a customer is counted.
func account(who string) uint64 { return introspect.Customer(who) }
