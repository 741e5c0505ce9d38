package proxy

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/rs/zerolog"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/dataplane/slowlog"
	"dunespoke/internal/events"
	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/direct"
	"dunespoke/internal/net/forward"
	"dunespoke/internal/routing"
	"dunespoke/internal/scenario"
)

// failure is the way in which a server fails.
type failure int

const (
	noFailure failure = iota
	failReset
	failClose
	failSilent // sends nothing more, and leaves the connection open
	failureKinds
)

// answerKind is the kind of response that a server sends.
type answerKind int

const (
	ownAnswer          answerKind = iota // complete, with ID and seal
	longAnswer                           // the same, longer than the gateway buffers
	chunkedAnswer                        // the same, with chunked encoding
	foreignFirst                         // the response to another request, then its own
	overloaded                           // 503 with Not-Run
	misdirected                          // 421
	notFound                             // 404
	ranError                             // 500: it was executed
	ranTooManyRequests                   // 429 without Not-Run: it was executed
	ranUnavailable                       // 503 without Not-Run: it was executed
	withoutSeal
	withoutID
	untilClose // its length is given only by the end of the connection
	untilCloseNotFound
	answerKinds
)

// excess is what a server sends after its complete response.
type excess int

const (
	noExcess excess = iota
	garbage
	repeatedAnswer     // the same response again
	anonymousRejection // a rejection without an ID
	foreignAnswer      // a response with the ID of another request
	excessKinds
)

// serverStep is the behavior of a server for one request.
type serverStep struct {
	ResetAtDial      bool // reset the connection when it is established
	ReadBytes        int  // with ReadFailure: bytes of the request that are read before the failure
	ReadFailure      failure
	Word             answerKind
	Early            bool          // send a rejection before the body is read
	BodyDelay        time.Duration // before it reads the body
	KeepAliveSeconds int           // idle timeout in seconds to send in Keep-Alive; 0 for none
	WriteBytes       int           // with WriteFailure or Pause: bytes of the response that are sent before it
	WriteFailure     failure
	Pause            time.Duration // after WriteBytes; then the rest is sent
	Excess           excess
	ExcessDelay      time.Duration // before Excess is sent
	EndFailure       failure       // after the response
	EndDelay         time.Duration // before EndFailure
}

// clientRequest is a request of a client.
type clientRequest struct {
	Writing    bool
	Body       int
	Delay      time.Duration // before the request is sent
	LeaveAfter time.Duration // if positive, the client closes the connection after it, unread
}

// plan is the input of a simulation.
type plan struct {
	BufferBytes   int // of the buffer from the gateway to a server, in each connection
	Steps         []serverStep
	Requests      [][]clientRequest // by client
	SingleServer  bool              // run one server instead of two
	ClientTimeout time.Duration     // 0 means defaultClientTimeout
	// WrapUpstream and WrapConn inject a defect into the data plane, if they are not nil.
	WrapUpstream func(core.Upstream) core.Upstream
	WrapConn     func(*memConn) net.Conn
}

// simulation is a running plan with its observations.
type simulation struct {
	t *testing.T
	plan
	mu              sync.Mutex
	nextStep        int
	executions      map[string]int // by request ID, as the next two
	sends           map[string]int // to servers, of at least one byte
	rejections      map[string]int // by servers, before execution
	notRunStatus    map[string]int // status received by the client that means that the request was not executed
	problems        []string
	conns           []*memConn
	lastSizes       [2]int // of the last request and response, in bytes
	completeAnswers int    // complete responses with status 200
}

// problem records a violation of the rules.
func (d *simulation) problem(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.problems = append(d.problems, fmt.Sprintf(format, args...))
}

func (d *simulation) increment(counts map[string]int, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts[id]++
}

// step returns the next step of the plan. For a new connection it takes only a step that resets it.
func (d *simulation) step(dial bool) serverStep {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.nextStep == len(d.Steps) || dial && !d.Steps[d.nextStep].ResetAtDial {
		return serverStep{}
	}
	d.nextStep++
	return d.Steps[d.nextStep-1]
}

// dial opens a connection to a server. The next step of the plan may reset it at once.
func (d *simulation) dial(context.Context, string, string) (net.Conn, error) {
	w := newMemConn(d.BufferBytes)
	w.onWrite = d.checkWrite
	d.mu.Lock()
	d.conns = append(d.conns, w)
	d.mu.Unlock()
	if d.step(true).ResetAtDial {
		w.fail(failReset)
	} else {
		go d.serve(w)
	}
	if d.WrapConn != nil {
		return d.WrapConn(w), nil
	}
	return w, nil
}

