package platform

import (
	"net/http"
	"strconv"
	"time"

	"dunespoke/core"
	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/transfer"
)

// message is a request as it is sent to app servers, with the client's method, target, transaction id and
// idempotency key. It implements forward.Streamed.
type message struct {
	id                                    uint64 // numeric value of txn
	method, target, txn, key, contentType string
	upload                                *transfer.Upload
	terms                                 *transfer.Terms
}

// defaultTerms are the speed and time limits of an exchange. App servers start processing a request when it
// is complete. A server that is still sending its response is not cut off; only a stall of the given length
// ends the exchange.
var defaultTerms = transfer.Terms{
	ClientUp:   accept.Platform.Rest,
	ClientDown: flow.Pace{MinRate: accept.Platform.Rest.MinRate, Grace: 5 * time.Second},
	ServerUp:   flow.Pace{Stall: 5 * time.Second},
	ServerDown: flow.Pace{Stall: 10 * time.Second},
	Whole:      true,
	Awaited:    true,
}

// maxBodyBytes is the largest body that clients send.
const maxBodyBytes = 32 << 20

// maxUploadTime returns the time that a client may take to send a body of the given length in bytes; a length
// of -1 means that it is unknown.
func maxUploadTime(length int64) time.Duration {
	if length < 0 {
		length = maxBodyBytes
	}
	pace := defaultTerms.ClientUp
	return pace.Grace + time.Duration(float64(length)/pace.MinRate*float64(time.Second))
}

// Append appends the head of the request to buf. wait is the remaining time of the attempt.
func (m *message) Append(buf []byte, _ core.Server, wait time.Duration) []byte {
	if m.terms.Head > 0 { // wait includes the time for the body; the header states only that for the response
		wait = m.terms.Head
	}
	buf = append(buf, m.method...)
	buf = append(buf, ' ')
	buf = append(buf, m.target...)
	buf = append(buf, " HTTP/1.1\r\nHost: backend.local\r\nX-Remaining: "...)
	buf = strconv.AppendFloat(buf, wait.Seconds(), 'f', 3, 64)
	buf = append(buf, "\r\n"...)
	buf = http1.AppendHeader(buf, "X-Txn", m.txn)
	if m.key != "" {
		buf = http1.AppendHeader(buf, "Idempotency-Key", m.key)
	}
	if m.contentType != "" {
		buf = http1.AppendHeader(buf, "Content-Type", m.contentType)
	}
	switch n := m.upload.Length(); {
	case n < 0:
		buf = http1.AppendHeader(buf, "Transfer-Encoding", "chunked")
	case m.method != http.MethodGet:
		buf = http1.AppendHeader(buf, "Content-Length", strconv.FormatInt(n, 10))
	}
	return append(buf, "\r\n"...)
}

// Upload returns the body.
func (m *message) Upload() *transfer.Upload { return m.upload }

// Terms returns the speed and time limits of the exchange.
func (m *message) Terms() *transfer.Terms { return m.terms }

// Method returns the HTTP method.
func (m *message) Method() string { return m.method }
