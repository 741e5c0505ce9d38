package platform

import (
	"net/http"
	"slices"
	"strings"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
)

// ResponseClassifier maps responses of app servers to results of attempts, and reads the load reports and
// the actual units in their headers.
type ResponseClassifier struct {
	LoadFields []string // of load reports, in the order of the settings; empty: there are no load reports
	MaxUnits   float64  // upper limit of the actual units of a request; 0: no limit
}

// Complete classifies a response whose body is complete.
func (c ResponseClassifier) Complete(r *http1.Response) core.Result {
	result := c.classify(r.Response)
	if result.Code == choice.OK {
		answer := &http1.Answer{Status: 200, Body: r.Content}
		if contentType := r.Header.Get("Content-Type"); contentType != "" {
			answer.Header = [][2]string{{"Content-Type", contentType}}
		}
		result.Body = answer
	}
	return result
}

// Head classifies a response whose body is too long to be buffered. It removes all header fields except the
// content type, which is passed to the client.
func (c ResponseClassifier) Head(r *http.Response) core.Result {
	result, contentType := c.classify(r), r.Header["Content-Type"]
	clear(r.Header)
	if len(contentType) > 0 {
		r.Header["Content-Type"] = contentType[:1]
	}
	return result
}

// classify maps the status and the header of a response to a result without a body.
func (c ResponseClassifier) classify(r *http.Response) core.Result {
	result := core.Result{Code: choice.Error, Load: c.loadReport(r.Header)}
	switch {
	case r.StatusCode == http.StatusOK:
		result.Code, result.Units = choice.OK, c.actualUnits(r.Header)
	case (r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusGatewayTimeout) &&
		r.Header.Get("X-Turned-Away") == "1":
		result.Code = choice.Busy
	}
	return result
}

// actualUnits returns the actual units of a request whose units were an estimate, or 0 if the header is
// missing or invalid. A wrong number would be charged or credited to the customer's quota.
func (c ResponseClassifier) actualUnits(h http.Header) float64 {
	lines := h["X-Settled"]
	if len(lines) != 1 {
		return 0
	}
	units, ok := http1.Decimal(lines[0])
	if !ok || c.MaxUnits > 0 && units > c.MaxUnits {
		return 0
	}
	return units
}

// loadReport parses a load report such as inflight=7,queue=2 and returns its values in the order of the
// settings. It returns nil if a field is missing or invalid: a value read as 0 would attract requests.
func (c ResponseClassifier) loadReport(h http.Header) []float64 {
	lines := h["X-Pressure"]
	if len(c.LoadFields) == 0 || len(lines) != 1 {
		return nil
	}
	load, seen := make([]float64, len(c.LoadFields)), make([]bool, len(c.LoadFields))
	for field := range strings.SplitSeq(lines[0], ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		i := slices.Index(c.LoadFields, name)
		if i < 0 {
			continue
		}
		n, ok := http1.Decimal(value)
		if !ok || seen[i] {
			return nil
		}
		load[i], seen[i] = n, true
	}
	if slices.Contains(seen, false) {
		return nil
	}
	return load
}
