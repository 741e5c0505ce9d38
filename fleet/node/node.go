// Package node is an ingress's part in its fleet: sockets, timers and wiring round the machines that decide.
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

// Config is what Start needs.
type Config struct {
	Name, Zone, Region string
	Bind, Advertise    netip.AddrPort
	Seeds              []string // addresses of members
	Keys               [][]byte
	Voters             []string
	Lease, Hold        time.Duration
	Log                zerolog.Logger
	Traffic            Traffic
}

// version of the messages that this program understands.
const version = 1

// Times of the node.
const (
	beat        = 500 * time.Millisecond
	joinEvery   = 2 * time.Second
	bindEvery   = 300 * time.Millisecond
	leaveWait   = 500 * time.Millisecond
	inboxMost   = 1024
	waitingMost = 16                     // changes by staff that have not ended
	decideWait  = 900 * time.Millisecond // a caller's patience: operators' calls are answered within a second
)

// Status is how the fleet looks from here.
type Status struct {
	Name       string          `json:"name"`
	Standing   string          `json:"standing"` // unknown, agreed, held or lapsed
	Generation uint64          `json:"generation"`
	Epoch      uint64          `json:"epoch"`
	Leader     string          `json:"leader"`
	Leads      bool            `json:"leads"`
	Voter      bool            `json:"voter"`
	FreshMS    int64           `json:"fresh_ms"` // since a majority stood behind it
	Members    []member.Member `json:"members,omitempty"`
	Messages   member.Counts   `json:"messages"`
}

// Node is a running part in a fleet.
type Node struct {
	c       Config
	members atomic.Pointer[member.Members]
	inbox   chan message
	calls   chan func(*steer.Steer, time.Duration)
	origin  time.Time
	done    chan struct{}
	record  atomic.Pointer[common.Record]
	watch   watch
}

type message struct {
	from string
	data []byte
}

// Start takes part in the fleet until the context ends, which tells the others. An address that is still
// taken is waited for: the process of an upgrade has it as soon as the old one leaves.
func Start(ctx context.Context, c Config) (*Node, error) {
	life, err := newLife()
	if err != nil {
		return nil, err
	}
	n := &Node{c: c, inbox: make(chan message, inboxMost), calls: make(chan func(*steer.Steer, time.Duration)),
		origin: time.Now(), done: make(chan struct{})}
	n.record.Store(&common.Record{})
	m := steer.New(common.Config{Name: c.Name, Life: life, Voters: c.Voters, Lease: c.Lease, Hold: c.Hold,
		Beat: beat}, c.Zone, n.now())
	go n.run(ctx, m)
	return n, nil
}

func newLife() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("fleet: %w", err)
	}
	return binary.BigEndian.Uint64(b[:]) | 1, nil
}

// now is Unix time that no step of the system's clock turns back.
func (n *Node) now() time.Duration { return time.Duration(n.origin.UnixNano()) + time.Since(n.origin) }

// Done is closed once the others have been told that this member leaves.
func (n *Node) Done() <-chan struct{} { return n.done }

// run owns the machine.
func (n *Node) run(ctx context.Context, m *steer.Steer) {
	defer close(n.done)
	members := n.listen(ctx, m.Life())
	if members == nil {
		return
	}
	n.members.Store(members)
	go n.join(ctx, members)
	if n.c.Traffic.on() {
		go n.try(ctx)
	}
	tick := time.NewTicker(common.Tick)
	defer tick.Stop()
	life, standing, epoch := m.Life(), common.Unknown, uint64(0)
	for {
		select {
		case <-ctx.Done():
			if err := members.Leave(leaveWait); err != nil {
				n.c.Log.Warn().Str("code", "fleet-member").Err(err).Msg("leaving the fleet")
			}
			return
		case <-tick.C:
			m.Peers(peers(members.List()))
			m.Tick(n.now())
		case msg := <-n.inbox:
			if err := m.Step(n.now(), msg.from, msg.data); err != nil {
				n.c.Log.Warn().Str("code", "fleet-message").Err(err).Msg("a message of the fleet was dropped")
			}
		case call := <-n.calls:
			call(m, n.now())
		}
		if n.c.Traffic.on() {
			n.steer(m)
		}
		for _, out := range m.Take() {
			members.Send(out.To, out.Data)
		}
		if err := m.Err(); err != nil {
			n.c.Log.Warn().Str("code", "fleet-common").Err(err).Msg("the common record's log")
		}
		if l := m.Life(); l != life {
			life = l
			members.Meta(n.meta(life))
		}
		r, s := m.Record(), m.Standing(n.now())
		n.record.Store(r)
		if s != standing || r.Epoch != epoch {
			n.c.Log.Info().Str("code", "fleet-record").Stringer("standing", s).Uint64("epoch", r.Epoch).
				Uint64("generation", r.Generation).Str("leader", m.Leader()).Msg("what the fleet has decided")
			standing, epoch = s, r.Epoch
		}
	}
}

