// Package node runs an ingress's membership in its fleet: it provides sockets, timers and wiring around the
// state machines of the other fleet packages.
package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/fleet/common"
	"dunespoke/fleet/member"
	"dunespoke/fleet/steer"
	"dunespoke/fleet/zones"
)

// Config configures Start.
type Config struct {
	Name, Zone, Region string
	Bind, Advertise    netip.AddrPort
	Seeds              []string // addresses of members to join
	Keys               [][]byte
	Voters             []string
	Lease, Hold        time.Duration
	Log                zerolog.Logger
	Traffic            Traffic
}

// messageVersion is the version of the fleet's messages that this program understands.
const messageVersion = 1

// Intervals, timeouts and limits of the node.
const (
	heartbeatInterval = 500 * time.Millisecond
	joinInterval      = 2 * time.Second
	bindRetryInterval = 300 * time.Millisecond
	leaveTimeout      = 500 * time.Millisecond
	inboxCapacity     = 1024
	maxPendingChanges = 16                     // changes by operators without a result
	callTimeout       = 900 * time.Millisecond // operators' calls must be answered within a second
)

// Status is the state of the fleet as seen by this ingress.
type Status struct {
	Name       string          `json:"name"`
	Standing   string          `json:"standing"` // unknown, agreed, held or lapsed
	Generation uint64          `json:"generation"`
	Epoch      uint64          `json:"epoch"`
	Leader     string          `json:"leader"`
	Leads      bool            `json:"leads"`
	Voter      bool            `json:"voter"`
	FreshMS    int64           `json:"fresh_ms"` // milliseconds since a majority last confirmed the record
	Members    []member.Member `json:"members,omitempty"`
	Messages   member.Counts   `json:"messages"`
}

// Node is a running member of a fleet. Its methods may be called from any goroutine.
type Node struct {
	c       Config
	members atomic.Pointer[member.Members]
	inbox   chan message
	calls   chan func(*steer.Steer, time.Duration) // see call
	origin  time.Time                              // start time, see now
	done    chan struct{}
	record  atomic.Pointer[common.Record]
	watch   watch
}

type message struct {
	from string
	data []byte
}

// Start takes part in the fleet, in the background, until the context ends; it then announces to the others
// that this member leaves. An address that is in use is retried: during an upgrade the new process
// gets it once the old one leaves.
func Start(ctx context.Context, c Config) (*Node, error) {
	life, err := newLife()
	if err != nil {
		return nil, err
	}
	n := &Node{c: c, inbox: make(chan message, inboxCapacity),
		calls: make(chan func(*steer.Steer, time.Duration)), origin: time.Now(), done: make(chan struct{})}
	n.record.Store(&common.Record{})
	m := steer.New(common.Config{Name: c.Name, Life: life, Voters: c.Voters, Lease: c.Lease, Hold: c.Hold,
		Beat: heartbeatInterval}, c.Zone, n.now())
	go n.run(ctx, m)
	return n, nil
}

// newLife returns a random nonzero incarnation number.
func newLife() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("fleet: generating a random ID: %w", err)
	}
	return binary.BigEndian.Uint64(b[:]) | 1, nil
}

// now returns the Unix time, unaffected by steps of the system clock after the start.
func (n *Node) now() time.Duration { return time.Duration(n.origin.UnixNano()) + time.Since(n.origin) }

// Done returns a channel that is closed when this member has left the fleet.
func (n *Node) Done() <-chan struct{} { return n.done }

