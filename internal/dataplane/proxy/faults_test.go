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

// how a server breaks off.
type how int

const (
	not how = iota
	resets
	closes
	falls // silent
	hows
)

// word is what a server answers.
type word int

const (
	itsOwn     word = iota // sealed, and whole
	tooLong                // the same, longer than the gateway holds
	inChunks               // the same, in chunks
	foreign                // another request's first, and then its own
	full                   // 503, not run
	moved                  // 421
	missing                // 404
	ranOut                 // 500
	ranBusy                // 429, but it has run
	ranRefused             // 503, but it has run
	unsealed
	nameless // without an id
	unending // until the connection closes
	unendingMissing
	words
)

// excess is what a server sends beyond its answer.
type excess int

const (
	none excess = iota
	noise
	repeated     // the same answer
	turned       // that a request has not run, and not which
	othersAnswer // with an id
	excesses
)

// step is what a server does with one request.
type step struct {
	AtDial bool // resets the connection at once
	Cut    int  // so many bytes of the request are read, and then
	CutHow how
	Word   word
	Early  bool          // where it turns the request away: before its body
	Slow   time.Duration // before it reads on behind the head
	Keep   int           // seconds for which it says that it keeps idle connections; 0: it doesn't say
	Stop   int           // so many bytes of the answer go out, and then
	StopBy how
	Pause  time.Duration // or it rests there, and goes on
	Excess excess
	Late   time.Duration // before the excess
	Then   how           // after the answer
	After  time.Duration
}

// ask is a client's request.
type ask struct {
	Writing bool
	Body    int
	Gap     time.Duration // before it
	Stay    time.Duration // for its answer; 0: as long as that may take
}

// trouble is a drawn day.
type trouble struct {
	Room  int // bytes that a connection holds on their way to a server
	Steps []step
	Asks  [][]ask       // by client
	Alone bool          // there is one server, not two
	Wait  time.Duration // that clients have for an answer; 0: patient
	// A seeded defect, if one is.
	Upstream func(core.Upstream) core.Upstream
	Wire     func(*wire) net.Conn
}

// day is a plan being played, and what was seen of it.
type day struct {
	t *testing.T
	trouble
	mu       sync.Mutex
	next     int
	ran      map[string]int // by id
	sent     map[string]int // to servers, a byte at the least
	away     map[string]int // turned away by servers
	promised map[string]int // the status by which a client was told that it has not run
	problems []string
	wires    []*wire
	bytes    [2]int // of the last request and answer
	whole    int    // successes that came whole
}

func (d *day) fault(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.problems = append(d.problems, fmt.Sprintf(format, args...))
}

func (d *day) count(of map[string]int, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	of[id]++
}

// step returns what becomes of a request, or of a connection, if the next step is for one.
func (d *day) step(dial bool) step {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.next == len(d.Steps) || dial && !d.Steps[d.next].AtDial {
		return step{}
	}
	d.next++
	return d.Steps[d.next-1]
}

func (d *day) dial(context.Context, string, string) (net.Conn, error) {
	w := newWire(d.Room)
	w.watch = d.wrote
	d.mu.Lock()
	d.wires = append(d.wires, w)
	d.mu.Unlock()
	if d.step(true).AtDial {
		w.end(resets)
	} else {
		go d.serve(w)
	}
	if d.Wire != nil {
		return d.Wire(w), nil
	}
	return w, nil
}

// wrote looks at what the gateway writes. The wire's lock is held.
func (d *day) wrote(w *wire, p []byte) (went func(n int)) {
	_, rest, ok := bytes.Cut(p, []byte("\r\nAttempt-Id: "))
	if !ok || !bytes.HasPrefix(p, []byte("GET ")) && !bytes.HasPrefix(p, []byte("POST ")) {
		return func(int) {}
	}
	line, _, _ := bytes.Cut(rest, []byte("\r\n"))
	if !w.doubt.IsZero() && w.doubt.Before(time.Now()) {
		d.fault("%s is sent on a connection that is in doubt", line)
	}
	return func(n int) {
		if n > 0 {
			d.count(d.sent, string(line))
		}
	}
}

