package proxy

import (
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dunespoke/core"
	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/ratelimit"
	"dunespoke/internal/routing"
)

// deadlineMargin is how long before the client gives up its answer is due: the answer's way there, and a late
// turn on the core.
const deadlineMargin = 16 * time.Millisecond

// maxTimeLeft is the most that a client may say it waits, in milliseconds; what is longer is no time.
const maxTimeLeft = 1e7

// Retry-After of what is rejected before the core has it.
const (
	startupRetryAfter = 300 * time.Millisecond // while this process knows no configuration yet
	bodyRetryAfter    = 200 * time.Millisecond // while there is no room for a long body
)

// Stream takes a request of a client.
func (h *Handler) Stream(x *accept.Exchange) (leave func()) {
	c := h.config.Load()
	if c == nil {
		x.Answer(rejection(http.StatusServiceUnavailable, "no configuration yet", startupRetryAfter))
		return nil
	}
	route, tenant, problem := c.find(x)
	if problem != nil {
		x.Answer(problem)
		return nil
	}
	name := route.Pick(rand.Float64())
	service := c.cores[name]
	if service == nil {
		x.Answer(rejection(http.StatusServiceUnavailable, "no such service yet", startupRetryAfter))
		return nil
	}
	request := h.newUpstreamRequest(x, route, name)
	in := core.Request{Class: c.classes[route], Plan: planName(0), Units: 1, Spread: 1, Payload: request}
	if tenant != nil {
		in.Customer, in.Plan, request.tenant = tenantID(tenant.Name), planName(tenant.Priority), tenant.Name
	}
	if !h.hold(x, request, &in, service, route) {
		x.Answer(rejection(http.StatusServiceUnavailable, "no room for a long body now", bodyRetryAfter))
		return nil
	}
	in.Reply = func(a core.Answer) { h.reply(x, service, in, a) }
	if tenant == nil {
		request.trace.recordAdmitted(request.trace.receivedAt)
		return service.Submit(in).Leave
	}
	return h.submitLimited(x, service, in, tenant)
}

func (h *Handler) newUpstreamRequest(x *accept.Exchange, route *routing.Route,
	service string) *upstreamRequest {
	request := &upstreamRequest{handler: h, method: x.Method, target: x.RequestURI, host: x.Host,
		id: x.Header.Get(headerAttemptID), header: x.Header, terms: &defaultTerms}
	request.trace.route, request.trace.service, request.trace.receivedAt = route, service, h.Clock()
	return request
}

// hold sets the request's deadline and what its connection is held to. It reports false if there is no room
// for its body.
func (h *Handler) hold(x *accept.Exchange, request *upstreamRequest, in *core.Request, service *core.Core,
	route *routing.Route) bool {
	now := service.Now()
	left := timeLeft(x.Header.Get(headerTimeLeft), route.Timeout)
	var room *flow.Transfer
	if x.Long {
		if room, _ = h.BodyBudget.Admit(now); room == nil {
			return false
		}
		held := defaultTerms
		held.Head, request.terms = left, &held
		left += defaultTerms.ClientUp.Grace
	}
	if left > request.terms.ServerDown.Stall { // a server's silence ends no answer before its time
		patient := *request.terms
		patient.ServerDown.Stall, request.terms = left, &patient
	}
	if ends, known := x.Left(); known { // an answer after the process's end is none
		left = min(left, ends-deadlineMargin)
	}
	in.Deadline = now + left
	stripHopHeaders(request.header)
	for _, name := range ownHeaders {
		delete(request.header, name)
	}
	x.Hold(request.terms, room, 0, service.Now)
	request.upload = x.Upload
	return true
}

// timeLeft is how long a request may be held: until its client gives up, but not longer than its route
// allows.
func timeLeft(text string, timeout time.Duration) time.Duration {
	millis, ok := http1.Decimal(text)
	if !ok || millis > maxTimeLeft {
		return timeout
	}
	return min(time.Duration(millis*float64(time.Millisecond))-deadlineMargin, timeout)
}

// tenantID is the number that the gates know a tenant by.
func tenantID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// limitedRequest is a request that waits for its tenant's quota, and may be left meanwhile.
type limitedRequest struct {
	handler *Handler
	x       *accept.Exchange
	service *core.Core
	in      core.Request

	mu        sync.Mutex
	left      bool
	submitted func() // leaves the core; nil: it does not have the request yet
}

// submitLimited hands a request to the core once its tenant's quota lets it in.
func (h *Handler) submitLimited(x *accept.Exchange, service *core.Core, in core.Request,
	tenant *routing.Tenant) (leave func()) {
	request := &limitedRequest{handler: h, x: x, service: service, in: in}
	switch decision, retryAfter := h.Limiter.Take(h.Clock(), tenant.Name, request.decide); decision {
	case ratelimit.Allow:
		return request.submit()
	case ratelimit.Deny:
		h.denyOverQuota(x, in.Payload.(*upstreamRequest), retryAfter)
		return nil
	}
	return request.leave
}

// submit hands the request to the core.
func (r *limitedRequest) submit() (leave func()) {
	r.in.Payload.(*upstreamRequest).trace.recordAdmitted(r.handler.Clock())
	return r.service.Submit(r.in).Leave
}

// decide takes the limiter's decision on a request that has waited.
func (r *limitedRequest) decide(allowed bool, retryAfter time.Duration) {
	if !allowed {
		r.handler.denyOverQuota(r.x, r.in.Payload.(*upstreamRequest), retryAfter)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.left {
		r.submitted = r.submit()
	}
}

// leave notes that the client has gone.
func (r *limitedRequest) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = true
	if r.submitted != nil {
		r.submitted()
	}
}