// checkWrite checks that a request is not sent on a connection that must not be reused. It must be called
// with w.mu held. The function that it returns counts the request as sent.
func (d *simulation) checkWrite(w *memConn, p []byte) (written func(n int)) {
	_, rest, ok := bytes.Cut(p, []byte("\r\nAttempt-Id: "))
	if !ok || !bytes.HasPrefix(p, []byte("GET ")) && !bytes.HasPrefix(p, []byte("POST ")) {
		return func(int) {}
	}
	line, _, _ := bytes.Cut(rest, []byte("\r\n"))
	if !w.unusableSince.IsZero() && w.unusableSince.Before(time.Now()) {
		d.problem("%s is sent on a connection that must not be reused", line)
	}
	return func(n int) {
		if n > 0 {
			d.increment(d.sends, string(line))
		}
	}
}

// fail makes the server end of a connection fail.
func (w *memConn) fail(by failure) {
	switch by {
	case failReset:
		w.update(func() { w.serverReset, w.unusableSince = true, time.Now() })
	case failClose:
		w.update(func() { w.serverClosed, w.unusableSince = true, time.Now() })
	case failSilent:
		w.update(func() { w.unusableSince = time.Now() })
	}
}

// serve runs a server on a connection until that fails or is closed.
func (d *simulation) serve(w *memConn) {
	for {
		first, ok := w.serverRead(1)
		if !ok {
			return
		}
		s := d.step(false)
		got := first
		// read reads until the length returned by end, and reports false at a failure.
		read := func(end func() int) bool {
			for len(got) < end() {
				limit := end() - len(got)
				if s.ReadFailure != noFailure {
					limit = min(limit, s.ReadBytes-len(got))
				}
				if limit <= 0 {
					w.fail(s.ReadFailure)
					return false
				}
				p, ok := w.serverRead(limit)
				if !ok {
					return false
				}
				got = append(got, p...)
			}
			return true
		}
		head := func() int {
			if i := bytes.Index(got, []byte("\r\n\r\n")); i >= 0 {
				return i + 4
			}
			return len(got) + 1
		}
		if !read(head) {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(got)))
		if err != nil {
			d.problem("server received an invalid request %q: %v", got, err)
			return
		}
		id := r.Header.Get(headerAttemptID)
		requestLength := len(got) + int(max(0, r.ContentLength))
		rejected := s.Word == overloaded || s.Word == misdirected
		s.Early = s.Early && rejected
		if s.Early {
			w.serverWrite(answer(s.Word, id))
			d.increment(d.rejections, id)
			s.ReadFailure = noFailure
		}
		time.Sleep(s.BodyDelay)
		if !read(func() int { return requestLength }) {
			return
		}
		if s.ReadFailure != noFailure && s.ReadBytes >= requestLength {
			d.increment(d.executions, id)
			w.fail(s.ReadFailure)
			return
		}
		if _, body, _ := bytes.Cut(got, []byte("\r\n\r\n")); r.RequestURI[3:] != id ||
			string(body) != bodyText(id, len(body)) {
			d.problem("server received a request that no client sent: %s %s", id, r.RequestURI)
		}
		if s.Early {
			continue
		}
		if rejected {
			d.increment(d.rejections, id)
		} else {
			d.increment(d.executions, id)
		}
		response := answer(s.Word, id)
		if s.KeepAliveSeconds > 0 {
			first, rest, _ := bytes.Cut(response, []byte("\r\n"))
			response = fmt.Appendf(nil, "%s\r\nKeep-Alive: timeout=%d\r\n%s", first, s.KeepAliveSeconds, rest)
		}
		d.mu.Lock()
		d.lastSizes = [2]int{requestLength, len(response)}
		d.mu.Unlock()
		if s.WriteFailure != noFailure && s.WriteBytes < len(response) {
			w.serverWrite(response[:s.WriteBytes])
			w.fail(s.WriteFailure)
			return
		}
		if s.Pause > 0 {
			w.serverWrite(response[:s.WriteBytes])
			time.Sleep(s.Pause)
			response = response[s.WriteBytes:]
		}
		w.serverWrite(response)
		if s.Word == untilClose || s.Word == untilCloseNotFound {
			w.fail(failClose)
			return
		}
		if s.Excess != noExcess {
			time.Sleep(s.ExcessDelay)
			w.update(func() { w.unusableSince = time.Now() })
			w.serverWrite([][]byte{garbage: []byte("\x00noise\r\n\r\n"), repeatedAnswer: response,
				anonymousRejection: []byte("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
				foreignAnswer:      answer(ownAnswer, "another")}[s.Excess])
		}
		if s.EndFailure == failSilent {
			return // the gateway cannot detect it
		}
		if s.EndFailure != noFailure {
			time.Sleep(s.EndDelay)
			w.fail(s.EndFailure)
			return
		}
	}
}

