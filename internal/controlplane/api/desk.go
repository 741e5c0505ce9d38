// Package desk is the operator's desk: the calls of servers and operators, each declared beside its handler,
// and the question whether this ingress is ready.
package api

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/dataplane/slowlog"
	"dunespoke/internal/events"
	"dunespoke/internal/http1"
	"dunespoke/internal/routing"

	"github.com/gravitational/trace"
)

// Core is what the desk passes on to.
type Core interface {
	// Put hands a configuration to the core; done is called once, with nil if there was no clear answer, a
	// signal.Conflict if another one stands under the number, and with the number that the core holds otherwise.
	Put(version uint64, config []byte, done func(*message.Message))
	// Read asks for the newest configuration; done is called once, with nil if there was no clear answer.
	Read(done func(version uint64, config []byte))
	// Nearer is the host of a machine of the core that answers and has a wider link than this one; empty: this
	// machine is of the core itself, or knows none.
	Nearer() string
	// Reform has the core change its members: add one, remove one or both; or tell them where both addresses are
	// empty. done is called once, with nil if there was no clear answer.
	Reform(add, remove string, done func(*message.Message))
	// View tells how this machine sees the exchange; done is called once.
	View(done func(View))
}

// View is how one machine sees the exchange. Times are in seconds.
type View struct {
	Node    string    `json:"node"`
	Zone    string    `json:"zone"`
	Ready   bool      `json:"ready"`
	Version string    `json:"version"` // of the configuration in force here
	Servers int       `json:"servers"` // in the list that it goes by
	Members int       `json:"members"` // that hold leases, itself among them
	Asks    string    `json:"asks"`    // the machine of the core that it asks for news; empty: none answers
	Epoch   uint64    `json:"epoch"`   // of the view that it goes by
	Chain   []string  `json:"chain"`   // and its machines, head first
	Core    *CoreView `json:"core"`    // of a machine with a disk
}

// CoreView is a machine's part in the core.
type CoreView struct {
	State    string   `json:"state"`
	Serves   bool     `json:"serves"`   // and hears a majority that does
	Whole    bool     `json:"whole"`    // it has all that was acknowledged, and a vote
	Sick     bool     `json:"sick"`     // its disk takes nothing, or is slow
	Version  uint64   `json:"version"`  // of the configuration on its disk
	Machines []string `json:"machines"` // of the core
	Heard    []string `json:"heard"`    // of those, the ones that it hears now
	Duties   []string `json:"duties"`   // that it does

	Generation uint64 `json:"generation"` // of the members: the epoch of the view that installed them
	Spare      int    `json:"spare"`      // members that may be lost now, as far as this machine knows
	Lacks      string `json:"lacks"`      // why not all that survive names may be lost now; empty: it may
}

// Members are those of the core, as the head of the chain tells them.
type Members struct {
	Generation uint64   `json:"generation"`
	Members    []Member `json:"members"`
	Candidates []Member `json:"candidates"` // machines with a disk that are no members
	Spare      uint64   `json:"spare"`      // members that may be lost now
	Lacks      string   `json:"lacks"`      // why not all that survive names may be lost now; empty: it may
}

// Member is one of the core, or would be.
type Member struct {
	Addr   string `json:"address"` // for the system's own processes
	Zone   string `json:"zone"`
	ID     string `json:"store"`  // another store at the address is another member
	Serves bool   `json:"serves"` // it is in the chain
}

// Change is one of the members, by hand.
type Change struct {
	Add    string `json:"add"`    // address; empty: none
	Remove string `json:"remove"` // address; empty: none
}

// Desk answers calls. It is an accept.Handler.
type Desk struct {
	Core  Core
	Ready func() bool
	Board *slowlog.Board // of what ran late or was given up
	Port  string         // of the control address, which is alike on all machines
	Log   func(e events.Event, pairs ...any)

	open atomic.Int64
}

// mostOpen bounds the calls that are answered at once, and what their bodies hold.
const mostOpen = 64

// busyWait is when a call may come back that found too many.
const busyWait = 200 * time.Millisecond

// call is one that the desk knows.
type call struct {
	method, path, name string // the name is the query's call; empty: the call has none
	serve              func(d *Desk, r *http1.Request, respond func(*http1.Answer))
}

var calls = []call{
	{http.MethodGet, "/api/ready", "", (*Desk).ready},
	{http.MethodPost, "/api/rpc", "config.replace", (*Desk).replace},
	{http.MethodPost, "/api/rpc", "config.read", (*Desk).read},
	{http.MethodGet, "/api/rpc", "config.read", (*Desk).read},
	{http.MethodGet, "/api/rpc", "exchange.view", (*Desk).view},
	{http.MethodGet, "/api/rpc", "exchange.late", (*Desk).late},
	{http.MethodGet, "/api/rpc", "core.show", (*Desk).members},
	{http.MethodPost, "/api/rpc", "core.change", (*Desk).reform},
}

// Serve takes a call.
func (d *Desk) Serve(r *http1.Request, respond func(*http1.Answer)) (leave func()) {
	name := r.URL.Query().Get("call")
	known := false
	for _, c := range calls {
		if c.path != r.URL.Path || c.name != "" && c.name != name {
			continue
		}
		known = true
		if c.method == r.Method {
			d.admit(c, r, respond)
			return nil
		}
	}
	if known {
		respond(http1.Plain(http.StatusMethodNotAllowed, "not a method for there"))
	} else {
		d.Log(events.CallBad, "path", r.URL.Path, "call", name)
		respond(http1.Plain(http.StatusNotFound, "no such call"))
	}
	return nil
}