// end is the server's end of a connection.
func (w *wire) end(by how) {
	switch by {
	case resets:
		w.set(func() { w.reset, w.doubt = true, time.Now() })
	case closes:
		w.set(func() { w.fin, w.doubt = true, time.Now() })
	case falls:
		w.set(func() { w.doubt = time.Now() })
	}
}

// serve is a server.
func (d *day) serve(w *wire) {
	for {
		first, ok := w.serverRead(1)
		if !ok {
			return
		}
		s := d.step(false)
		got := first
		// read reads to the end of something, or to where the server breaks off.
		read := func(end func() int) bool {
			for len(got) < end() {
				most := end() - len(got)
				if s.CutHow != not {
					most = min(most, s.Cut-len(got))
				}
				if most <= 0 {
					w.end(s.CutHow)
					return false
				}
				p, ok := w.serverRead(most)
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
			d.fault("a server gets %q: %v", got, err)
			return
		}
		id := r.Header.Get(headerAttemptID)
		whole := len(got) + int(max(0, r.ContentLength))
		away := s.Word == full || s.Word == moved
		s.Early = s.Early && away
		if s.Early {
			w.serverWrite(answer(s.Word, id))
			d.count(d.away, id)
			s.CutHow = not
		}
		time.Sleep(s.Slow)
		if !read(func() int { return whole }) {
			return
		}
		if s.CutHow != not && s.Cut >= whole {
			d.count(d.ran, id)
			w.end(s.CutHow)
			return
		}
		if _, body, _ := bytes.Cut(got, []byte("\r\n\r\n")); r.RequestURI[3:] != id ||
			string(body) != text(id, len(body)) {
			d.fault("a server gets a request that no client sent: %s %s", id, r.RequestURI)
		}
		if s.Early {
			continue
		}
		if away {
			d.count(d.away, id)
		} else {
			d.count(d.ran, id)
		}
		out := answer(s.Word, id)
		if s.Keep > 0 {
			first, rest, _ := bytes.Cut(out, []byte("\r\n"))
			out = fmt.Appendf(nil, "%s\r\nKeep-Alive: timeout=%d\r\n%s", first, s.Keep, rest)
		}
		d.mu.Lock()
		d.bytes = [2]int{whole, len(out)}
		d.mu.Unlock()
		if s.StopBy != not && s.Stop < len(out) {
			w.serverWrite(out[:s.Stop])
			w.end(s.StopBy)
			return
		}
		if s.Pause > 0 {
			w.serverWrite(out[:s.Stop])
			time.Sleep(s.Pause)
			out = out[s.Stop:]
		}
		w.serverWrite(out)
		if s.Word == unending || s.Word == unendingMissing {
			w.end(closes)
			return
		}
		if s.Excess != none {
			time.Sleep(s.Late)
			w.set(func() { w.doubt = time.Now() })
			w.serverWrite([][]byte{noise: []byte("\x00noise\r\n\r\n"), repeated: out,
				turned:       []byte("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
				othersAnswer: answer(itsOwn, "another")}[s.Excess])
		}
		if s.Then == falls {
			return // nobody can see it
		}
		if s.Then != not {
			time.Sleep(s.After)
			w.end(s.Then)
			return
		}
	}
}

// text is a body that belongs to an id.
func text(id string, length int) string {
	return strings.Repeat(id+".", length/(len(id)+1)+1)[:length]
}

// answer is what a server sends.
func answer(w word, id string) []byte {
	status, body, lines := 200, text(id, 30), headerAttemptID+": "+id+"\r\n"+headerServerSeal+": s\r\n"
	switch w {
	case tooLong:
		body = text(id, 70<<10)
	case foreign:
		return append(answer(itsOwn, "another"), answer(itsOwn, id)...)
	case full:
		status, lines = 503, headerAttemptID+": "+id+"\r\n"+headerNotRun+": 1\r\n"
	case moved:
		status, lines = 421, headerAttemptID+": "+id+"\r\n"
	case missing, unendingMissing:
		status = 404
	case ranOut:
		status = 500
	case ranBusy:
		status = 429
	case ranRefused:
		status = 503
	case unsealed:
		lines = headerAttemptID + ": " + id + "\r\n"
	case nameless:
		lines = headerServerSeal + ": s\r\n"
	}
	switch w {
	case inChunks:
		body = fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 10, body[:10], len(body)-10, body[10:])
		lines += "Transfer-Encoding: chunked\r\n"
	case unending, unendingMissing:
	default:
		lines += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d Word\r\n%s\r\n%s", status, lines, body)
}

// patient is how long clients wait, and late how much longer an answer may be under way.
const (
	patient = 900 * time.Millisecond
	late    = 100 * time.Millisecond
)

// client plays one client, on one connection as long as that holds.
func (d *day) client(n *scenario.Net, number int, asks []ask) {
	var c net.Conn
	var in *bufio.Reader
	for i, a := range asks {
		time.Sleep(a.Gap)
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
			"Content-Length: %d\r\n\r\n%s", method, path+id, id, d.Wait.Milliseconds(), a.Body, text(id, a.Body))
		if a.Stay > 0 {
			time.Sleep(a.Stay)
		}
		if err := c.SetReadDeadline(time.Now().Add(d.Wait + late)); err != nil {
			return
		}
		if a.Stay > 0 || !d.look(in, id) {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// look reads an answer and holds it to the rules. It reports whether the connection can be used again.
func (d *day) look(in *bufio.Reader, id string) bool {
	r, err := http.ReadResponse(in, nil)
	var body []byte
	if err == nil {
		defer r.Body.Close()
		body, err = io.ReadAll(r.Body)
	}
	var slow net.Error
	switch {
	case err != nil:
		if errors.As(err, &slow) && slow.Timeout() && r == nil { // else a server's silence, which is waited out
			d.fault("%s gets no answer in time", id)
		}
		return false
	case r.Header.Get(headerAttemptID) != "" && r.Header.Get(headerAttemptID) != id:
		d.fault("%s gets the answer to %s", id, r.Header.Get(headerAttemptID))
	case r.StatusCode == http.StatusOK && (r.Header.Get(headerServerSeal) == "" ||
		r.Header.Get(headerAttemptID) == ""):
		d.fault("%s gets a success that is not the server's", id)
	case (r.StatusCode == http.StatusOK || r.Header.Get(headerAttemptID) != "") &&
		string(body) != text(id, max(30, len(body))):
		d.fault("%s gets a body of %d bytes that is not the server's", id, len(body))
	}
	switch r.StatusCode {
	case http.StatusOK:
		d.mu.Lock()
		d.whole++
		d.mu.Unlock()
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		d.mu.Lock()
		d.promised[id] = r.StatusCode
		d.mu.Unlock()
	}
	return !r.Close
}

// end holds the whole day to the rules.
func (d *day) end() {
	for id, n := range d.ran {
		if id[0] == 'w' && n > 1 {
			d.fault("%s has run %d times", id, n)
		}
		if status := d.promised[id]; id[0] == 'w' && status != 0 {
			d.fault("%s has run, and its client was told by %d that it has not", id, status)
		}
	}
	for id, n := range d.sent {
		if id[0] == 'w' && n > 1+d.away[id] {
			d.fault("%s is sent %d times, and was turned away %d times", id, n, d.away[id])
		}
	}
}

// play plays a plan and returns what was wrong.
func play(t *testing.T, p trouble) *day {
	d := &day{t: t, trouble: p, ran: map[string]int{}, sent: map[string]int{}, away: map[string]int{},
		promised: map[string]int{}}
	d.Room, d.Wait = cmp.Or(p.Room, 1<<20), cmp.Or(p.Wait, patient)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		up := core.Upstream(forward.New(forward.Config{Dial: d.dial, DialTimeout: time.Second,
			KeepAlive: 10 * time.Second, Connections: 50, Hold: 64 << 10, Limits: http1.Limits{Head: 32 << 10,
				Body: 64 << 10}, Log: zerolog.Nop(),
			Judge:   func(*http1.Response) core.Result { return core.Result{Code: choice.Reset} },
			Streams: func(*http.Response) core.Result { return core.Result{Code: choice.Reset} }}))
		if p.Upstream != nil {
			up = p.Upstream(up)
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
		config, err := routing.Parse([]byte(`{"version":"r1","items_of":[` + route("r", "read_only") + "," +
			route("w", "writing") + `,{"item_kind":"backends","metadata":{"name":"s"},"desired":{}}]}`))
		if err != nil {
			t.Fatal(err)
		}
		servers := []message.Endpoint{{ID: "s1", Service: "s", Addr: "a:1", Zone: "a", Capacity: 4},
			{ID: "s2", Service: "s", Addr: "a:2", Zone: "a", Capacity: 4}}
		if p.Alone {
			servers = servers[:1]
		}
		f.SetEndpoints(servers)
		f.SetConfig(config)
		n := scenario.NewNet()
		l, _ := n.Listen("memory", "ingress")
		in := accept.NewStreams(l, f, 50, accept.Streams{Head: 16 << 10, Short: 64 << 10, Wait: 3 * time.Second,
			Idle: 15 * time.Second, Store: flow.NewStore(4 << 20)}, zerolog.Nop())
		go func() { _ = in.Serve() }() // it ends with the test
		time.Sleep(time.Second)
		var clients sync.WaitGroup
		for i, asks := range p.Asks {
			clients.Go(func() { d.client(n, i, asks) })
		}
		clients.Wait()
		in.Drain()
		time.Sleep(time.Second)
		stop()
		for _, w := range d.wires {
			w.end(resets)
		}
		time.Sleep(time.Minute) // whatever still waits runs into its limit
	})
	d.end()
	return d
}

func route(name, kind string) string {
	return fmt.Sprintf(`{"item_kind":"routes","metadata":{"name":%q},"desired":{"domain":"one.example",
"path_start":"/%[1]s/","kind":%q,"give_up_s":60,"target_s":0.25,"rank":0,"backend":"s","tries":2,
"public":true}}`, name, kind)
}

var writing = ask{Writing: true, Body: 40, Gap: 10 * time.Millisecond}

// Given a request on a new connection or a kept one, when the server resets, closes or falls silent at any
// byte of the request or of the answer, then what may not be repeated is sent once, and nobody is told that
// it has not run.
func TestABreakAtAnyByte(t *testing.T) {
	t.Parallel()
	for _, before := range [][]step{nil, {{}}} {
		asks := [][]ask{make([]ask, len(before)+2)}
		for i := range asks[0] {
			asks[0][i] = writing
		}
		size := play(t, trouble{Asks: asks}).bytes
		for by := resets; by < hows; by++ {
			for cut := 1; cut <= size[0]; cut++ {
				check(t, trouble{Room: 24, Asks: asks, Steps: append(before, step{Cut: cut, CutHow: by})})
			}
			// Where all of it has gone into the buffers, the gateway can't tell one byte from another.
			for _, cut := range []int{1, size[0] - 1, size[0]} {
				check(t, trouble{Asks: asks, Steps: append(before, step{Cut: cut, CutHow: by})})
			}
			for stop := range size[1] {
				check(t, trouble{Asks: asks, Steps: append(before, step{Stop: stop, StopBy: by})})
			}
		}
	}
}

func check(t *testing.T, p trouble) {
	t.Helper()
	if d := play(t, p); len(d.problems) > 0 {
		t.Errorf("room %d, steps %+v: %q", p.Room, p.Steps, d.problems)
	}
}

// drawn draws a plan.
func drawn() gopter.Gen {
	times := gen.OneConstOf(time.Duration(0), time.Millisecond, 2*time.Millisecond, 3*time.Millisecond,
		10*time.Millisecond, 30*time.Millisecond)
	steps := gen.SliceOfN(8, gen.Struct(reflect.TypeFor[step](), map[string]gopter.Gen{
		"AtDial": seldom(hows).Map(func(h how) bool { return h == resets }),
		"Cut":    gen.IntRange(1, 300), "CutHow": seldom(hows),
		"Word":  gen.IntRange(0, int(words)-1).Map(func(i int) word { return word(i) }),
		"Early": gen.Bool(), "Slow": times,
		"Stop": gen.IntRange(0, 200), "StopBy": seldom(hows),
		"Excess": seldom(excesses), "Late": times,
		"Then": seldom(hows), "After": times}))
	asks := gen.SliceOfN(4, gen.Struct(reflect.TypeFor[ask](), map[string]gopter.Gen{"Writing": gen.Bool(),
		"Body": gen.OneConstOf(0, 40, 65<<10), "Gap": times,
		"Stay": gen.Weighted([]gen.WeightedGen{{Weight: 4, Gen: gen.Const(time.Duration(0))},
			{Weight: 1, Gen: times}})}))
	return gopter.CombineGens(gen.OneConstOf(200, 4<<10, 1<<20), steps, gen.SliceOfN(3, asks)).Map(
		func(v []any) trouble {
			return trouble{Room: v[0].(int), Steps: v[1].([]step), Asks: v[2].([][]ask)}
		})
}

// seldom draws one of a kind of faults, whose first is none, and mostly that.
func seldom[T ~int](kinds T) gopter.Gen {
	return gen.Weighted([]gen.WeightedGen{{Weight: 3, Gen: gen.Const(T(0))},
		{Weight: 1, Gen: gen.IntRange(1, int(kinds)-1).Map(func(i int) T { return T(i) })}})
}

// Given clients whose requests meet any mix of faults, then every answer is its request's and whole, and what
// may not be repeated runs once, and not at all if its client was told so.
func TestDrawnFaults(t *testing.T) {
	t.Parallel()
	set := gopter.DefaultTestParametersWithSeed(5)
	set.MinSuccessfulTests = 150
	p := gopter.NewProperties(set)
	p.Property("rules", prop.ForAll(func(p trouble) (string, error) {
		return strings.Join(play(t, p).problems, "; "), nil
	}, drawn()))
	p.TestingRun(t)
}

// upstream is one whose attempts are meddled with.
type upstream struct {
	core.Upstream
	meddle func(a core.Attempt) core.Attempt
}

func (u upstream) Start(a core.Attempt) core.Running { return u.Upstream.Start(u.meddle(a)) }

// blind is a connection on which nobody sees what nobody asked for.
type blind struct{ *wire }

func (b blind) Unread() bool { return false }

func (b blind) ReadWanted(p []byte, lock sync.Locker, wanted func() bool) (int, error) {
	for {
		b.mu.Lock()
		since := b.change
		b.mu.Unlock()
		n, err := b.wire.ReadWanted(p, lock, wanted)
		if !errors.Is(err, direct.ErrUnwanted) {
			return n, err
		}
		b.mu.Lock()
		err = b.await(since, b.due[reads])
		b.mu.Unlock()
		if err != nil {
			return 0, err
		}
	}
}

// credulous is a message that takes any answer for its own.
type credulous struct{ *upstreamRequest }

func (c credulous) Judge(r *http1.Response, a forward.Arrival) (core.Result, forward.Fit) {
	r.Header.Set(headerAttemptID, c.id)
	return c.upstreamRequest.Judge(r, a)
}

// Given a fault of the data plane's own, then the rules find it, and without it the same day keeps them.
func TestSeededDefects(t *testing.T) {
	again := func(next core.Upstream) core.Upstream {
		return upstream{next, func(a core.Attempt) core.Attempt {
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
	trusts := func(next core.Upstream) core.Upstream {
		return upstream{next, func(a core.Attempt) core.Attempt {
			a.Payload = credulous{a.Payload.(*upstreamRequest)}
			return a
		}}
	}
	two := []ask{writing, {Writing: true, Body: 40, Gap: 9 * time.Millisecond}}
	for name, c := range map[string]struct {
		trouble
		want string
	}{
		"sent again after a reset with its head written": {trouble{Upstream: again, Asks: [][]ask{two},
			Steps: []step{{Cut: 100, CutHow: resets}}}, "wr0-0 is sent 2 times"},
		"sent again after it has run": {trouble{Upstream: again, Asks: [][]ask{two},
			Steps: []step{{StopBy: closes, Stop: 20}}}, "wr0-0 has run 2 times"},
		"a connection with bytes to spare used again": {trouble{Asks: [][]ask{two},
			Wire:  func(w *wire) net.Conn { return blind{w} },
			Steps: []step{{Excess: noise, Late: time.Millisecond}}}, "wr0-1 is sent on a connection that is in doubt"},
		"a connection used again that its server has closed": {trouble{Asks: [][]ask{two},
			Wire:  func(w *wire) net.Conn { return blind{w} },
			Steps: []step{{Then: closes, After: time.Millisecond}}}, "wr0-1 is sent on a connection that is in doubt"},
		"a late answer taken for the next request's": {trouble{Upstream: trusts, Asks: [][]ask{two},
			Steps: []step{{Excess: repeated, Late: 10 * time.Millisecond}}}, "wr0-1 gets a body of 30"},
	} {
		if got := strings.Join(play(t, c.trouble).problems, "; "); !strings.Contains(got, c.want) {
			t.Errorf("%s: found %q, want %q", name, got, c.want)
		}
		c.Upstream, c.Wire = nil, nil
		if got := play(t, c.trouble).problems; len(got) > 0 {
			t.Errorf("without %s: %q", name, got)
		}
	}
}

// Given a server that tells how long it keeps idle connections, then a request goes by a kept one only well
// within that time.
func TestIdleConnectionsGoByTheirServersTime(t *testing.T) {
	for gap, want := range map[time.Duration]int{1100 * time.Millisecond: 1, 1300 * time.Millisecond: 2} {
		d := play(t, trouble{Asks: [][]ask{{writing, {Writing: true, Gap: gap}}},
			Steps: []step{{Keep: 2, Then: closes, After: 2 * time.Second}}})
		if len(d.wires) != want || len(d.problems) > 0 {
			t.Errorf("after %v: %d connections, want %d; %q", gap, len(d.wires), want, d.problems)
		}
	}
}

// Given a server that falls silent in the midst of a long answer, for as long as its client waits, then the
// answer is not cut.
func TestAServersSilenceEndsNoAnswer(t *testing.T) {
	d := play(t, trouble{Wait: 40 * time.Second, Asks: [][]ask{{writing}}, Alone: true,
		Steps: []step{{Word: tooLong, Stop: 66 << 10, Pause: 30 * time.Second}}})
	if len(d.problems) > 0 || d.whole != 1 {
		t.Errorf("%d answers came whole, %q", d.whole, d.problems)
	}
}

// Given a request that is sent again, or answered before its end, then the connection serves no other request
// as long as it owes an answer, or the rest of the body is on its way.
func TestAConnectionInDoubtServesNobody(t *testing.T) {
	const ms = time.Millisecond
	reading, long := ask{Gap: 10 * ms}, ask{Writing: true, Body: 65 << 10, Gap: 10 * ms}
	for name, p := range map[string]trouble{
		"a late second answer to a request that is sent again": {
			Asks:  [][]ask{{reading, reading, reading, reading, reading, writing}},
			Steps: []step{{}, {}, {}, {}, {Word: ranOut, Excess: repeated, Late: 3 * ms}, {Slow: 30 * ms}}},
		"an answer before the body's end": {Room: 200,
			Asks:  [][]ask{{reading, long}, {{Writing: true, Gap: 25 * ms}}},
			Steps: []step{{}, {Word: full, Early: true, Slow: 30 * ms}, {Slow: 30 * ms}}},
	} {
		p.Alone = true
		if d := play(t, p); len(d.problems) > 0 || d.next < len(p.Steps) || len(d.wires) < 2 {
			t.Errorf("%s: %d steps, %d connections, %q", name, d.next, len(d.wires), d.problems)
		}
	}
}

// busy is a connection whose writer hears only a while after that its bytes have left, as on a busy core.
type busy struct {
	*wire
	after time.Duration
}

func (l busy) Write(p []byte) (int, error) {
	n, err := l.wire.Write(p)
	time.Sleep(l.after)
	return n, err
}

// Given answers that are here before their requests' writers run on, then the connection is kept; and if the
// writer is still held up when a connection would have rested, it counts as answered early, and is not. (The
// second request is the first to race: a new connection is read only once its first request is written.)
func TestAnAnswerBeforeItsWriterRunsOnKeepsTheConnection(t *testing.T) {
	for after, want := range map[time.Duration]int{0: 1, time.Millisecond: 1, 5 * time.Millisecond: 2} {
		d := play(t, trouble{Alone: true, Asks: [][]ask{{writing, writing, writing}},
			Wire: func(w *wire) net.Conn { return busy{w, after} }})
		if len(d.wires) != want || len(d.problems) > 0 {
			t.Errorf("%v late: %d connections, want %d; %q", after, len(d.wires), want, d.problems)
		}
	}
}