// bodyText returns a body that identifies the request ID.
func bodyText(id string, length int) string {
	return strings.Repeat(id+".", length/(len(id)+1)+1)[:length]
}

// answer returns the response of a server to the request with the given ID.
func answer(w answerKind, id string) []byte {
	status, body, lines := 200, bodyText(id, 30), headerAttemptID+": "+id+"\r\n"+headerServerSeal+": s\r\n"
	switch w {
	case longAnswer:
		body = bodyText(id, 70<<10)
	case foreignFirst:
		return append(answer(ownAnswer, "another"), answer(ownAnswer, id)...)
	case overloaded:
		status, lines = 503, headerAttemptID+": "+id+"\r\n"+headerNotRun+": 1\r\n"
	case misdirected:
		status, lines = 421, headerAttemptID+": "+id+"\r\n"
	case notFound, untilCloseNotFound:
		status = 404
	case ranError:
		status = 500
	case ranTooManyRequests:
		status = 429
	case ranUnavailable:
		status = 503
	case withoutSeal:
		lines = headerAttemptID + ": " + id + "\r\n"
	case withoutID:
		lines = headerServerSeal + ": s\r\n"
	}
	switch w {
	case chunkedAnswer:
		body = fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 10, body[:10], len(body)-10, body[10:])
		lines += "Transfer-Encoding: chunked\r\n"
	case untilClose, untilCloseNotFound:
	default:
		lines += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d Word\r\n%s\r\n%s", status, lines, body)
}

// defaultClientTimeout is how long clients wait for a response, and answerSlack the extra time that its
// delivery may take.
const (
	defaultClientTimeout = 900 * time.Millisecond
	answerSlack          = 100 * time.Millisecond
)

