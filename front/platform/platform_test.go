package platform

import (
	"strings"
	"testing"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/transfer"
)

func newFront(t testing.TB) *Front {
	t.Helper()
	settings := choice.Settings{Gateways: 3, MaxUnits: 2, MaxAttempts: 1, QueueField: -1,
		Classes: []choice.Class{
			{Name: "enquiry", Repeat: choice.Safe, Aim: time.Second, Deadline: time.Second},
			{Name: "transfer", Repeat: choice.Keyed, Aim: time.Second, Deadline: time.Second}},
		Plans: []choice.Plan{{Name: "basic"}}}
	c, err := core.New(core.Config{Settings: settings})
	if err != nil {
		t.Fatal(err)
	}
	return New(c, settings, func() bool { return false }, nil, nil)
}

const (
	target       = "/transfer?account=0000000000000007&x=%0d%0a"
	validRequest = "POST " + target + " HTTP/1.1\r\nHost: h\r\nX-Lane: transfer\r\nX-Contract: basic\r\n" +
		"X-Txn: 00000000000000aa\r\nX-Remaining: 1.5\r\nIdempotency-Key: k\r\n" +
		"X-Resent: 1\r\nX-Metering: units=2,spread=3,first=1\r\nContent-Length: 2\r\n\r\nhi"
)

func TestParseRequestReadsAllFields(t *testing.T) {
	r, err := new(http1.Parser).Request([]byte(validRequest))
	if err != nil {
		t.Fatal(err)
	}
	in, problem := newFront(t).parseRequest(r, 2)
	if problem != nil || in.Class != "transfer" || in.Plan != "basic" || in.Customer != 7 || in.Units != 2 ||
		in.Spread != 3 || !in.ClientRetry || in.Deadline != 1500*time.Millisecond-deadlineMargin {
		t.Fatalf("%+v, %+v", in, problem)
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	f := newFront(t)
	for _, change := range [][2]string{{"X-Lane: transfer", "X-Lane: enquiry"}, {"basic", "nosuch"},
		{"00aa", "00ag"}, {"X-Txn", "X-Other"}, {"1.5", "-1"}, {"1.5", "NaN"}, {"1.5", "1e9"},
		{"Idempotency-Key: k", "A: b"}, {"units=2,", ""}, {"spread=3", "spread=0"}, {"first=1", "first=x"},
		{"units=2", "units=3"}, {"units=2", "units=0"}, {"units=2", "units=+2"}, {"units=2", "units=0x1"},
		{"units=2", "units=inf"}, {"units=2", "units=1e0"}, {"units=2", "units=1_0"}, {"units=2", "units=-1"},
		{"units=2", "units=2,units=1"}, {"spread=3", "spread=4"}, {"spread=3", "spread=1.5"},
		{"first=1", "first=3"}, {"first=1", "first=-1"}, {"1.5", "+1.5"}, {"1.5", "0x1p0"}, {"1.5", "Inf"},
		{"1.5", "1e0"}, {"1.5", "1."}, {"1.5", ""}, {"&x=", "&account=0000000000000008&x="},
		{"X-Contract: basic", "X-Contract: basic\r\nX-Contract: basic"},
		{"X-Remaining: 1.5", "X-Remaining: 1.5\r\nx-remaining: 1.5"}, {"00000000000000aa", "+0000000000000aa"},
		{"account=00", "account="}, {"account=00", "account=zz"}, {"%0d%0a", "%zz"}} {
		r, err := new(http1.Parser).Request([]byte(strings.Replace(validRequest, change[0], change[1], 1)))
		if err != nil {
			continue // rejected by the HTTP parser
		}
		if _, problem := f.parseRequest(r, 2); problem == nil || problem.Status != 400 {
			t.Errorf("%q for %q: %+v", change[1], change[0], problem)
		}
	}
}

// Whatever a client sends, the app server gets exactly one request, with the client's method, target, ids and
// body, and without any other request hidden in them.
func FuzzForwardedRequest(f *testing.F) {
	f.Add(validRequest)
	f.Add(strings.Replace(validRequest, "Content-Length: 2", "Transfer-Encoding: chunked", 1) + "\r\n0\r\n\r\n")
	f.Add("GET /enquiry?account=0000000000000007 HTTP/1.1\r\nX-Lane: enquiry\r\nX-Contract: basic\r\n" +
		"X-Txn: 00000000000000aa\r\nX-Remaining: 1\r\nX-Metering: units=1,spread=1,first=0\r\n\r\n")
	front := newFront(f)
	f.Fuzz(func(t *testing.T, text string) {
		frames := http1.NewRequests(http1.DefaultLimits)
		frames.Feed([]byte(text))
		msg, err := frames.Next()
		if err != nil || msg == nil {
			return
		}
		r, err := new(http1.Parser).Request(msg)
		if err != nil {
			return
		}
		in, problem := front.parseRequest(r, int64(len(r.Content)))
		if problem != nil {
			return
		}
		m := in.Payload.(*message)
		m.upload, m.terms = transfer.Buffered(r.Content), &defaultTerms
		out := append(m.Append(nil, core.Server{}, time.Second), r.Content...)
		frames = http1.NewRequests(http1.DefaultLimits)
		frames.Feed(out)
		msg, err = frames.Next()
		if err != nil || len(msg) != len(out) {
			t.Fatalf("%q is not one message: %v", out, err)
		}
		again, err := new(http1.Parser).Request(msg)
		if err != nil || again.Method != r.Method || again.RequestURI != r.RequestURI ||
			again.Header.Get("X-Txn") != r.Header.Get("X-Txn") || string(again.Content) != string(r.Content) {
			t.Fatalf("%q became %q, %v", text, out, err)
		}
	})
}
