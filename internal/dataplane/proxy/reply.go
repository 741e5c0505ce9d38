package proxy

import (
	"net/http"
	"strconv"
	"time"

	"dunespoke/core"
	"dunespoke/internal/dataplane/slowlog"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/transfer"
)

// minRetryAfter is the least that a client is told when its request was shed.
const minRetryAfter = 20 * time.Millisecond

// rejection is a promise that the request has not run and never will.
func rejection(status int, text string, retryAfter time.Duration) *http1.Answer {
	a := http1.Plain(status, text)
	if retryAfter > 0 {
		seconds := strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)
		a.Header = append(a.Header, [2]string{"Retry-After", seconds})
	}
	return a
}

func overQuota(retryAfter time.Duration) *http1.Answer {
	return rejection(http.StatusTooManyRequests, "beyond the quota", retryAfter)
}

// reply hands a final answer on.
func (h *Handler) reply(x *accept.Exchange, service *core.Core, in core.Request, a core.Answer) {
	h.recordEnd(in.Payload.(*upstreamRequest), a.Kind)
	switch {
	case a.Kind == core.Served:
		if long, ok := a.Body.(*transfer.Reply); ok {
			x.OnEnd(service.TrackResponse(in.Class))
			if room, _ := h.BodyBudget.Admit(service.Now()); room != nil {
				x.Widen(room, service.Now)
			}
			x.Pass(long)
			return
		}
		x.Answer(a.Body.(*http1.Answer))
	case a.Kind == core.Refused:
		retryAfter := max(a.RetryAfter, minRetryAfter)
		x.Answer(rejection(http.StatusServiceUnavailable, "refused: it has not run", retryAfter))
	case service.Now() >= in.Deadline:
		x.Answer(http1.Plain(http.StatusGatewayTimeout, "no answer in time"))
	default:
		x.Answer(http1.Plain(http.StatusBadGateway, "no answer"))
	}
}

// denyOverQuota answers a request that is beyond its tenant's quota.
func (h *Handler) denyOverQuota(x *accept.Exchange, request *upstreamRequest, retryAfter time.Duration) {
	h.observe(request, OutcomeOverQuota, h.Clock())
	x.Answer(overQuota(retryAfter))
}

// recordEnd notes how a request has ended, and keeps one that ran late or was given up.
func (h *Handler) recordEnd(request *upstreamRequest, kind core.Kind) {
	now := h.Clock()
	outcome, slow := request.trace.outcome(now, kind)
	if slow {
		h.SlowLog.Record(request.trace.entry(now, request, outcome))
	}
	h.observe(request, observedOutcome(outcome, slow), now)
}

// observe tells the observer, if there is one, of a request that has ended.
func (h *Handler) observe(request *upstreamRequest, outcome Outcome, now time.Duration) {
	if h.Observer != nil {
		h.Observer.RequestEnded(request.trace.route, outcome, now-request.trace.receivedAt)
	}
}

// observedOutcome is what an observer is told of an outcome.
func observedOutcome(outcome slowlog.Outcome, slow bool) Outcome {
	switch {
	case !slow:
		return OutcomeServed
	case outcome == slowlog.OutcomeRejected:
		return OutcomeRejected
	case outcome == slowlog.OutcomeFailed:
		return OutcomeFailed
	}
	return OutcomeLate
}

// outcome is how a request ended; slow reports whether it is to be kept.
func (t *requestTrace) outcome(now time.Duration, kind core.Kind) (outcome slowlog.Outcome, slow bool) {
	switch kind {
	case core.Refused:
		return slowlog.OutcomeRejected, true
	case core.Failed:
		return slowlog.OutcomeFailed, true
	}
	target := t.route.LatencyTarget
	return slowlog.OutcomeLate, target > 0 && now > t.receivedAt+target
}
