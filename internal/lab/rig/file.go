// Package rig plays a fleet on one machine: real processes of the program, stand-ins for the servers, the
// list, the counter and the clients, and faults between any two of them by script. Every link goes through
// a relay of the rig's. It works on loopback addresses alone, and whatever it starts ends with it.
package rig

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Scenario is a file of `dunespoke-lab fleet`.
type Scenario struct {
	Name    string   `toml:"-"`
	Seed    uint64   `toml:"seed"`
	Seconds float64  `toml:"seconds"` // of load; faults are timed from its start
	Regions []Region `toml:"region"`
	Load    Load     `toml:"load"`
	Servers Servers  `toml:"servers"`
	Fleet   Fleet    `toml:"fleet"` // without voters nothing is decided in common
	Faults  []Fault  `toml:"fault"`
	Expects []Expect `toml:"expect"`
}

// Region is some zones near each other.
type Region struct {
	Name  string `toml:"name"`
	Zones []Zone `toml:"zones"`
}

// Zone is what fails together. Its processes are named after it: zone a has ingresses a1, a2 and servers
// s-a1.
type Zone struct {
	Name      string  `toml:"name"`
	Ingresses int     `toml:"ingresses"`
	Servers   int     `toml:"servers"`
	Load      float64 `toml:"load"` // part of the clients that live there, against other zones'; 0: by ingresses
}

// Load is what clients ask for.
type Load struct {
	Rate      float64  `toml:"rate"`       // first tries a second, quotas not regarded
	Clients   int      `toml:"clients"`    // customers
	CrossZone float64  `toml:"cross_zone"` // the program's price of leaving a zone; 0: it spreads evenly
	Wait      duration `toml:"wait"`       // of clients before they come again
}

// Servers are the app servers' figures.
type Servers struct {
	Cores int      `toml:"cores"`
	Work  duration `toml:"work"` // in the mean, of a request on a core
	Queue int      `toml:"queue"`
	Cold  float64  `toml:"cold"`  // part of its speed that a server starts with
	Warm  duration `toml:"warm"`  // after which it has all of it
	Tell  duration `toml:"tell"`  // after which the list has heard of a start or an end
	Hurts float64  `toml:"hurts"` // times its capacity at which a cold server falls over within a second
}

// Fault is what is done to some of the fleet.
type Fault struct {
	At    duration `toml:"at"`
	For   duration `toml:"for"`   // 0: to the end
	Every duration `toml:"every"` // with times: again this long after it began
	Times int      `toml:"times"`
	Do    string   `toml:"do"`
	On    string   `toml:"on"`
	To    string   `toml:"to"`
	Share float64  `toml:"share"` // of targets, or of messages; 0: all
	By    string   `toml:"by"`    // "50ms" or "x4"

	delay  time.Duration
	factor float64
}

// Expect is what has to hold at the end.
type Expect struct {
	What   string   `toml:"what"`
	Zone   string   `toml:"zone"`
	Within duration `toml:"within"`
	Least  *float64 `toml:"least"`
	Most   *float64 `toml:"most"`
	From   duration `toml:"from"` // served: of the time from here
	Until  duration `toml:"until"`
}

type duration time.Duration

// UnmarshalText reads a duration as in "1.5s".
func (d *duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err == nil && v < 0 {
		err = fmt.Errorf("%s: a time must not be negative", text)
	}
	*d = duration(v)
	return err
}

// Bounds of one rig: a machine's cores and loopback ports hold no more with times that mean something.
const (
	ingressesMost = 60
	serversMost   = 120
	rateMost      = 2000
	secondsMost   = 600
	clientsMost   = 2000
)

var (
	deeds = []string{"kill", "stop", "cut", "cut-oneway", "lose", "delay", "slow", "fail", "silent", "restart",
		"stale"}
	whats = []string{"decided", "served", "cross", "changes", "lost", "twice", "over_quota", "disagreed",
		"unfair"}
)

// Read reads a scenario's file. The error names all that is wrong with it, each with its key.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(strings.TrimSuffix(filepath.Base(path), ".toml"), string(text))
}

// Parse reads a scenario.
func Parse(name, text string) (*Scenario, error) {
	s := &Scenario{Name: name, Seed: 1}
	s.Load.Wait = duration(200 * time.Millisecond)
	s.Servers = Servers{Cores: 2, Work: duration(25 * time.Millisecond), Queue: 60, Cold: 0.24,
		Warm: duration(17 * time.Second), Tell: duration(2 * time.Second), Hurts: 3}
	s.Fleet = Fleet{Lease: duration(2 * time.Second), Hold: duration(30 * time.Second)}
	meta, err := toml.Decode(text, s)
	if err != nil {
		return nil, err
	}
	var bad []error
	add := func(key, format string, args ...any) {
		bad = append(bad, fmt.Errorf("%s: %w", key, fmt.Errorf(format, args...)))
	}
	for _, key := range meta.Undecoded() {
		add(key.String(), "unknown key")
	}
	s.check(add)
	return s, errors.Join(bad...)
}

