// Package member keeps track of which ingresses are alive and carries messages between them. Failures are
// detected with the protocol of memberlist: direct probes, indirect probes through other members, and
// suspicion. All messages are encrypted with keys that the ingresses share.
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

// Config configures Start.
type Config struct {
	Name      string
	Bind      netip.AddrPort // listening address, TCP and UDP
	Advertise netip.AddrPort // address that others connect to; the zero value means Bind
	Keys      [][]byte       // 16, 24 or 32 bytes each; the first encrypts, all of them decrypt
	Meta      Meta
	Deliver   func(from string, data []byte) // called on any goroutine; must not block
	Log       zerolog.Logger
}

// Meta is what a member announces about itself.
type Meta struct {
	Life    uint64 `json:"l"` // random incarnation number, different at each start
	Zone    string `json:"z"`
	Region  string `json:"r,omitempty"`
	Version int    `json:"v"` // version of the messages that it understands
}

// State is the state of a member as seen by this process.
type State string

// Values of State.
const (
	Alive   State = "alive"
	Suspect State = "suspect" // it has not answered a probe, which others may still refute
	Dead    State = "dead"
	Left    State = "left"
)

// Member is an ingress as seen by this process.
type Member struct {
	Name  string    `json:"name"`
	Addr  string    `json:"addr"`
	State State     `json:"state"`
	Since time.Time `json:"since"` // when it became alive, dead or left
	Meta
}

// maxMembers is the number of known members above which dead or departed ones are forgotten.
const maxMembers = 256

// Timing and limits of the membership. A crash is detected after 3 to 5 s; decisions that must be faster
// don't depend on it.
const (
	probeInterval       = time.Second
	probeTimeout        = 500 * time.Millisecond
	suspicionMultiplier = 3 // in probe intervals, multiplied by the order of magnitude of the fleet's size
	streamTimeout       = 2 * time.Second
	maxDatagramBytes    = 1200 // larger messages are sent over a TCP connection
	maxStreams          = 8    // concurrent TCP connections for messages
)

// Members is this process's view of the membership.
type Members struct {
	c       Config
	list    *memberlist.Memberlist
	keys    *memberlist.Keyring
	streams chan struct{} // semaphore of maxStreams
	counts  counts

	mu       sync.Mutex
	meta     Meta
	seen     map[string]Member  // latest event of each member
	windows  map[string]*window // of received sequence numbers, by sender
	sequence uint64             // of the last message sent
}

// Start listens for messages of other members. It does not join any of them; see Join.
func Start(c Config) (*Members, error) {
	if len(c.Keys) == 0 {
		return nil, errors.New("members: no encryption key: anyone could impersonate an ingress")
	}
	keys, err := memberlist.NewKeyring(c.Keys, c.Keys[0])
	if err != nil {
		return nil, fmt.Errorf("members: keys: %w", err)
	}
	m := &Members{c: c, keys: keys, meta: c.Meta, seen: map[string]Member{}, windows: map[string]*window{},
		streams: make(chan struct{}, maxStreams)}
	libraryLog := log.New(&m.counts, "", 0)
	m.counts.log = c.Log
	conf := memberlist.DefaultLANConfig()
	conf.Name, conf.Keyring, conf.Logger = c.Name, keys, libraryLog
	conf.BindAddr, conf.BindPort = c.Bind.Addr().String(), int(c.Bind.Port())
	conf.AdvertiseAddr, conf.AdvertisePort = conf.BindAddr, conf.BindPort
	if c.Advertise.IsValid() {
		conf.AdvertiseAddr, conf.AdvertisePort = c.Advertise.Addr().String(), int(c.Advertise.Port())
	}
	conf.ProbeInterval, conf.ProbeTimeout, conf.SuspicionMult =
		probeInterval, probeTimeout, suspicionMultiplier
	conf.TCPTimeout, conf.DNSConfigPath = streamTimeout, ""
	conf.EnableCompression, conf.RequireNodeNames = false, true
	conf.Delegate, conf.Events = delegate{m}, delegate{m}
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{conf.BindAddr}, BindPort: conf.BindPort, Logger: libraryLog})
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	conf.Transport = transport{netTransport, net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(
		netip.AddrPortFrom(c.Bind.Addr(), 0))}}
	if m.list, err = memberlist.Create(conf); err != nil {
		return nil, errors.Join(fmt.Errorf("members: %w", err), netTransport.Shutdown())
	}
	return m, nil
}

// transport connects to other members from the address that it is bound to, so that firewalls can identify
// members by it.
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

// Join joins the fleet through the members at the given addresses, and returns how many of them could be
// contacted. It may block for seconds.
func (m *Members) Join(addrs []string) (int, error) {
	namedAddrs := make([]string, len(addrs))
	for i, a := range addrs {
		namedAddrs[i] = "seed/" + a // the library requires a name, and uses the one in the answer
	}
	n, err := m.list.Join(namedAddrs)
	if err != nil {
		return n, fmt.Errorf("members: joining: %w", err)
	}
	return n, nil
}

// Meta announces changed metadata of this member to all others.
func (m *Members) Meta(meta Meta) {
	m.mu.Lock()
	m.meta = meta
	m.mu.Unlock()
	go m.list.UpdateNode(0) // asynchronous, because it takes the lock under which the library calls delegate
}

// Keys replaces the encryption keys: the first encrypts from now on, and all of them decrypt. To change the
// key of a fleet, every ingress must first get both the old and the new one.
func (m *Members) Keys(keys [][]byte) error {
	if len(keys) == 0 {
		return errors.New("members: no encryption key")
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

// List returns all known members sorted by name, including those that died or left recently.
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

// Send sends a message to a live member, or drops it and counts it as unsent. It does not block.
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
	m.sequence++
	framed := frame{m.c.Name, m.meta.Life, m.sequence, data}.append(nil)
	m.mu.Unlock()
	m.counts.out.Add(1)
	m.counts.bytesOut.Add(int64(len(framed)))
	if len(framed) <= maxDatagramBytes {
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
	default: // dropped: senders retry
		m.counts.unsent.Add(1)
	}
}

// Leave announces to the others that this member leaves, waiting at most the given time, and shuts down.
func (m *Members) Leave(wait time.Duration) error {
	return errors.Join(m.list.Leave(wait), m.list.Shutdown())
}

// delegate implements the callbacks of the library.
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
func (d delegate) NotifyJoin(n *memberlist.Node)  { d.m.recordEvent(n, Alive, "fleet-joined") }
func (d delegate) NotifyLeave(n *memberlist.Node) { d.m.handleDeparture(n) }
func (d delegate) NotifyUpdate(n *memberlist.Node) {
	d.m.recordEvent(n, Alive, "")
}

// NotifyMsg processes a decrypted message.
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
	accepted := ok && known.Life == f.life && m.windows[f.from].accept(f.sequence)
	m.mu.Unlock()
	if !accepted { // from an earlier incarnation, from an unknown member, or a duplicate
		m.counts.replayed.Add(1)
		return
	}
	m.c.Deliver(f.from, slices.Clone(f.data))
}

// handleDeparture records whether a member left by itself or was declared dead.
func (m *Members) handleDeparture(n *memberlist.Node) {
	if n.State == memberlist.StateLeft {
		m.recordEvent(n, Left, "fleet-left")
		return
	}
	m.recordEvent(n, Dead, "fleet-dead")
}

// recordEvent stores a state change of a member reported by the library, and logs it if code is not empty.
func (m *Members) recordEvent(n *memberlist.Node, state State, code string) {
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
	if len(m.seen) > maxMembers {
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
			Msg("fleet member changed state")
	}
}
