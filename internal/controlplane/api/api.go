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

// Cluster is what the desk passes on to.
type Cluster interface {
	// Put hands a configuration to the core; done is called once, with nil if there was no clear answer, a
	// signal.Conflict if another one stands under the number, and with the number that the core holds otherwise.
	Put(version uint64, config []byte, done func(*message.Message))
	// Read asks for the newest configuration; done is called once, with nil if there was no clear answer.
	Read(done func(version uint64, config []byte))
	// NearestReplica is the host of a machine of the core that answers and has a wider link than this one;
	// empty: this machine is of the core itself, or knows none.
	NearestReplica() string
	// ChangeMembers has the core change its members: add one, remove one or both; or tell them where both
	// addresses are empty. done is called once, with nil if there was no clear answer.
	ChangeMembers(add, remove string, done func(*message.Message))
	// Status tells how this machine sees the exchange; done is called once.
	Status(done func(NodeStatus))
}

// NodeStatus is how one machine sees the exchange. Times are in seconds.
type NodeStatus struct {
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Ready   bool   `json:"ready"`
	Version string `json:"version"` // of the configuration in force here
	Servers int    `json:"servers"` // in the list that it goes by
	Members int    `json:"members"` // that hold leases, itself among them
	// the machine of the core that it asks for news; empty: none answers
	ConnectedTo string         `json:"asks"`
	Epoch       uint64         `json:"epoch"` // of the view that it goes by
	Chain       []string       `json:"chain"` // and its machines, head first
	Replica     *ReplicaStatus `json:"core"`  // of a machine with a disk
}

// ReplicaStatus is a machine's part in the core.
type ReplicaStatus struct {
	State         string   `json:"state"`
	Serves        bool     `json:"serves"`   // and hears a majority that does
	CaughtUp      bool     `json:"whole"`    // it has all that was acknowledged, and a vote
	DiskUnhealthy bool     `json:"sick"`     // its disk takes nothing, or is slow
	Version       uint64   `json:"version"`  // of the configuration on its disk
	Members       []string `json:"machines"` // of the core
	Reachable     []string `json:"heard"`    // of those, the ones that it hears now
	Roles         []string `json:"duties"`   // that it does

	MembershipEpoch   uint64 `json:"generation"` // of the members: the epoch of the view that installed them
	ToleratedFailures int    `json:"spare"`      // members that may be lost now, as far as this machine knows
	ToleranceGap      string `json:"lacks"`      // why not all that survive names may be lost now; empty: it may
}

// Members are those of the core, as the head of the chain tells them.
type Members struct {
	MembershipEpoch   uint64   `json:"generation"`
	Members           []Member `json:"members"`
	Candidates        []Member `json:"candidates"` // machines with a disk that are no members
	ToleratedFailures uint64   `json:"spare"`      // members that may be lost now
	// why not all that survive names may be lost now; empty: it may
	ToleranceGap string `json:"lacks"`
}

// Member is one of the core, or would be.
type Member struct {
	Addr    string `json:"address"` // for the system's own processes
	Zone    string `json:"zone"`
	StoreID string `json:"store"`  // another store at the address is another member
	Serves  bool   `json:"serves"` // it is in the chain
}

// MemberChange is one of the members, by hand.
type MemberChange struct {
	Add    string `json:"add"`    // address; empty: none
	Remove string `json:"remove"` // address; empty: none
}

// Handler answers calls. It is an accept.Handler.
type Handler struct {
	Cluster     Cluster
	Ready       func() bool
	SlowLog     *slowlog.Log // of what ran late or was given up
	ControlPort string       // of the control address, which is alike on all machines
	Log         func(e events.Event, pairs ...any)

	open atomic.Int64
}

// maxOpenCalls bounds the calls that are answered at once, and what their bodies hold.
const maxOpenCalls = 64

// busyRetryAfter is when a call may come back that found too many.
const busyRetryAfter = 200 * time.Millisecond

// call is one that the desk knows.
type call struct {
	method, path, name string // the name is the query's call; empty: the call has none
	serve              func(d *Handler, r *http1.Request, respond func(*http1.Answer))
}

var calls = []call{
	{http.MethodGet, "/api/ready", "", (*Handler).ready},
	{http.MethodPost, "/api/rpc", "config.replace", (*Handler).replaceConfig},
	{http.MethodPost, "/api/rpc", "config.read", (*Handler).readConfig},
	{http.MethodGet, "/api/rpc", "config.read", (*Handler).readConfig},
	{http.MethodGet, "/api/rpc", "exchange.view", (*Handler).status},
	{http.MethodGet, "/api/rpc", "exchange.late", (*Handler).slowRequests},
	{http.MethodGet, "/api/rpc", "core.show", (*Handler).listMembers},
	{http.MethodPost, "/api/rpc", "core.change", (*Handler).changeMembers},
}

// Serve takes a call.
func (d *Handler) Serve(r *http1.Request, respond func(*http1.Answer)) (leave func()) {
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
		d.Log(events.UnknownCall, "path", r.URL.Path, "call", name)
		respond(http1.Plain(http.StatusNotFound, "no such call"))
	}
	return nil
}

// admit bounds how many calls are open. Checks are answered at once, and not counted: a desk that is busy is
// no reason for clients to go elsewhere.
func (d *Handler) admit(c call, r *http1.Request, respond func(*http1.Answer)) {
	if c.name == "" {
		c.serve(d, r, respond)
		return
	}
	if d.open.Add(1) > maxOpenCalls {
		d.open.Add(-1)
		respond(unavailable("too many calls", busyRetryAfter))
		return
	}
	c.serve(d, r, func(a *http1.Answer) {
		d.open.Add(-1)
		respond(a)
	})
}

