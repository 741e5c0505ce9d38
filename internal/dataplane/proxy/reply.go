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

// minRetryAfter is the minimum Retry-After of a request that was shed.
const minRetryAfter = 20 * time.Millisecond

// rejection returns a response with a status that guarantees that the request was not and will not be
// executed.
func rejection(status int, text string, retryAfter time.Duration) *http1.Answer {
	a := http1.Plain(status, text)
	if retryAfter > 0 {
		seconds := strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)
		a.Header = append(a.Header, [2]string{"Retry-After", seconds})
	}
	return a
}

func overQuotaAnswer(retryAfter time.Duration) *http1.Answer {
	return rejection(http.StatusTooManyRequests, "beyond the quota", retryAfter)
}

// reply sends the final answer of the core to the client.
func (h *Handler) reply(x *accept.Exchange, service *core.Core, in core.Request, a core.Answer) {
	h.recordEnd(in.Payload.(*upstreamRequest), a.Kind)
	switch {
	case a.Kind == core.Served:
		if streamed, ok := a.Body.(*transfer.Reply); ok {
			x.OnEnd(service.TrackResponse(in.Class))
			if reservation, _ := h.BodyBudget.Admit(service.Now()); reservation != nil {
				x.SetTransfer(reservation, service.Now)
			}
			x.Pass(streamed)
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

// denyOverQuota rejects a request that is over the quota of its tenant.
func (h *Handler) denyOverQuota(x *accept.Exchange, request *upstreamRequest, retryAfter time.Duration) {
	h.observe(request, OutcomeOverQuota, h.Clock())
	x.Answer(overQuotaAnswer(retryAfter))
}

// recordEnd reports the end of a request to the observer, and adds the request to the slow log if it was
// late, rejected or failed.
func (h *Handler) recordEnd(request *upstreamRequest, kind core.Kind) {
	now := h.Clock()
	outcome, slow := request.trace.outcome(now, kind)
	if slow {
		h.SlowLog.Record(request.trace.entry(now, request, outcome))
	}
	h.observe(request, observedOutcome(outcome, slow), now)
}

// observe reports the end of a request to the observer, if there is one.
func (h *Handler) observe(request *upstreamRequest, outcome Outcome, now time.Duration) {
	if h.Observer != nil {
		h.Observer.RequestEnded(request.trace.route, outcome, now-request.trace.receivedAt)
	}
}

// observedOutcome returns the outcome to report to an observer. slow reports whether the request belongs in
// the slow log.
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

// outcome returns how a request ended; slow reports whether it belongs in the slow log. If slow is false, it
// was served in time.
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
