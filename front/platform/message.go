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

// message is a request as app servers get it: what identifies it passes on unchanged. It is a
// forward.Streamed.
type message struct {
	id                             uint64 // that of txn
	method, target, txn, key, kind string
	upload                         *transfer.Upload
	terms                          *transfer.Terms
}

// terms are what every exchange is held to. App servers begin once a request is whole. What one is still
// giving is not cut off: only one that stands still for long is given up.
var terms = transfer.Terms{
	ClientUp:   accept.Platform.Rest,
	ClientDown: flow.Pace{MinRate: accept.Platform.Rest.MinRate, Grace: 5 * time.Second},
	ServerUp:   flow.Pace{Stall: 5 * time.Second},
	ServerDown: flow.Pace{Stall: 10 * time.Second},
	Whole:      true,
	Awaited:    true,
}

// longest is the most that clients send.
const longest = 32 << 20

// uploadTime is the most that a client may take for a body of so many bytes; -1: not told.
func uploadTime(length int64) time.Duration {
	if length < 0 {
		length = longest
	}
	pace := terms.ClientUp
	return pace.Grace + time.Duration(float64(length)/pace.MinRate*float64(time.Second))
}

// Append writes the head.
func (m *message) Append(buf []byte, _ core.Server, wait time.Duration) []byte {
	if m.terms.Head > 0 { // the attempt's time holds that of sending the body
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
	if m.kind != "" {
		buf = http1.AppendHeader(buf, "Content-Type", m.kind)
	}
	switch n := m.upload.Length(); {
	case n < 0:
		buf = http1.AppendHeader(buf, "Transfer-Encoding", "chunked")
	case m.method != http.MethodGet:
		buf = http1.AppendHeader(buf, "Content-Length", strconv.FormatInt(n, 10))
	}
	return append(buf, "\r\n"...)
}

// Upload is the body.
func (m *message) Upload() *transfer.Upload { return m.upload }

// Terms are what the exchange is held to.
func (m *message) Terms() *transfer.Terms { return m.terms }

// Method is the request's.
func (m *message) Method() string { return m.method }