// admit bounds how many calls are open. Checks are answered at once, and not counted: a desk that is busy is
// no reason for clients to go elsewhere.
func (d *Desk) admit(c call, r *http1.Request, respond func(*http1.Answer)) {
	if c.name == "" {
		c.serve(d, r, respond)
		return
	}
	if d.open.Add(1) > mostOpen {
		d.open.Add(-1)
		respond(unclear("too many calls", busyWait))
		return
	}
	c.serve(d, r, func(a *http1.Answer) {
		d.open.Add(-1)
		respond(a)
	})
}

func unclear(text string, after time.Duration) *http1.Answer {
	a := http1.Plain(http.StatusServiceUnavailable, text)
	a.Header = append(a.Header, [2]string{"Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64)})
	return a
}

func (d *Desk) ready(_ *http1.Request, respond func(*http1.Answer)) {
	if d.Ready() {
		respond(http1.Plain(http.StatusOK, "ready"))
		return
	}
	respond(http1.Plain(http.StatusServiceUnavailable, "not ready"))
}

// replace takes a whole configuration.
func (d *Desk) replace(r *http1.Request, respond func(*http1.Answer)) {
	dir, err := routing.Check(r.Content)
	if err != nil {
		d.Log(events.PutRefused, "error", trace.UserMessage(err))
		respond(http1.Plain(http.StatusBadRequest, trace.UserMessage(err)))
		return
	}
	d.Core.Put(dir.Version, r.Content, func(m *message.Message) {
		switch {
		case m == nil:
			d.Log(events.PutUnclear, "version", dir.Version)
			respond(unclear("not acknowledged yet: send it again", 50*time.Millisecond))
		case m.Kind == message.Conflict:
			d.Log(events.PutConflict, "version", dir.Version)
			respond(http1.Plain(http.StatusConflict, fmt.Sprintf(
				"another configuration stands under r%d: send this one under a higher number", dir.Version)))
		default:
			d.Log(events.Put, "version", dir.Version, "held", m.Version)
			respond(document(map[string]any{"version": fmt.Sprintf("r%d", m.Version)}))
		}
	})
}

func document(v any) *http1.Answer {
	b, _ := json.Marshal(v)
	return &http1.Answer{Status: http.StatusOK, Header: [][2]string{{"Content-Type", "application/json"}},
		Body: b}
}

// read tells the newest configuration, as it was sent.
func (d *Desk) read(r *http1.Request, respond func(*http1.Answer)) {
	d.Core.Read(func(version uint64, config []byte) {
		if config == nil {
			d.Log(events.ReadUnclear)
			respond(unclear("the newest configuration can't be told now", 100*time.Millisecond))
			return
		}
		if host := d.Core.Nearer(); len(config) > longAnswer && host != "" && d.Port != "" {
			to := "http://" + net.JoinHostPort(host, d.Port) + r.RequestURI
			a := http1.Plain(http.StatusTemporaryRedirect, "a machine of the core tells it sooner")
			a.Header = append(a.Header, [2]string{"Location", to})
			respond(a)
			return
		}
		respond(&http1.Answer{Status: http.StatusOK, Header: [][2]string{{"Content-Type", "application/json"}},
			Body: config})
	})
}

// view tells how this machine sees the exchange.
func (d *Desk) view(_ *http1.Request, respond func(*http1.Answer)) {
	d.Core.View(func(v View) {
		v.Ready = d.Ready()
		respond(document(v))
	})
}

// members tells who the core is.
func (d *Desk) members(_ *http1.Request, respond func(*http1.Answer)) {
	d.Core.Reform("", "", func(m *message.Message) { d.reformed(m, respond) })
}

// reform changes the members by hand.
func (d *Desk) reform(r *http1.Request, respond func(*http1.Answer)) {
	var c Change
	if err := json.Unmarshal(r.Content, &c); err != nil || c.Add == "" && c.Remove == "" {
		respond(http1.Plain(http.StatusBadRequest, `want {"add": ADDRESS, "remove": ADDRESS}, one or both`))
		return
	}
	d.Core.Reform(c.Add, c.Remove, func(m *message.Message) { d.reformed(m, respond) })
}

func (d *Desk) reformed(m *message.Message, respond func(*http1.Answer)) {
	switch {
	case m == nil:
		respond(unclear("no clear answer: look at core.show, and send it again", busyWait))
		return
	case !m.OK:
		respond(http1.Plain(http.StatusConflict, m.Text))
		return
	}
	v := Members{Generation: m.Generation, Spare: m.Spare, Lacks: m.Lacks}
	row := func(x message.Machine) Member {
		return Member{Addr: x.Addr, Zone: x.Zone, ID: strconv.FormatUint(x.ID, 16),
			Serves: slices.Contains(m.Chain, x.Addr)}
	}
	for _, x := range m.Registry {
		v.Members = append(v.Members, row(x))
	}
	for _, x := range m.Members {
		v.Candidates = append(v.Candidates, row(x))
	}
	respond(document(v))
}

// LateList is what this machine's requests ran late or were given up, the last ones first.
type LateList struct {
	Node  string         `json:"node"`
	Total uint64         `json:"total"` // since the process began
	Calls []slowlog.Call `json:"calls"`
}

// late tells which requests ran late or were given up.
func (d *Desk) late(_ *http1.Request, respond func(*http1.Answer)) {
	d.Core.View(func(v View) {
		list, total := d.Board.Latest()
		respond(document(LateList{Node: v.Node, Total: total, Calls: list}))
	})
}

// longAnswer is the length from which a configuration is not told over the link of a machine without a disk:
// a quarter of a second of the narrowest.
const longAnswer = 64 << 10