func (n *Node) meta(life uint64) member.Meta {
	return member.Meta{Life: life, Zone: n.c.Zone, Region: n.c.Region, Version: version}
}

// listen takes the address of the fleet, as soon as it is free.
func (n *Node) listen(ctx context.Context, life uint64) *member.Members {
	for said := false; ; {
		members, err := member.Start(member.Config{Name: n.c.Name, Bind: n.c.Bind, Advertise: n.c.Advertise,
			Keys: n.c.Keys, Meta: n.meta(life), Deliver: n.deliver, Log: n.c.Log})
		if err == nil {
			return members
		}
		if !said {
			said = true
			n.c.Log.Warn().Str("code", "fleet-address").Bool("taken", errors.Is(err, syscall.EADDRINUSE)).Err(err).
				Msg("trying again until it is free")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(bindEvery):
		}
	}
}

// deliver takes a message for the machine; one too many is dropped, as on a network.
func (n *Node) deliver(from string, data []byte) {
	select {
	case n.inbox <- message{from, data}:
	default:
	}
}

// join looks for members at the seeds that are not there: at the start, and after a cut has healed.
func (n *Node) join(ctx context.Context, m *member.Members) {
	for i := 0; ; i++ {
		here := map[string]bool{}
		for _, p := range m.List() {
			here[p.Addr] = p.State == member.Alive || p.State == member.Suspect
		}
		var away []string
		for _, s := range n.c.Seeds {
			if !here[s] {
				away = append(away, s)
			}
		}
		if len(away) > 0 {
			m.Join(away[i%len(away) : i%len(away)+1]) // one that is not there is asked again later
		}
		wait := joinEvery
		if len(here) < 2 {
			wait = bindEvery
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func peers(list []member.Member) []steer.Peer {
	all := make([]steer.Peer, len(list))
	for i, p := range list {
		here := p.State == member.Alive || p.State == member.Suspect
		all[i] = steer.Peer{Peer: common.Peer{Name: p.Name, Life: p.Life, Alive: here}, Zone: p.Zone}
	}
	return all
}

// call has something done by the goroutine that owns the machine.
func (n *Node) call(do func(m *steer.Steer, now time.Duration)) error {
	done := make(chan struct{})
	t := time.NewTimer(decideWait)
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

// Record is what is agreed as far as known here.
func (n *Node) Record() *common.Record { return n.record.Load() }

// Status tells how the fleet looks from here.
func (n *Node) Status() (Status, error) {
	s := Status{Name: n.c.Name}
	err := n.call(func(m *steer.Steer, now time.Duration) {
		r := m.Record()
		s.Standing, s.Generation, s.Epoch = m.Standing(now).String(), r.Generation, r.Epoch
		s.Leader, s.Leads, s.FreshMS = m.Leader(), m.Leads(now), (now - m.Fresh()).Milliseconds()
	})
	if members := n.members.Load(); members != nil {
		s.Members, s.Messages = members.List(), members.Counts()
	}
	for _, v := range n.c.Voters {
		s.Voter = s.Voter || v == n.c.Name
	}
	return s, err
}

// Zones is the table of zones as it is known here, with the change that made it.
type Zones struct {
	zones.Table
	Orders   zones.Orders `json:"orders"`
	Epoch    uint64       `json:"epoch"`
	Standing string       `json:"standing"`
	By       string       `json:"by"`
	Why      string       `json:"why"`
}

// Zones tells the table of zones.
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

// Recover is staff's word that the voters who don't answer are gone for good.
func (n *Node) Recover() error {
	var err error
	return errors.Join(n.call(func(m *steer.Steer, _ time.Duration) { err = m.Recover() }), err)
}

// errPending is the error of a change that has neither been taken nor refused while its caller waited.
var errPending = errors.New("not decided yet: it stays proposed for as long as this ingress runs")

// Put has a key of the record changed in common, and waits a second for it.
func (n *Node) Put(key string, value json.RawMessage, why string) error {
	life, err := newLife()
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%s-%x", n.c.Name, life)
	full := false
	err = n.call(func(m *steer.Steer, now time.Duration) {
		if full = m.Waiting() >= waitingMost; full {
			return
		}
		m.Propose(now, common.Change{ID: id, Key: key, Base: m.Record().Entries[key].Epoch, Value: value,
			By: n.c.Name, Why: why, At: now.Milliseconds()})
	})
	if err != nil {
		return err
	}
	if full {
		return fmt.Errorf("%d changes wait here for a majority already", waitingMost)
	}
	for until := time.Now().Add(decideWait); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if d, ok := n.Record().Done(id); ok {
			if d.Refused != "" {
				return errors.New("refused: " + d.Refused)
			}
			return nil
		}
	}
	return errPending
}

// Keys takes other keys.
func (n *Node) Keys(keys [][]byte) error {
	if m := n.members.Load(); m != nil {
		return m.Keys(keys)
	}
	return errors.New("the fleet's address is not taken yet")
}
