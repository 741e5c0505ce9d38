// Package member knows which ingresses are there, and carries messages between them. Who is there is
// decided by memberlist's protocol: probes, probes by others, suspicion. All messages are encrypted by the
// keys that the ingresses share.
package member

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"
)

// Config is what Start needs.
type Config struct {
	Name      string
	Bind      netip.AddrPort // where it listens, by TCP and UDP
	Advertise netip.AddrPort // where others reach it; the zero value: at Bind
	Keys      [][]byte       // of 16, 24 or 32 bytes; the first encrypts, all decrypt
	Meta      Meta
	Deliver   func(from string, data []byte) // on any goroutine; it must not block
	Log       zerolog.Logger
}

// Meta is what a member tells of itself.
type Meta struct {
	Life    uint64 `json:"l"` // unlike that of any other start of the same name
	Zone    string `json:"z"`
	Region  string `json:"r,omitempty"`
	Version int    `json:"v"` // of the messages that it understands
}

// State is how a member is seen here.
type State string

// The kinds of State.
const (
	Alive   State = "alive"
	Suspect State = "suspect" // it has not answered, and others are asked
	Dead    State = "dead"
	Left    State = "left"
)

// Member is an ingress as it is seen here.
type Member struct {
	Name  string    `json:"name"`
	Addr  string    `json:"addr"`
	State State     `json:"state"`
	Since time.Time `json:"since"` // of alive, dead or left
	Meta
}

// goneMost bounds how many members that are gone are remembered.
const goneMost = 256

// Times of the membership. A crash is known 3 to 5 s later: what must be quicker does not wait for it.
const (
	probeEvery   = time.Second
	probeWait    = 500 * time.Millisecond
	suspicion    = 3 // probes, times the order of magnitude of the fleet
	streamWait   = 2 * time.Second
	datagramMost = 1200 // bytes of a message that goes as a datagram; a longer one takes a connection
	streamsMost  = 8    // connections being made for messages at once
)

// Members is the membership of this process.
type Members struct {
	c       Config
	list    *memberlist.Memberlist
	keys    *memberlist.Keyring
	streams chan struct{}
	counts  counts

	mu      sync.Mutex
	meta    Meta
	seen    map[string]Member // as last heard by events
	windows map[string]*window
	number  uint64
}

// Start listens. It joins nobody by itself.
func Start(c Config) (*Members, error) {
	if len(c.Keys) == 0 {
		return nil, errors.New("members: no key: anyone could speak for an ingress")
	}
	keys, err := memberlist.NewKeyring(c.Keys, c.Keys[0])
	if err != nil {
		return nil, fmt.Errorf("members: keys: %w", err)
	}
	m := &Members{c: c, keys: keys, meta: c.Meta, seen: map[string]Member{}, windows: map[string]*window{},
		streams: make(chan struct{}, streamsMost)}
	lines := log.New(&m.counts, "", 0)
	m.counts.log = c.Log
	set := memberlist.DefaultLANConfig()
	set.Name, set.Keyring, set.Logger = c.Name, keys, lines
	set.BindAddr, set.BindPort = c.Bind.Addr().String(), int(c.Bind.Port())
	set.AdvertiseAddr, set.AdvertisePort = set.BindAddr, set.BindPort
	if c.Advertise.IsValid() {
		set.AdvertiseAddr, set.AdvertisePort = c.Advertise.Addr().String(), int(c.Advertise.Port())
	}
	set.ProbeInterval, set.ProbeTimeout, set.SuspicionMult = probeEvery, probeWait, suspicion
	set.TCPTimeout, set.DNSConfigPath = streamWait, ""
	set.EnableCompression, set.RequireNodeNames = false, true
	set.Delegate, set.Events = delegate{m}, delegate{m}
	sockets, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{set.BindAddr}, BindPort: set.BindPort, Logger: lines})
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	set.Transport = transport{sockets, net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(
		netip.AddrPortFrom(c.Bind.Addr(), 0))}}
	if m.list, err = memberlist.Create(set); err != nil {
		return nil, errors.Join(fmt.Errorf("members: %w", err), sockets.Shutdown())
	}
	return m, nil
}

// transport calls others from the address that it is bound to, so that firewalls may tell members by it.
type transport struct {
	*memberlist.NetTransport
	from net.Dialer
}

func (t transport) DialTimeout(addr string, d time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, d)
}

func (t transport) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	dialer := t.from
	dialer.Timeout = d
	return dialer.Dial("tcp", a.Addr)
}

// Join asks the members at addresses to be taken in, and reports how many did. It may block for seconds.
func (m *Members) Join(addrs []string) (int, error) {
	named := make([]string, len(addrs))
	for i, a := range addrs {
		named[i] = "seed/" + a // the library asks that a name be told, and goes by the answer's
	}
	n, err := m.list.Join(named)
	if err != nil {
		return n, fmt.Errorf("members: joining: %w", err)
	}
	return n, nil
}

// Meta tells all others what has changed of this member.
func (m *Members) Meta(meta Meta) {
	m.mu.Lock()
	m.meta = meta
	m.mu.Unlock()
	go m.list.UpdateNode(0) // takes the library's lock, under which events come back here
}