// run owns the state machine: no other goroutine may use it, see call.
func (n *Node) run(ctx context.Context, m *steer.Steer) {
	defer close(n.done)
	members := n.listen(ctx, m.Life())
	if members == nil {
		return
	}
	n.members.Store(members)
	go n.join(ctx, members)
	if n.c.Traffic.enabled() {
		go n.probe(ctx)
	}
	tick := time.NewTicker(common.Tick)
	defer tick.Stop()
	life, standing, epoch := m.Life(), common.Unknown, uint64(0)
	for {
		select {
		case <-ctx.Done():
			if err := members.Leave(leaveTimeout); err != nil {
				n.c.Log.Warn().Str("code", "fleet-member").Err(err).Msg("error while leaving the fleet")
			}
			return
		case <-tick.C:
			m.Peers(peers(members.List()))
			m.Tick(n.now())
		case msg := <-n.inbox:
			if err := m.Step(n.now(), msg.from, msg.data); err != nil {
				n.c.Log.Warn().Str("code", "fleet-message").Err(err).Msg("invalid fleet message dropped")
			}
		case call := <-n.calls:
			call(m, n.now())
		}
		if n.c.Traffic.enabled() {
			n.applyDecisions(m)
		}
		for _, out := range m.Take() {
			members.Send(out.To, out.Data)
		}
		if err := m.Err(); err != nil {
			n.c.Log.Warn().Str("code", "fleet-common").Err(err).Msg("internal error of the common record")
		}
		if l := m.Life(); l != life {
			life = l
			members.Meta(n.meta(life))
		}
		r, s := m.Record(), m.Standing(n.now())
		n.record.Store(r)
		if s != standing || r.Epoch != epoch {
			n.c.Log.Info().Str("code", "fleet-record").Stringer("standing", s).Uint64("epoch", r.Epoch).
				Uint64("generation", r.Generation).Str("leader", m.Leader()).Msg("common record or its standing changed")
			standing, epoch = s, r.Epoch
		}
	}
}

// meta returns what this member announces about itself in the given incarnation.
func (n *Node) meta(life uint64) member.Meta {
	return member.Meta{Life: life, Zone: n.c.Zone, Region: n.c.Region, Version: messageVersion}
}

// listen binds the fleet address, retrying until it succeeds or the context ends.
func (n *Node) listen(ctx context.Context, life uint64) *member.Members {
	for logged := false; ; {
		members, err := member.Start(member.Config{Name: n.c.Name, Bind: n.c.Bind, Advertise: n.c.Advertise,
			Keys: n.c.Keys, Meta: n.meta(life), Deliver: n.deliver, Log: n.c.Log})
		if err == nil {
			return members
		}
		if !logged {
			logged = true
			n.c.Log.Warn().Str("code", "fleet-address").Bool("taken", errors.Is(err, syscall.EADDRINUSE)).Err(err).
				Msg("cannot listen on the fleet address, retrying")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(bindRetryInterval):
		}
	}
}

// deliver queues a message for the state machine. If the queue is full the message is dropped, as a network
// would.
func (n *Node) deliver(from string, data []byte) {
	select {
	case n.inbox <- message{from, data}:
	default:
	}
}

