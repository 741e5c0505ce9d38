package rig

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Fleet switches on that the ingresses decide in common.
type Fleet struct {
	Voters []string `toml:"voters"`
	Lease  duration `toml:"lease"`
	Hold   duration `toml:"hold"`
}

func (f *Fleet) on() bool { return len(f.Voters) > 0 }

// Operator is an ingress's file with other keys.
func (r *Rig) operator(a *actor, keys [][]byte) error {
	var ring, voters []string
	for _, k := range keys {
		ring = append(ring, base64.StdEncoding.EncodeToString(k))
	}
	voters = append(voters, r.sc.Fleet.Voters...)
	quote := func(list []string) string {
		text, _ := json.Marshal(list)
		return string(text)
	}
	text := fmt.Sprintf(`[fleet]
region = "%s"
bind = "%s"
advertise = "%s"
seeds = %s
keys = %s
voters = %s
lease = "%v"
hold = "%v"
`, a.region, r.bindOf(a), r.advertised(a), quote(r.seeds()), quote(ring), quote(voters),
		time.Duration(r.sc.Fleet.Lease), time.Duration(r.sc.Fleet.Hold))
	return os.WriteFile(filepath.Join(r.o.Dir, a.name+".toml"), []byte(text), 0o600)
}

func (r *Rig) bindOf(a *actor) string     { return fmt.Sprintf("%s%d:7946", r.net, a.number+1) }
func (r *Rig) advertised(a *actor) string { return fmt.Sprintf("%s%d:7946", r.net, a.number+101) }

// seeds are the voters' addresses.
func (r *Rig) seeds() []string {
	var all []string
	for _, a := range r.ingresses {
		for _, v := range r.sc.Fleet.Voters {
			if a.name == v {
				all = append(all, r.advertised(a))
			}
		}
	}
	return all
}

// Rekey gives all ingresses other keys, the first of them to encrypt, and has them read their files again.
func (r *Rig) Rekey(keys ...[]byte) error {
	for _, a := range r.ingresses {
		if err := r.operator(a, keys); err != nil {
			return err
		}
		a.process().signal(syscall.SIGHUP)
	}
	return nil
}

// gather makes what the ingresses need to be a fleet.
func (r *Rig) gather() error {
	r.seen = seen{first: map[[2]uint64]time.Time{}, tables: map[uint64]bool{}, lost: map[string]time.Time{},
		knows: map[string]map[string]struct{}{}, in: map[string]time.Duration{}}
	r.keys = [][]byte{[]byte("a key of the rig")}
	for _, a := range r.ingresses {
		g, err := r.openGossip(a)
		if err != nil {
			return err
		}
		r.gossips, r.closers = append(r.gossips, g), append(r.closers, g)
		if err := r.operator(a, r.keys); err != nil {
			return err
		}
	}
	return nil
}

// gossip is where members reach an ingress: it tells by their addresses which of them calls.
type gossip struct {
	r     *Rig
	to    *actor
	udp   *net.UDPConn
	tcp   *net.TCPListener
	count atomic.Int64 // datagrams and connections that have gone in

	mu     sync.Mutex
	second int64
	within int
	mostIn int
}

func (r *Rig) openGossip(a *actor) (*gossip, error) {
	addr, err := net.ResolveUDPAddr("udp", r.advertised(a))
	if err != nil {
		return nil, err
	}
	g := &gossip{r: r, to: a}
	if g.udp, err = net.ListenUDP("udp", addr); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errors.Join(err, g.udp.Close())
	}
	g.tcp = l.(*net.TCPListener)
	go g.datagrams()
	go g.streams()
	return g, nil
}

// Close ends it.
func (g *gossip) Close() error { return errors.Join(g.udp.Close(), g.tcp.Close()) }

// sender is the ingress with the address, if it is one's.
func (r *Rig) sender(ip net.IP) *actor {
	if ip = ip.To4(); ip == nil {
		return nil
	}
	if n := int(ip[3]); n >= 1 && n <= len(r.ingresses) {
		return r.ingresses[n-1]
	}
	return nil
}

func (g *gossip) datagrams() {
	buf := make([]byte, 64<<10)
	to, err := net.ResolveUDPAddr("udp", g.r.bindOf(g.to))
	if err != nil {
		return
	}
	for {
		n, addr, err := g.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		from := g.r.sender(addr.IP)
		if from == nil {
			continue
		}
		drop, late := g.r.link(from, g.to).drops()
		if drop {
			continue
		}
		data := append([]byte{}, buf[:n]...)
		send := func() {
			g.counted()
			g.udp.WriteToUDP(data, to)
		}
		if late > 0 {
			time.AfterFunc(late, send)
		} else {
			send()
		}
	}
}

// counted counts a message into the ingress, by the second.
func (g *gossip) counted() {
	g.count.Add(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := time.Now().Unix(); now != g.second {
		g.second, g.within = now, 0
	}
	g.within++
	g.mostIn = max(g.mostIn, g.within)
}

func (g *gossip) streams() {
	for {
		c, err := g.tcp.AcceptTCP()
		if err != nil {
			return
		}
		from := g.r.sender(c.RemoteAddr().(*net.TCPAddr).IP)
		if from == nil {
			c.Close()
			continue
		}
		g.counted()
		d := &relay{there: g.r.link(from, g.to), back: g.r.link(g.to, from), target: g.r.bindOf(g.to), ctx: g.r.ctx}
		go d.pass(c)
	}
}

// Status is what an ingress says of its fleet.
type Status struct {
	Name, Standing, Leader string
	Generation, Epoch      uint64
	Leads                  bool
	Members                []struct {
		Name, State string
	}
	Messages struct{ Forged, Replayed, Malformed, In, Out int64 }
}

// Call makes an operators' call at an ingress, past all relays: staff are on its machine.
func (r *Rig) Call(ingress, line string) (string, error) {
	for _, a := range r.ingresses {
		if a.name == ingress {
			return r.callAt(a, line)
		}
	}
	return "", fmt.Errorf("no ingress %s", ingress)
}

func (r *Rig) callAt(a *actor, line string) (string, error) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s%d:9100", r.net, a.number+1), time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintln(c, line); err != nil {
		return "", err
	}
	text, err := io.ReadAll(c)
	if err != nil {
		return "", err
	}
	if strings.HasPrefix(string(text), "FAILURE") {
		return "", errors.New(strings.TrimSpace(string(text)))
	}
	return string(text), nil
}