func unavailable(text string, after time.Duration) *http1.Answer {
	a := http1.Plain(http.StatusServiceUnavailable, text)
	a.Header = append(a.Header, [2]string{"Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64)})
	return a
}

func (d *Handler) ready(_ *http1.Request, respond func(*http1.Answer)) {
	if d.Ready() {
		respond(http1.Plain(http.StatusOK, "ready"))
		return
	}
	respond(http1.Plain(http.StatusServiceUnavailable, "not ready"))
}

// replaceConfig takes a whole configuration.
func (d *Handler) replaceConfig(r *http1.Request, respond func(*http1.Answer)) {
	dir, err := routing.Validate(r.Content)
	if err != nil {
		d.Log(events.ConfigRejected, "error", trace.UserMessage(err))
		respond(http1.Plain(http.StatusBadRequest, trace.UserMessage(err)))
		return
	}
	d.Cluster.Put(dir.Version, r.Content, func(m *message.Message) {
		switch {
		case m == nil:
			d.Log(events.ConfigUnacknowledged, "version", dir.Version)
			respond(unavailable("not acknowledged yet: send it again", 50*time.Millisecond))
		case m.Type == message.TypeConflict:
			d.Log(events.ConfigConflict, "version", dir.Version)
			respond(http1.Plain(http.StatusConflict, fmt.Sprintf(
				"another configuration stands under r%d: send this one under a higher number", dir.Version)))
		default:
			d.Log(events.ConfigCommitted, "version", dir.Version, "held", m.Version)
			respond(jsonResponse(map[string]any{"version": fmt.Sprintf("r%d", m.Version)}))
		}
	})
}

func jsonResponse(v any) *http1.Answer {
	b, _ := json.Marshal(v)
	return &http1.Answer{Status: http.StatusOK, Header: [][2]string{{"Content-Type", "application/json"}},
		Body: b}
}

// readConfig tells the newest configuration, as it was sent.
func (d *Handler) readConfig(r *http1.Request, respond func(*http1.Answer)) {
	d.Cluster.Read(func(version uint64, config []byte) {
		if config == nil {
			d.Log(events.ConfigReadFailed)
			respond(unavailable("the newest configuration can't be told now", 100*time.Millisecond))
			return
		}
		if host := d.Cluster.NearestReplica(); len(config) > redirectThreshold && host != "" &&
			d.ControlPort != "" {
			to := "http://" + net.JoinHostPort(host, d.ControlPort) + r.RequestURI
			a := http1.Plain(http.StatusTemporaryRedirect, "a machine of the core tells it sooner")
			a.Header = append(a.Header, [2]string{"Location", to})
			respond(a)
			return
		}
		respond(&http1.Answer{Status: http.StatusOK, Header: [][2]string{{"Content-Type", "application/json"}},
			Body: config})
	})
}

// status tells how this machine sees the exchange.
func (d *Handler) status(_ *http1.Request, respond func(*http1.Answer)) {
	d.Cluster.Status(func(v NodeStatus) {
		v.Ready = d.Ready()
		respond(jsonResponse(v))
	})
}

// listMembers tells who the core is.
func (d *Handler) listMembers(_ *http1.Request, respond func(*http1.Answer)) {
	d.Cluster.ChangeMembers("", "", func(m *message.Message) { d.respondMembers(m, respond) })
}

// changeMembers changes the members by hand.
func (d *Handler) changeMembers(r *http1.Request, respond func(*http1.Answer)) {
	var c MemberChange
	if err := json.Unmarshal(r.Content, &c); err != nil || c.Add == "" && c.Remove == "" {
		respond(http1.Plain(http.StatusBadRequest, `want {"add": ADDRESS, "remove": ADDRESS}, one or both`))
		return
	}
	d.Cluster.ChangeMembers(c.Add, c.Remove, func(m *message.Message) { d.respondMembers(m, respond) })
}

func (d *Handler) respondMembers(m *message.Message, respond func(*http1.Answer)) {
	switch {
	case m == nil:
		respond(unavailable("no clear answer: look at core.show, and send it again", busyRetryAfter))
		return
	case !m.OK:
		respond(http1.Plain(http.StatusConflict, m.Reason))
		return
	}
	v := Members{
		MembershipEpoch:   m.MembershipEpoch,
		ToleratedFailures: m.ToleratedFailures,
		ToleranceGap:      m.ToleranceGap,
	}
	row := func(x message.Node) Member {
		return Member{Addr: x.Addr, Zone: x.Zone, StoreID: strconv.FormatUint(x.StoreID, 16),
			Serves: slices.Contains(m.Chain, x.Addr)}
	}
	for _, x := range m.Members {
		v.Members = append(v.Members, row(x))
	}
	for _, x := range m.Nodes {
		v.Candidates = append(v.Candidates, row(x))
	}
	respond(jsonResponse(v))
}

// SlowRequests is what this machine's requests ran late or were given up, the last ones first.
type SlowRequests struct {
	Node     string          `json:"node"`
	Total    uint64          `json:"total"` // since the process began
	Requests []slowlog.Entry `json:"calls"`
}

// slowRequests tells which requests ran late or were given up.
func (d *Handler) slowRequests(_ *http1.Request, respond func(*http1.Answer)) {
	d.Cluster.Status(func(v NodeStatus) {
		list, total := d.SlowLog.Entries()
		respond(jsonResponse(SlowRequests{Node: v.Node, Total: total, Requests: list}))
	})
}

// redirectThreshold is the length from which a configuration is not told over the link of a machine without a
// disk: a quarter of a second of the narrowest.
const redirectThreshold = 64 << 10