// client runs one client, which uses a single connection as long as it can be reused.
func (d *simulation) client(n *scenario.Net, number int, requests []clientRequest) {
	var c net.Conn
	var in *bufio.Reader
	for i, a := range requests {
		time.Sleep(a.Delay)
		id := fmt.Sprintf("r%d-%d", number, i)
		if c == nil {
			c, _ = n.Dial(context.Background(), "memory", "ingress")
			in = bufio.NewReader(c)
		}
		method, path := "GET", "/r/"
		if a.Writing {
			method, path, id = "POST", "/w/", "w"+id
		}
		fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: %s\r\nTime-Left-Ms: %d\r\n"+
			"Content-Length: %d\r\n\r\n%s", method, path+id, id, d.ClientTimeout.Milliseconds(), a.Body,
			bodyText(id, a.Body))
		if a.LeaveAfter > 0 {
			time.Sleep(a.LeaveAfter)
		}
		if err := c.SetReadDeadline(time.Now().Add(d.ClientTimeout + answerSlack)); err != nil {
			return
		}
		if a.LeaveAfter > 0 || !d.checkAnswer(in, id) {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// checkAnswer reads a response and checks it. It reports whether the connection can be reused.
func (d *simulation) checkAnswer(in *bufio.Reader, id string) bool {
	r, err := http.ReadResponse(in, nil)
	var body []byte
	if err == nil {
		defer r.Body.Close()
		body, err = io.ReadAll(r.Body)
	}
	var slow net.Error
	switch {
	case err != nil:
		// A timeout within a response is no problem: the gateway waits for a server that is silent there.
		if errors.As(err, &slow) && slow.Timeout() && r == nil {
			d.problem("%s received no response in time", id)
		}
		return false
	case r.Header.Get(headerAttemptID) != "" && r.Header.Get(headerAttemptID) != id:
		d.problem("%s received the response to %s", id, r.Header.Get(headerAttemptID))
	case r.StatusCode == http.StatusOK && (r.Header.Get(headerServerSeal) == "" ||
		r.Header.Get(headerAttemptID) == ""):
		d.problem("%s received a success without ID or seal", id)
	case (r.StatusCode == http.StatusOK || r.Header.Get(headerAttemptID) != "") &&
		string(body) != bodyText(id, max(30, len(body))):
		d.problem("%s received a wrong body of %d bytes", id, len(body))
	}
	switch r.StatusCode {
	case http.StatusOK:
		d.mu.Lock()
		d.completeAnswers++
		d.mu.Unlock()
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		d.mu.Lock()
		d.notRunStatus[id] = r.StatusCode
		d.mu.Unlock()
	}
	return !r.Close
}

// checkExecutions checks that no write was executed twice, executed though its client was told that it was
// not, or sent again without a rejection.
func (d *simulation) checkExecutions() {
	for id, n := range d.executions {
		if id[0] == 'w' && n > 1 {
			d.problem("%s was executed %d times", id, n)
		}
		if status := d.notRunStatus[id]; id[0] == 'w' && status != 0 {
			d.problem("%s was executed, and its client received status %d, which means that it was not", id, status)
		}
	}
	for id, n := range d.sends {
		if id[0] == 'w' && n > 1+d.rejections[id] {
			d.problem("%s was sent %d times, and rejected %d times", id, n, d.rejections[id])
		}
	}
}

// simulate runs a plan and returns the simulation with the problems found.
func simulate(t *testing.T, p plan) *simulation {
	d := &simulation{t: t, plan: p, executions: map[string]int{}, sends: map[string]int{},
		rejections: map[string]int{}, notRunStatus: map[string]int{}}
	d.BufferBytes, d.ClientTimeout = cmp.Or(p.BufferBytes, 1<<20), cmp.Or(p.ClientTimeout, defaultClientTimeout)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		up := core.Upstream(forward.New(forward.Config{Dial: d.dial, DialTimeout: time.Second,
			KeepAlive: 10 * time.Second, Connections: 50, Hold: 64 << 10, Limits: http1.Limits{Head: 32 << 10,
				Body: 64 << 10}, Log: zerolog.Nop(),
			Judge:   func(*http1.Response) core.Result { return core.Result{Code: choice.Reset} },
			Streams: func(*http.Response) core.Result { return core.Result{Code: choice.Reset} }}))
		if p.WrapUpstream != nil {
			up = p.WrapUpstream(up)
		}
		start := time.Now()
		f := New(Options{Zone: "a", SlowLog: &slowlog.Log{}, Log: func(events.Event, ...any) {},
			Clock:      func() time.Duration { return time.Since(start) },
			BodyBudget: flow.NewBudget(flow.Options{Bytes: 1 << 20, MinWindow: 16 << 10, Window: 128 << 10}),
			NewCore: func(_ string, set choice.Settings) (*core.Core, error) {
				c, err := core.New(core.Config{Settings: set, Seed: 1, Upstream: up,
					FinishSent: true})
				if err == nil {
					go c.Run(ctx)
				}
				return c, err
			}})
		config, err := routing.Parse([]byte(`{"version":"r1","items_of":[` + routeJSON("r", "read_only") + "," +
			routeJSON("w", "writing") + `,{"item_kind":"backends","metadata":{"name":"s"},"desired":{}}]}`))
		if err != nil {
			t.Fatal(err)
		}
		servers := []message.Endpoint{{ID: "s1", Service: "s", Addr: "a:1", Zone: "a", Capacity: 4},
			{ID: "s2", Service: "s", Addr: "a:2", Zone: "a", Capacity: 4}}
		if p.SingleServer {
			servers = servers[:1]
		}
		f.SetEndpoints(servers)
		f.SetConfig(config)
		n := scenario.NewNet()
		l, _ := n.Listen("memory", "ingress")
		in := accept.NewStreams(l, f, 50, accept.Streams{Head: 16 << 10, Short: 64 << 10, Wait: 3 * time.Second,
			Idle: 15 * time.Second, Store: flow.NewStore(4 << 20)}, zerolog.Nop())
		go func() { _ = in.Serve() }() // it returns when the test ends
		time.Sleep(time.Second)
		var clients sync.WaitGroup
		for i, requests := range p.Requests {
			clients.Go(func() { d.client(n, i, requests) })
		}
		clients.Wait()
		in.Drain()
		time.Sleep(time.Second)
		stop()
		for _, w := range d.conns {
			w.fail(failReset)
		}
		time.Sleep(time.Minute) // let all remaining waits time out
	})
	d.checkExecutions()
	return d
}

