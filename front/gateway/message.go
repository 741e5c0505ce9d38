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

// message is a request as the servers get it. It is a forward.Streamed.
type message struct {
	head   []byte
	method string
	up     *transfer.Upload
	terms  *transfer.Terms
}

func (f *plan) message(x *accept.Exchange, r *Route) *message {
	return &message{f.head(x, r), x.Method, x.Upload, &r.Terms}
}

// Append writes the head.
func (m *message) Append(buf []byte, _ core.Server, _ time.Duration) []byte {
	return append(buf, m.head...)
}

// Upload is the body.
func (m *message) Upload() *transfer.Upload { return m.up }

// Terms are what the exchange is held to.
func (m *message) Terms() *transfer.Terms { return m.terms }

// Method is the request's.
func (m *message) Method() string { return m.method }

// appendFraming writes how the body is framed, and the end of the head.
func appendFraming(b []byte, x *accept.Exchange) []byte {
	if len(x.Trailer) > 0 {
		b = http1.AppendHeader(b, "Trailer", join(names(x.Trailer)))
	}
	switch n := x.Upload.Length(); {
	case n < 0:
		b = http1.AppendHeader(b, "Transfer-Encoding", "chunked")
	case n > 0 || x.Method == http.MethodPost || x.Method == http.MethodPut || x.Method == http.MethodPatch:
		b = http1.AppendHeader(b, "Content-Length", strconv.FormatInt(n, 10))
	}
	return append(b, "\r\n"...)
}

func names(h http.Header) []string {
	var all []string
	for name := range h {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// ClassifyHead returns what the head of an answer means. Those with one of the given statuses are errors,
// after which another attempt may be made if the class allows it; any other is what the client asked for.
func ClassifyHead(errors []int) func(*http.Response) core.Result {
	return func(r *http.Response) core.Result {
		clean(r.Header)
		if len(r.Trailer) > 0 && r.ContentLength < 0 {
			r.Header["Trailer"] = []string{join(names(r.Trailer))}
		}
		r.Header["Via"] = append(slices.Clip(r.Header["Via"]), via)
		if slices.Contains(errors, r.StatusCode) {
			return core.Result{Code: choice.Error}
		}
		return core.Result{Code: choice.OK}
	}
}