// Status asks an ingress how its fleet looks.
func (r *Rig) Status(ingress string) (*Status, error) {
	text, err := r.Call(ingress, "FLEET STATUS")
	if err != nil {
		return nil, err
	}
	s := &Status{}
	return s, json.NewDecoder(strings.NewReader(text)).Decode(s)
}

// Leader is the ingress that leads with a majority behind it; empty if none does.
func (r *Rig) Leader() string {
	for _, a := range r.ingresses {
		if a.dead() {
			continue
		}
		if s, err := r.Status(a.name); err == nil && s.Leads {
			return a.name
		}
	}
	return ""
}

// seen is the watch that is kept over what the ingresses hold to be agreed.
type seen struct {
	mu     sync.Mutex
	tables map[uint64]bool                // epochs of the table of zones
	lost   map[string]time.Time           // zones of servers that the rig has taken away, and when
	knows  map[string]map[string]struct{} // by zone: ingresses that leave it alone by the table
	in     map[string]time.Duration       // by zone: until all knew
	first  map[[2]uint64]time.Time        // when a record was first told of
	beyond time.Duration                  // past the lease that a replaced record counted as agreed, at the most
}

// watchFleet asks all ingresses again and again what they hold to be agreed.
func (r *Rig) watchFleet(ctx context.Context) {
	for _, a := range r.ingresses {
		go func() {
			for ctx.Err() == nil {
				asked := time.Now()
				if s, err := r.Status(a.name); err == nil && s.Standing == "agreed" {
					r.seen.told([2]uint64{s.Generation, s.Epoch}, asked, time.Duration(r.sc.Fleet.Lease))
				}
				if z, err := r.Zones(a.name); err == nil && z.Epoch > 0 {
					r.knows(a, z)
				}
				sleep(ctx, 100*time.Millisecond)
			}
		}()
	}
}

// gone notes that a zone was taken away, the first time.
func (s *seen) gone(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.lost[zone]; !known && s.lost != nil {
		s.lost[zone] = time.Now()
	}
}

// Zones is what an ingress says of the table of zones.
type Zones struct {
	Links map[string]struct{ Down bool }
	Ill   []string
	Epoch uint64
	Why   string
}

// Zones asks an ingress for the table of zones.
func (r *Rig) Zones(ingress string) (*Zones, error) {
	text, err := r.Call(ingress, "FLEET ZONES")
	if err != nil {
		return nil, err
	}
	z := &Zones{}
	return z, json.NewDecoder(strings.NewReader(text)).Decode(z)
}

// knows notes that an ingress goes by a table. A zone counts as decided on once all ingresses that live
// know that its own ingresses leave it alone.
func (r *Rig) knows(a *actor, z *Zones) {
	live := 0
	for _, b := range r.ingresses {
		if !b.dead() {
			live++
		}
	}
	s := &r.seen
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables[z.Epoch] = true
	for zone, at := range s.lost {
		if !z.Links[zone+">"+zone].Down {
			continue
		}
		if s.knows[zone] == nil {
			s.knows[zone] = map[string]struct{}{}
		}
		s.knows[zone][a.name] = struct{}{}
		if _, known := s.in[zone]; !known && len(s.knows[zone]) >= live {
			s.in[zone] = time.Since(at)
		}
	}
}

func (s *seen) told(key [2]uint64, asked time.Time, lease time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.first[key]; !known {
		s.first[key] = time.Now()
	}
	for other, at := range s.first {
		newer := other[0] > key[0] || other[0] == key[0] && other[1] > key[1]
		if newer {
			s.beyond = max(s.beyond, asked.Sub(at)-lease)
		}
	}
}

// Begin begins a fault that is in no file, and returns what ends it.
func (r *Rig) Begin(f Fault) (end func(), err error) {
	sc := *r.sc
	sc.Faults = []Fault{f}
	var bad []error
	sc.check(func(key, format string, args ...any) {
		bad = append(bad, fmt.Errorf(key+": "+format, args...))
	})
	if len(bad) > 0 {
		return nil, errors.Join(bad...)
	}
	if end = r.begin(r.ctx, &sc.Faults[0], r.rng); end == nil {
		end = func() {}
	}
	return end, nil
}

// Forge sends an ingress datagrams that an outsider might: noise, and noise that has the form of what is
// encrypted.
func (r *Rig) Forge(ingress string, key []byte) error {
	for _, a := range r.ingresses {
		if a.name != ingress {
			continue
		}
		c, err := net.Dial("udp", r.bindOf(a))
		if err != nil {
			return err
		}
		defer c.Close()
		for n := range 20 {
			data := append([]byte{byte(n % 2)}, key...)
			for len(data) < 64 {
				data = append(data, byte(n))
			}
			if _, err := c.Write(data); err != nil {
				return err
			}
		}
		return nil
	}
	return fmt.Errorf("no ingress %s", ingress)
}