// join contacts seeds that are not known to be alive: at the start, and after a network partition has
// healed.
func (n *Node) join(ctx context.Context, m *member.Members) {
	for i := 0; ; i++ {
		reachable := map[string]bool{}
		for _, p := range m.List() {
			reachable[p.Addr] = p.State == member.Alive || p.State == member.Suspect
		}
		var absent []string
		for _, s := range n.c.Seeds {
			if !reachable[s] {
				absent = append(absent, s)
			}
		}
		if len(absent) > 0 {
			m.Join(absent[i%len(absent) : i%len(absent)+1]) // one at a time; failed ones are retried in turn
		}
		wait := joinInterval
		if len(reachable) < 2 {
			wait = bindRetryInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// peers converts the membership to the form that steer uses. Suspect members count as alive.
func peers(list []member.Member) []steer.Peer {
	all := make([]steer.Peer, len(list))
	for i, p := range list {
		alive := p.State == member.Alive || p.State == member.Suspect
		all[i] = steer.Peer{Peer: common.Peer{Name: p.Name, Life: p.Life, Alive: alive}, Zone: p.Zone}
	}
	return all
}

// call runs do on the goroutine that owns the state machine, and waits for it. It returns an error if that
// goroutine does not accept the call within callTimeout.
func (n *Node) call(do func(m *steer.Steer, now time.Duration)) error {
	done := make(chan struct{})
	t := time.NewTimer(callTimeout)
	defer t.Stop()
	select {
	case n.calls <- func(m *steer.Steer, now time.Duration) { do(m, now); close(done) }:
		<-done
		return nil
	case <-n.done:
		return errors.New("this ingress has left the fleet")
	case <-t.C:
		return errors.New("this ingress does not take part in the fleet yet")
	}
}

// Record returns the newest record that this ingress knows. The caller must not modify it.
func (n *Node) Record() *common.Record { return n.record.Load() }

// Status returns the state of the fleet as seen by this ingress. On an error it is incomplete.
func (n *Node) Status() (Status, error) {
	s := Status{Name: n.c.Name}
	err := n.call(func(m *steer.Steer, now time.Duration) {
		r := m.Record()
		s.Standing, s.Generation, s.Epoch = m.Standing(now).String(), r.Generation, r.Epoch
		s.Leader, s.Leads, s.FreshMS = m.Leader(), m.Leads(now), (now - m.ConfirmedAt()).Milliseconds()
	})
	if members := n.members.Load(); members != nil {
		s.Members, s.Messages = members.List(), members.Counts()
	}
	for _, v := range n.c.Voters {
		s.Voter = s.Voter || v == n.c.Name
	}
	return s, err
}

// Zones is the table of zones as known to this ingress, with the change that made it.
type Zones struct {
	zones.Table
	Orders   zones.Orders `json:"orders"`
	Epoch    uint64       `json:"epoch"`
	Standing string       `json:"standing"`
	By       string       `json:"by"`
	Why      string       `json:"why"`
}

// Zones returns the table of zones and the operators' orders.
func (n *Node) Zones() Zones {
	r := n.Record()
	e := r.Entries[steer.ZonesKey]
	z := Zones{Epoch: e.Epoch, Standing: common.Unknown.String(), By: e.By, Why: e.Why}
	err := errors.Join(steer.Read(e, &z.Table), steer.Read(r.Entries[steer.OrdersKey], &z.Orders))
	if err != nil {
		z.Why = err.Error()
	}
	if s, err := n.Status(); err == nil {
		z.Standing = s.Standing
	}
	return z
}

// Recover is called when an operator declares that the voters that don't answer are permanently lost.
func (n *Node) Recover() error {
	var err error
	return errors.Join(n.call(func(m *steer.Steer, _ time.Duration) { err = m.Recover() }), err)
}

// errPending is returned for a change that was neither applied nor refused within callTimeout.
var errPending = errors.New("not decided yet: it stays proposed for as long as this ingress runs")

// Put proposes a new value for a key of the record, and waits up to callTimeout for the result.
func (n *Node) Put(key string, value json.RawMessage, why string) error {
	life, err := newLife()
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%s-%x", n.c.Name, life)
	tooMany := false
	err = n.call(func(m *steer.Steer, now time.Duration) {
		if tooMany = m.PendingChanges() >= maxPendingChanges; tooMany {
			return
		}
		m.Propose(now, common.Change{ID: id, Key: key, Base: m.Record().Entries[key].Epoch, Value: value,
			By: n.c.Name, Why: why, At: now.Milliseconds()})
	})
	if err != nil {
		return err
	}
	if tooMany {
		return fmt.Errorf("%d changes wait here for a majority already", maxPendingChanges)
	}
	for until := time.Now().Add(callTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if d, ok := n.Record().Done(id); ok {
			if d.Refused != "" {
				return errors.New("refused: " + d.Refused)
			}
			return nil
		}
	}
	return errPending
}

// Keys replaces the encryption keys, see member.Members.Keys.
func (n *Node) Keys(keys [][]byte) error {
	if m := n.members.Load(); m != nil {
		return m.Keys(keys)
	}
	return errors.New("the fleet's address is not taken yet")
}