// routeJSON returns a public route with the path prefix "/name/" in the format of the configuration.
func routeJSON(name, kind string) string {
	return fmt.Sprintf(`{"item_kind":"routes","metadata":{"name":%q},"desired":{"domain":"one.example",
"path_start":"/%[1]s/","kind":%q,"give_up_s":60,"target_s":0.25,"rank":0,"backend":"s","tries":2,
"public":true}}`, name, kind)
}

var writeRequest = clientRequest{Writing: true, Body: 40, Delay: 10 * time.Millisecond}

// A server resets, closes or goes silent at any byte of the request or the response, on a new or a reused
// connection. A request that is not idempotent must then be sent only once, and no client may be told that
// it was not executed.
func TestServerFailureAtAnyByte(t *testing.T) {
	t.Parallel()
	for _, before := range [][]serverStep{nil, {{}}} {
		requests := [][]clientRequest{make([]clientRequest, len(before)+2)}
		for i := range requests[0] {
			requests[0][i] = writeRequest
		}
		size := simulate(t, plan{Requests: requests}).lastSizes
		for by := failReset; by < failureKinds; by++ {
			for cut := 1; cut <= size[0]; cut++ {
				check(t, plan{BufferBytes: 24, Requests: requests,
					Steps: append(before, serverStep{ReadBytes: cut, ReadFailure: by})})
			}
			// With a buffer that takes the whole request, all cuts look the same to the gateway.
			for _, cut := range []int{1, size[0] - 1, size[0]} {
				check(t, plan{Requests: requests,
					Steps: append(before, serverStep{ReadBytes: cut, ReadFailure: by})})
			}
			for stop := range size[1] {
				check(t, plan{Requests: requests,
					Steps: append(before, serverStep{WriteBytes: stop, WriteFailure: by})})
			}
		}
	}
}

// check runs a plan and fails the test if there are problems.
func check(t *testing.T, p plan) {
	t.Helper()
	if d := simulate(t, p); len(d.problems) > 0 {
		t.Errorf("buffer of %d bytes, steps %+v: %q", p.BufferBytes, p.Steps, d.problems)
	}
}

// genPlan generates random plans.
func genPlan() gopter.Gen {
	times := gen.OneConstOf(time.Duration(0), time.Millisecond, 2*time.Millisecond, 3*time.Millisecond,
		10*time.Millisecond, 30*time.Millisecond)
	steps := gen.SliceOfN(8, gen.Struct(reflect.TypeFor[serverStep](), map[string]gopter.Gen{
		"ResetAtDial": genMostlyNone(failureKinds).Map(func(h failure) bool { return h == failReset }),
		"ReadBytes":   gen.IntRange(1, 300), "ReadFailure": genMostlyNone(failureKinds),
		"Word":  gen.IntRange(0, int(answerKinds)-1).Map(func(i int) answerKind { return answerKind(i) }),
		"Early": gen.Bool(), "BodyDelay": times,
		"WriteBytes": gen.IntRange(0, 200), "WriteFailure": genMostlyNone(failureKinds),
		"Excess": genMostlyNone(excessKinds), "ExcessDelay": times,
		"EndFailure": genMostlyNone(failureKinds), "EndDelay": times}))
	requests := gen.SliceOfN(4, gen.Struct(reflect.TypeFor[clientRequest](), map[string]gopter.Gen{
		"Writing": gen.Bool(), "Body": gen.OneConstOf(0, 40, 65<<10), "Delay": times,
		"LeaveAfter": gen.Weighted([]gen.WeightedGen{{Weight: 4, Gen: gen.Const(time.Duration(0))},
			{Weight: 1, Gen: times}})}))
	return gopter.CombineGens(gen.OneConstOf(200, 4<<10, 1<<20), steps, gen.SliceOfN(3, requests)).Map(
		func(v []any) plan {
			return plan{BufferBytes: v[0].(int), Steps: v[1].([]serverStep), Requests: v[2].([][]clientRequest)}
		})
}

// genMostlyNone generates a kind of fault, mostly the zero value, which is none.
func genMostlyNone[T ~int](kinds T) gopter.Gen {
	return gen.Weighted([]gen.WeightedGen{{Weight: 3, Gen: gen.Const(T(0))},
		{Weight: 1, Gen: gen.IntRange(1, int(kinds)-1).Map(func(i int) T { return T(i) })}})
}

