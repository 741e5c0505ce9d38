package platform

import (
	"net/http"
	"slices"
	"strings"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
)

// ResponseClassifier says what answers of app servers mean, and reads what they tell beside.
type ResponseClassifier struct {
	LoadFields []string // of load reports, in the settings' order; none: answers hold none
	MaxUnits   float64  // the most that a request counts; 0: any
}

// Complete judges a whole answer.
func (j ResponseClassifier) Complete(r *http1.Response) core.Result {
	result := j.read(r.Response)
	if result.Code == choice.OK {
		answer := &http1.Answer{Status: 200, Body: r.Content}
		if kind := r.Header.Get("Content-Type"); kind != "" {
			answer.Header = [][2]string{{"Content-Type", kind}}
		}
		result.Body = answer
	}
	return result
}

// Head judges an answer that is too long to be held, and leaves of its header what goes on.
func (j ResponseClassifier) Head(r *http.Response) core.Result {
	result, kind := j.read(r), r.Header["Content-Type"]
	clear(r.Header)
	if len(kind) > 0 {
		r.Header["Content-Type"] = kind[:1]
	}
	return result
}

func (j ResponseClassifier) read(r *http.Response) core.Result {
	result := core.Result{Code: choice.Error, Load: j.load(r.Header)}
	switch {
	case r.StatusCode == http.StatusOK:
		result.Code, result.Units = choice.OK, j.settled(r.Header)
	case (r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusGatewayTimeout) &&
		r.Header.Get("X-Turned-Away") == "1":
		result.Code = choice.Busy
	}
	return result
}

// settled reads the true units of a request whose units were a guess; 0: not told, or told in no way that
// can be true. A wrong number would be taken from the customer's quota, or given to it.
func (j ResponseClassifier) settled(h http.Header) float64 {
	lines := h["X-Settled"]
	if len(lines) != 1 {
		return 0
	}
	units, ok := http1.Decimal(lines[0])
	if !ok || j.MaxUnits > 0 && units > j.MaxUnits {
		return 0
	}
	return units
}

// load reads a load report such as inflight=7,queue=2 into the settings' order. One that is not whole is
// none: a figure taken for 0 would draw work.
func (j ResponseClassifier) load(h http.Header) []float64 {
	lines := h["X-Pressure"]
	if len(j.LoadFields) == 0 || len(lines) != 1 {
		return nil
	}
	load, seen := make([]float64, len(j.LoadFields)), make([]bool, len(j.LoadFields))
	for part := range strings.SplitSeq(lines[0], ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		i := slices.Index(j.LoadFields, name)
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
