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

// deadlineMargin is how long before the client gives up the response is due. It covers the way of the
// response to the client, and late scheduling of the core.
const deadlineMargin = 16 * time.Millisecond

// maxTimeLeft is the largest valid value of the header Time-Left-Ms, in milliseconds. Larger values are
// ignored.
const maxTimeLeft = 1e7

// Retry-After of requests that are rejected before they are submitted to a core.
const (
	startupRetryAfter = 300 * time.Millisecond // until there is a configuration, and a core for the service
	bodyRetryAfter    = 200 * time.Millisecond // while the budget does not admit another long body
)

// Stream handles a client request. It implements accept.Streamer.
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
	if !h.applyLimits(x, request, &in, service, route) {
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

// applyLimits sets the deadline of a request and the terms of its exchange. It reports false if the budget
// does not admit its body.
func (h *Handler) applyLimits(x *accept.Exchange, request *upstreamRequest, in *core.Request,
	service *core.Core, route *routing.Route) bool {
	now := service.Now()
	left := timeLeft(x.Header.Get(headerTimeLeft), route.Timeout)
	var reservation *flow.Transfer
	if x.Long {
		if reservation, _ = h.BodyBudget.Admit(now); reservation == nil {
			return false
		}
		longTerms := defaultTerms
		longTerms.Head, request.terms = left, &longTerms
		left += defaultTerms.ClientUp.Grace
	}
	if left > request.terms.ServerDown.Stall { // a silent server must not end a response before its deadline
		extendedTerms := *request.terms
		extendedTerms.ServerDown.Stall, request.terms = left, &extendedTerms
	}
	if processEnd, known := x.TimeLeft(); known { // a response after the end of the process would be lost
		left = min(left, processEnd-deadlineMargin)
	}
	in.Deadline = now + left
	stripHopHeaders(request.header)
	for _, name := range generatedHeaders {
		delete(request.header, name)
	}
	x.SetTerms(request.terms, reservation, 0, service.Now)
	request.upload = x.Upload
	return true
}

// timeLeft returns how long a request may take: until its client gives up, but not longer than the timeout
// of its route.
func timeLeft(text string, timeout time.Duration) time.Duration {
	millis, ok := http1.Decimal(text)
	if !ok || millis > maxTimeLeft {
		return timeout
	}
	return min(time.Duration(millis*float64(time.Millisecond))-deadlineMargin, timeout)
}

// tenantID returns the number that identifies a tenant to the cores.
func tenantID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// limitedRequest is a request that waits for the quota of its tenant. Its client may cancel it meanwhile.
type limitedRequest struct {
	handler *Handler
	x       *accept.Exchange
	service *core.Core
	in      core.Request

	mu              sync.Mutex
	canceled        bool
	cancelSubmitted func() // cancels the request in the core; nil until it is submitted
}

// submitLimited submits a request to the core once the quota of its tenant admits it, and rejects it if it
// is over the quota.
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
	return request.cancel
}

// submit submits the request to the core, and returns the function that cancels it there.
func (r *limitedRequest) submit() (leave func()) {
	r.in.Payload.(*upstreamRequest).trace.recordAdmitted(r.handler.Clock())
	return r.service.Submit(r.in).Leave
}

// decide handles the decision of the limiter on a request that had to wait.
func (r *limitedRequest) decide(allowed bool, retryAfter time.Duration) {
	if !allowed {
		r.handler.denyOverQuota(r.x, r.in.Payload.(*upstreamRequest), retryAfter)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.canceled {
		r.cancelSubmitted = r.submit()
	}
}

// cancel handles the disconnect of the client.
func (r *limitedRequest) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.canceled = true
	if r.cancelSubmitted != nil {
		r.cancelSubmitted()
	}
}