// With any mix of faults, each response must be complete and belong to its request, and a request that is
// not idempotent must be executed at most once, and not at all if its client was told so.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	set := gopter.DefaultTestParametersWithSeed(5)
	set.MinSuccessfulTests = 150
	p := gopter.NewProperties(set)
	p.Property("invariants", prop.ForAll(func(p plan) (string, error) {
		return strings.Join(simulate(t, p).problems, "; "), nil
	}, genPlan()))
	p.TestingRun(t)
}

// modifyingUpstream changes the attempts that it passes on.
type modifyingUpstream struct {
	core.Upstream
	modify func(a core.Attempt) core.Attempt
}

func (u modifyingUpstream) Start(a core.Attempt) core.Running { return u.Upstream.Start(u.modify(a)) }

// unobservedConn hides unsolicited bytes and closed connections from the gateway.
type unobservedConn struct{ *memConn }

func (b unobservedConn) Unread() bool { return false }

func (b unobservedConn) ReadWanted(p []byte, lock sync.Locker, wanted func() bool) (int, error) {
	for {
		b.mu.Lock()
		generation := b.generation
		b.mu.Unlock()
		n, err := b.memConn.ReadWanted(p, lock, wanted)
		if !errors.Is(err, direct.ErrUnwanted) {
			return n, err
		}
		b.mu.Lock()
		err = b.waitForChange(generation, b.deadlines[readSide])
		b.mu.Unlock()
		if err != nil {
			return 0, err
		}
	}
}

// trustingRequest accepts any response as its own.
type trustingRequest struct{ *upstreamRequest }

func (c trustingRequest) Judge(r *http1.Response, a forward.Arrival) (core.Result, forward.Fit) {
	r.Header.Set(headerAttemptID, c.id)
	return c.upstreamRequest.Judge(r, a)
}

// Each injected defect of the data plane must be detected, and the same plan without the defect must have no
// problems.
func TestSeededDefects(t *testing.T) {
	retryAfterReset := func(next core.Upstream) core.Upstream {
		return modifyingUpstream{next, func(a core.Attempt) core.Attempt {
			end := a.End
			a.End = func(r core.Result) {
				if r.Code == choice.Reset {
					r.Code = choice.Refused
				}
				end(r)
			}
			return a
		}}
	}
	trustAnyAnswer := func(next core.Upstream) core.Upstream {
		return modifyingUpstream{next, func(a core.Attempt) core.Attempt {
			a.Payload = trustingRequest{a.Payload.(*upstreamRequest)}
			return a
		}}
	}
	twoWrites := []clientRequest{writeRequest, {Writing: true, Body: 40, Delay: 9 * time.Millisecond}}
	for name, c := range map[string]struct {
		plan
		want string
	}{
		"retry after a reset when the head was written": {plan{WrapUpstream: retryAfterReset,
			Requests: [][]clientRequest{twoWrites},
			Steps:    []serverStep{{ReadBytes: 100, ReadFailure: failReset}}},
			"wr0-0 was sent 2 times"},
		"retry after execution": {plan{WrapUpstream: retryAfterReset,
			Requests: [][]clientRequest{twoWrites},
			Steps:    []serverStep{{WriteFailure: failClose, WriteBytes: 20}}},
			"wr0-0 was executed 2 times"},
		"reuse of a connection with unsolicited bytes": {plan{Requests: [][]clientRequest{twoWrites},
			WrapConn: func(w *memConn) net.Conn { return unobservedConn{w} },
			Steps:    []serverStep{{Excess: garbage, ExcessDelay: time.Millisecond}}},
			"wr0-1 is sent on a connection that must not be reused"},
		"reuse of a connection that the server closed": {plan{Requests: [][]clientRequest{twoWrites},
			WrapConn: func(w *memConn) net.Conn { return unobservedConn{w} },
			Steps:    []serverStep{{EndFailure: failClose, EndDelay: time.Millisecond}}},
			"wr0-1 is sent on a connection that must not be reused"},
		"late response accepted for the next request": {plan{WrapUpstream: trustAnyAnswer,
			Requests: [][]clientRequest{twoWrites},
			Steps:    []serverStep{{Excess: repeatedAnswer, ExcessDelay: 10 * time.Millisecond}}},
			"wr0-1 received a wrong body of 30"},
	} {
		if got := strings.Join(simulate(t, c.plan).problems, "; "); !strings.Contains(got, c.want) {
			t.Errorf("%s: problems %q, want %q", name, got, c.want)
		}
		c.WrapUpstream, c.WrapConn = nil, nil
		if got := simulate(t, c.plan).problems; len(got) > 0 {
			t.Errorf("without the defect (%s): problems %q", name, got)
		}
	}
}