func (s *Scenario) check(add func(key, format string, args ...any)) {
	ingresses, servers := 0, 0
	names := map[string]bool{}
	for _, r := range s.Regions {
		if r.Name == "" || names["region:"+r.Name] {
			add("region.name", "%q is empty or another region's", r.Name)
		}
		names["region:"+r.Name] = true
		for _, z := range r.Zones {
			if z.Name == "" || strings.Trim(z.Name, "abcdefghijklmnopqrstuvwxyz") != "" || names["zone:"+z.Name] {
				add("region.zones", "%q is no name of small letters, or another zone's", z.Name)
			}
			if z.Ingresses < 0 || z.Servers < 0 || z.Load < 0 {
				add("region.zones", "%s: numbers must not be negative", z.Name)
			}
			names["zone:"+z.Name], names["servers:"+z.Name], names["ingresses:"+z.Name] = true, true, true
			ingresses, servers = ingresses+z.Ingresses, servers+z.Servers
			for i := range min(z.Ingresses, ingressesMost) {
				names["ingress:"+z.Name+strconv.Itoa(i+1)] = true
			}
		}
	}
	if ingresses < 1 || ingresses > ingressesMost || servers < 1 || servers > serversMost {
		add("region", "%d ingresses and %d servers, want 1 to %d and 1 to %d", ingresses, servers, ingressesMost,
			serversMost)
	}
	if !(s.Seconds > 0 && s.Seconds <= secondsMost) {
		add("seconds", "%v, want up to %d", s.Seconds, secondsMost)
	}
	if !(s.Load.Rate > 0 && s.Load.Rate <= rateMost) || s.Load.Clients < 1 || s.Load.Clients > clientsMost {
		add("load", "want a rate of up to %d and 1 to %d clients", rateMost, clientsMost)
	}
	if v := s.Servers; v.Cores < 1 || v.Work <= 0 || v.Queue < 1 || !(v.Cold > 0 && v.Cold <= 1) ||
		!(v.Hurts > 0) {
		add("servers", "want cores, work, queue and hurts above 0 and cold up to 1")
	}
	for _, v := range s.Fleet.Voters {
		if !names["ingress:"+v] {
			add("fleet.voters", "no ingress %q", v)
		}
	}
	if s.Fleet.on() {
		names["voter"], names["leader"] = true, true
	}
	for i := range s.Faults {
		key := fmt.Sprintf("fault[%d]", i)
		s.Faults[i].check(func(format string, args ...any) { add(key, format, args...) }, names)
	}
	for i, e := range s.Expects {
		key := fmt.Sprintf("expect[%d]", i)
		if !slices.Contains(whats, e.What) {
			add(key+".what", "%q, want one of %v", e.What, whats)
		}
		if e.Zone != "" && !names["zone:"+e.Zone] {
			add(key+".zone", "no zone %q", e.Zone)
		}
		if e.Within == 0 && e.Least == nil && e.Most == nil {
			add(key, "want within, least or most")
		}
	}
}

func (f *Fault) check(add func(format string, args ...any), names map[string]bool) {
	if !slices.Contains(deeds, f.Do) {
		add("do: %q, want one of %v", f.Do, deeds)
	}
	names["counter"], names["list"] = true, true
	for _, target := range []string{f.On, f.To} {
		if !names[target] && !(target == "" && f.Do != "" && f.On != "") {
			add("no %q in this fleet", target)
		}
	}
	links := slices.Contains([]string{"cut", "cut-oneway", "lose", "delay"}, f.Do)
	if f.To != "" && !links {
		add("to: %s is not done to a link", f.Do)
	}
	if f.Do == "cut-oneway" && f.To == "" {
		add("to: a one-way cut needs it")
	}
	if !(f.Share >= 0 && f.Share <= 1) || f.Do == "lose" && f.Share == 1 {
		add("share: %v, want 0 to 1", f.Share)
	}
	if f.Times < 0 || f.Times > 1 && f.Every <= f.For {
		add("every: want it longer than for")
	}
	if f.Do == "stale" && f.On != "list" {
		add("on: only the list can be stale")
	}
	f.factor = 1
	var err error
	switch {
	case strings.HasPrefix(f.By, "x"):
		f.factor, err = strconv.ParseFloat(f.By[1:], 64)
	case f.By != "":
		f.delay, err = time.ParseDuration(f.By)
	case f.Do == "delay" || f.Do == "slow" || f.Do == "stale":
		add("by: %s needs it", f.Do)
	}
	if err != nil || f.delay < 0 || f.delay > time.Minute || !(f.factor > 0 && f.factor < 1000) {
		add(`by: %q, want a time as in "50ms" or a factor as in "x4"`, f.By)
	}
}
