// Package simulatedfleet simulates large fleets in virtual time, by the code that real ingresses run.
package simulatedfleet

import (
	crypto "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunespoke/fleet/common"
	"dunespoke/fleet/steer"
	"dunespoke/fleet/zones"
	"dunespoke/internal/lab/virtual"
)

// Fleet is ingresses in virtual time, by the code that they run for real but for sockets: membership is an
// oracle that knows of an end three seconds later, and attempts are counted, not made.
type Fleet struct {
	Net       *virtual.Net
	Ingresses []*Ingress
	Attempts  float64                             // that each ingress makes in a second
	Fails     func(from *Ingress, to string) bool // an attempt now
	zones     []string
	lives     uint64
	byName    map[string]*Ingress
	Errs      []error

	second int64
	MostIn int   // messages into one ingress in a second, at the most
	Bytes  int64 // of all messages
}

// Ingress is one of a virtual fleet.
type Ingress struct {
	Name, Zone string
	Up         bool
	Steer      *steer.Steer
	sums       zones.Collector
	ended      time.Duration
	in         int
	tables     map[uint64]bool // epochs of tables that it has gone by
}

// NewFleet brings up so many ingresses, spread over zones, with up to five voters in the first zones.
func NewFleet(seed uint64, ingresses, zoneCount int, lease, hold time.Duration) *Fleet {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	crypto.Reader = rand.NewChaCha8(key) // from which the log draws the times of its elections
	f := &Fleet{Net: virtual.New(seed, 1000*time.Hour), Attempts: 10, byName: map[string]*Ingress{},
		Fails: func(*Ingress, string) bool { return false }}
	var voters []string
	for i := range ingresses {
		zone := fmt.Sprintf("z%02d", i%zoneCount)
		if i < zoneCount {
			f.zones = append(f.zones, zone)
		}
		in := &Ingress{Name: fmt.Sprintf("%s-%d", zone, i/zoneCount+1), Zone: zone, tables: map[uint64]bool{}}
		f.Ingresses = append(f.Ingresses, in)
		f.byName[in.Name] = in
		if len(voters) < 5 {
			voters = append(voters, in.Name)
		}
	}
	if len(voters)%2 == 0 {
		voters = voters[1:]
	}
	for _, in := range f.Ingresses {
		f.lives++
		in.Up = true
		in.Steer = steer.New(common.Config{Name: in.Name, Life: f.lives, Voters: voters, Lease: lease, Hold: hold,
			Beat: 500 * time.Millisecond}, in.Zone, f.Net.Now())
		f.Net.After(time.Duration(f.Net.Rand.Int64N(int64(common.Tick))), func() { f.tick(in) })
	}
	f.tell()
	return f
}

// Kill ends an ingress for good.
func (f *Fleet) Kill(in *Ingress) { in.Up, in.ended = false, f.Net.Now() }

// tell tells all of the members, once a second.
func (f *Fleet) tell() {
	list := make([]steer.Peer, len(f.Ingresses))
	for i, in := range f.Ingresses {
		alive := in.Up || f.Net.Now()-in.ended < 3*time.Second
		list[i] = steer.Peer{Peer: common.Peer{Name: in.Name, Life: in.Steer.Life(), Alive: alive}, Zone: in.Zone}
	}
	for _, in := range f.Ingresses {
		in.Steer.Peers(list)
	}
	f.Net.After(time.Second, f.tell)
}

func (f *Fleet) tick(in *Ingress) {
	if !in.Up {
		return
	}
	f.Net.After(common.Tick, func() { f.tick(in) })
	now := f.Net.Now()
	down := in.Steer.Course().Down
	for range f.poisson(f.Attempts * common.Tick.Seconds()) {
		to := in.Zone
		for i := 0; slices.Contains(down, to) && i < len(f.zones); i++ {
			to = f.zones[f.Net.Rand.IntN(len(f.zones))]
		}
		in.sums.Ended(now, to, f.Fails(in, to), 0)
	}
	in.Steer.Tick(now)
	if in.Steer.Due(now) {
		tried := map[string]bool{}
		zones, _ := in.Steer.ZonesToProbe()
		for _, to := range zones {
			tried[to] = !f.Fails(in, to)
		}
		in.Steer.Report(now, in.sums.Sums(now), tried)
	}
	f.after(in)
}

// poisson draws how many of what comes at random come now.
func (f *Fleet) poisson(mean float64) int {
	n, left := 0, mean
	for {
		if left -= f.Net.Rand.ExpFloat64(); left < 0 {
			return n
		}
		n++
	}
}

func (f *Fleet) after(in *Ingress) {
	before := in.Steer.Course().Down
	in.Steer.Follow(f.Net.Now())
	for _, zone := range before {
		if !slices.Contains(in.Steer.Course().Down, zone) {
			in.sums.Forget(f.Net.Now(), zone)
		}
	}
	if e := in.Steer.Record().Entries[steer.ZonesKey]; e.Epoch > 0 {
		in.tables[e.Epoch] = true
	}
	for _, msg := range in.Steer.Take() {
		to, from := f.byName[msg.To], in.Name
		f.Bytes += int64(len(msg.Data))
		f.Net.Send(from, msg.To, func() { f.arrive(to, from, msg.Data) })
	}
	if err := in.Steer.Err(); err != nil {
		f.Errs = append(f.Errs, err)
	}
}

func (f *Fleet) arrive(to *Ingress, from string, data []byte) {
	if !to.Up {
		return
	}
	if s := int64(f.Net.Now() / time.Second); s != f.second {
		f.second = s
		for _, in := range f.Ingresses {
			in.in = 0
		}
	}
	to.in++
	f.MostIn = max(f.MostIn, to.in)
	if err := to.Steer.Step(f.Net.Now(), from, data); err != nil {
		f.Errs = append(f.Errs, err)
	}
	f.after(to)
}

// Run plays for so long.
func (f *Fleet) Run(d time.Duration) { f.Net.Run(f.Net.Now() + d) }

// Until plays until it is so, at most for so long, and returns how long it took.
func (f *Fleet) Until(most time.Duration, is func() bool) (time.Duration, bool) {
	began := f.Net.Now()
	for !is() {
		if f.Net.Now()-began >= most {
			return most, false
		}
		f.Run(10 * time.Millisecond)
	}
	return f.Net.Now() - began, true
}

// All reports whether it is so at all ingresses that are up.
func (f *Fleet) All(is func(*Ingress) bool) bool {
	return !slices.ContainsFunc(f.Ingresses, func(in *Ingress) bool { return in.Up && !is(in) })
}

// Knows reports that an ingress holds it to be agreed that a link is down, or is not.
func (in *Ingress) Knows(now time.Duration, link string, down bool) bool {
	t := &zones.Table{}
	if steer.Read(in.Steer.Record().Entries[steer.ZonesKey], t) != nil {
		return false
	}
	return in.Steer.Standing(now) == common.Agreed && t.Links[link].Down == down
}

// Tables is how many tables have been in force.
func (f *Fleet) Tables() int {
	all := map[uint64]bool{}
	for _, in := range f.Ingresses {
		for epoch := range in.tables {
			all[epoch] = true
		}
	}
	return len(all)
}