// An idle connection must be reused only well within the idle timeout that its server sends.
func TestIdleConnectionRespectsServerKeepAlive(t *testing.T) {
	for idle, want := range map[time.Duration]int{1100 * time.Millisecond: 1, 1300 * time.Millisecond: 2} {
		d := simulate(t, plan{Requests: [][]clientRequest{{writeRequest, {Writing: true, Delay: idle}}},
			Steps: []serverStep{{KeepAliveSeconds: 2, EndFailure: failClose, EndDelay: 2 * time.Second}}})
		if len(d.conns) != want || len(d.problems) > 0 {
			t.Errorf("after %v: %d connections, want %d; %q", idle, len(d.conns), want, d.problems)
		}
	}
}

// A server that pauses within a long response, for less than its client waits, must not cause a truncated
// response.
func TestPausingServerDoesNotTruncateAnswer(t *testing.T) {
	d := simulate(t, plan{ClientTimeout: 40 * time.Second, Requests: [][]clientRequest{{writeRequest}},
		SingleServer: true,
		Steps:        []serverStep{{Word: longAnswer, WriteBytes: 66 << 10, Pause: 30 * time.Second}}})
	if len(d.problems) > 0 || d.completeAnswers != 1 {
		t.Errorf("%d complete responses, want 1; problems %q", d.completeAnswers, d.problems)
	}
}

// After a retry, or a response before the end of the request, a connection must not be reused while a
// response is outstanding or the rest of the body is still being sent.
func TestConnectionWithOutstandingDataIsNotReused(t *testing.T) {
	const ms = time.Millisecond
	readRequest, longWrite := clientRequest{Delay: 10 * ms},
		clientRequest{Writing: true, Body: 65 << 10, Delay: 10 * ms}
	for name, p := range map[string]plan{
		"late second response to a request that is retried": {
			Requests: [][]clientRequest{{readRequest, readRequest, readRequest, readRequest, readRequest,
				writeRequest}},
			Steps: []serverStep{{}, {}, {}, {}, {Word: ranError, Excess: repeatedAnswer, ExcessDelay: 3 * ms},
				{BodyDelay: 30 * ms}}},
		"response before the end of the body": {BufferBytes: 200,
			Requests: [][]clientRequest{{readRequest, longWrite}, {{Writing: true, Delay: 25 * ms}}},
			Steps:    []serverStep{{}, {Word: overloaded, Early: true, BodyDelay: 30 * ms}, {BodyDelay: 30 * ms}}},
	} {
		p.SingleServer = true
		if d := simulate(t, p); len(d.problems) > 0 || d.nextStep < len(p.Steps) || len(d.conns) < 2 {
			t.Errorf("%s: %d steps, %d connections, %q", name, d.nextStep, len(d.conns), d.problems)
		}
	}
}

// slowWriterConn returns from Write some time after the bytes were sent, as on a busy CPU.
type slowWriterConn struct {
	*memConn
	delay time.Duration
}

func (l slowWriterConn) Write(p []byte) (int, error) {
	n, err := l.memConn.Write(p)
	time.Sleep(l.delay)
	return n, err
}

// A response may arrive before the write of its request has returned. The connection must still be reused;
// but if the write returns only after the time that an early response is waited for, the response counts as
// early, and the connection is closed. (The second request is the first that can race: a new connection is
// read only once its first request is written.)
func TestConnectionIsKeptWhenAnswerPrecedesWriter(t *testing.T) {
	for after, want := range map[time.Duration]int{0: 1, time.Millisecond: 1, 5 * time.Millisecond: 2} {
		d := simulate(t, plan{SingleServer: true,
			Requests: [][]clientRequest{{writeRequest, writeRequest, writeRequest}},
			WrapConn: func(w *memConn) net.Conn { return slowWriterConn{w, after} }})
		if len(d.conns) != want || len(d.problems) > 0 {
			t.Errorf("write delayed by %v: %d connections, want %d; %q", after, len(d.conns), want, d.problems)
		}
	}
}