// Keys takes other keys: the first encrypts from now on, and all of them decrypt. While the fleet changes
// its key, every ingress is first given both.
func (m *Members) Keys(keys [][]byte) error {
	if len(keys) == 0 {
		return errors.New("members: no key")
	}
	for _, k := range keys {
		if err := m.keys.AddKey(k); err != nil {
			return fmt.Errorf("members: keys: %w", err)
		}
	}
	if err := m.keys.UseKey(keys[0]); err != nil {
		return fmt.Errorf("members: keys: %w", err)
	}
	for _, old := range m.keys.GetKeys() {
		if !slices.ContainsFunc(keys, func(k []byte) bool { return string(k) == string(old) }) {
			if err := m.keys.RemoveKey(old); err != nil {
				return fmt.Errorf("members: keys: %w", err)
			}
		}
	}
	return nil
}

// List tells all members, by name; those that are gone too, for a while.
func (m *Members) List() []Member {
	now := map[string]State{}
	for _, n := range m.list.Members() {
		now[n.Name] = Alive
		if n.State == memberlist.StateSuspect {
			now[n.Name] = Suspect
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Member, 0, len(m.seen))
	for _, s := range m.seen {
		if state, here := now[s.Name]; here {
			s.State = state
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Send sends a message to a member that is there, or drops it. It does not block.
func (m *Members) Send(to string, data []byte) {
	var node *memberlist.Node
	for _, n := range m.list.Members() {
		if n.Name == to {
			node = n
		}
	}
	if node == nil {
		m.counts.unsent.Add(1)
		return
	}
	m.mu.Lock()
	m.number++
	framed := frame{m.c.Name, m.meta.Life, m.number, data}.append(nil)
	m.mu.Unlock()
	m.counts.out.Add(1)
	m.counts.bytesOut.Add(int64(len(framed)))
	if len(framed) <= datagramMost {
		if m.list.SendBestEffort(node, framed) != nil {
			m.counts.unsent.Add(1)
		}
		return
	}
	select {
	case m.streams <- struct{}{}:
		go func() {
			defer func() { <-m.streams }()
			if m.list.SendReliable(node, framed) != nil {
				m.counts.unsent.Add(1)
			}
		}()
	default: // whoever sends it comes again
		m.counts.unsent.Add(1)
	}
}

// Leave tells the others that this member goes, and ends.
func (m *Members) Leave(wait time.Duration) error {
	return errors.Join(m.list.Leave(wait), m.list.Shutdown())
}

// delegate is what the library calls.
type delegate struct{ m *Members }

func (d delegate) NodeMeta(int) []byte {
	d.m.mu.Lock()
	defer d.m.mu.Unlock()
	data, err := json.Marshal(d.m.meta)
	if err != nil {
		return nil
	}
	return data
}

func (delegate) GetBroadcasts(int, int) [][]byte  { return nil }
func (delegate) LocalState(bool) []byte           { return nil }
func (delegate) MergeRemoteState([]byte, bool)    {}
func (d delegate) NotifyJoin(n *memberlist.Node)  { d.m.event(n, Alive, "fleet-joined") }
func (d delegate) NotifyLeave(n *memberlist.Node) { d.m.gone(n) }
func (d delegate) NotifyUpdate(n *memberlist.Node) {
	d.m.event(n, Alive, "")
}

// NotifyMsg takes a message that was decrypted.
func (d delegate) NotifyMsg(data []byte) {
	m := d.m
	m.counts.in.Add(1)
	m.counts.bytesIn.Add(int64(len(data)))
	f, err := readFrame(data)
	if err != nil {
		m.counts.malformed.Add(1)
		return
	}
	m.mu.Lock()
	known, ok := m.seen[f.from]
	fresh := ok && known.Life == f.life && m.windows[f.from].take(f.number)
	m.mu.Unlock()
	if !fresh { // of an earlier life, of one not heard of yet, or a second time
		m.counts.replayed.Add(1)
		return
	}
	m.c.Deliver(f.from, slices.Clone(f.data))
}

func (m *Members) gone(n *memberlist.Node) {
	if n.State == memberlist.StateLeft {
		m.event(n, Left, "fleet-left")
		return
	}
	m.event(n, Dead, "fleet-dead")
}

// event notes what the library says of a member.
func (m *Members) event(n *memberlist.Node, state State, code string) {
	var meta Meta
	if err := json.Unmarshal(n.Meta, &meta); err != nil {
		m.counts.malformed.Add(1)
	}
	m.mu.Lock()
	old, known := m.seen[n.Name]
	s := Member{n.Name, n.Address(), state, time.Now(), meta}
	if known && old.State == state && old.Life == meta.Life {
		s.Since = old.Since
	}
	if !known || old.Life != meta.Life {
		m.windows[n.Name] = &window{}
	}
	m.seen[n.Name] = s
	if len(m.seen) > goneMost {
		for name, old := range m.seen {
			if old.State == Dead || old.State == Left {
				delete(m.seen, name)
				delete(m.windows, name)
				break
			}
		}
	}
	m.mu.Unlock()
	if code != "" && n.Name != m.c.Name {
		m.c.Log.Info().Str("code", code).Str("member", n.Name).Str("zone", meta.Zone).Str("addr", n.Address()).
			Msg("member of the fleet")
	}
}
