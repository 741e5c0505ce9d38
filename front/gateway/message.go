package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/transfer"
)

// message is a request as it is sent to servers. It implements forward.Streamed.
type message struct {
	head   []byte
	method string
	upload *transfer.Upload
	terms  *transfer.Terms
}

func (f *plan) newMessage(x *accept.Exchange, r *Route) *message {
	return &message{f.requestHead(x, r), x.Method, x.Upload, &r.Terms}
}

// Append appends the head of the request to buf.
func (m *message) Append(buf []byte, _ core.Server, _ time.Duration) []byte {
	return append(buf, m.head...)
}

// Upload returns the body.
func (m *message) Upload() *transfer.Upload { return m.upload }

// Terms returns the speed and time limits of the exchange.
func (m *message) Terms() *transfer.Terms { return m.terms }

// Method returns the HTTP method.
func (m *message) Method() string { return m.method }

// appendFraming appends the header fields that define the framing of the body, and the end of the head.
func appendFraming(b []byte, x *accept.Exchange) []byte {
	if len(x.Trailer) > 0 {
		b = http1.AppendHeader(b, "Trailer", joinValues(sortedNames(x.Trailer)))
	}
	switch n := x.Upload.Length(); {
	case n < 0:
		b = http1.AppendHeader(b, "Transfer-Encoding", "chunked")
	case n > 0 || x.Method == http.MethodPost || x.Method == http.MethodPut || x.Method == http.MethodPatch:
		b = http1.AppendHeader(b, "Content-Length", strconv.FormatInt(n, 10))
	}
	return append(b, "\r\n"...)
}

func sortedNames(h http.Header) []string {
	var names []string
	for name := range h {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ClassifyHead returns a function that classifies the head of a response and prepares its header for the
// client. Responses with one of the given status codes are errors, after which another attempt may be made if
// the class allows it; all others are successful.
func ClassifyHead(errorStatuses []int) func(*http.Response) core.Result {
	return func(r *http.Response) core.Result {
		dropHopByHop(r.Header)
		if len(r.Trailer) > 0 && r.ContentLength < 0 {
			r.Header["Trailer"] = []string{joinValues(sortedNames(r.Trailer))}
		}
		r.Header["Via"] = append(slices.Clip(r.Header["Via"]), viaValue)
		if slices.Contains(errorStatuses, r.StatusCode) {
			return core.Result{Code: choice.Error}
		}
		return core.Result{Code: choice.OK}
	}
}
