package config

import (
	"encoding/base64"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Fleet configures an ingress's membership in a fleet. An empty bind address disables it.
type Fleet struct {
	Name      string   `toml:"name"`      // empty: the platform's name
	Zone      string   `toml:"zone"`      // empty: the platform's zone
	Region    string   `toml:"region"`    // region of the zone
	Bind      string   `toml:"bind"`      // address to listen on for members, TCP and UDP
	Advertise string   `toml:"advertise"` // address at which members reach this one; empty: bind
	Seeds     []string `toml:"seeds"`     // addresses of some members, to join through
	Keys      []string `toml:"keys"`      // base64 of 16, 24 or 32 bytes; the first encrypts, all decrypt
	KeysEnv   string   `toml:"keys_env"`  // environment variable with the keys instead, separated by spaces
	Voters    []string `toml:"voters"`    // names of the members that vote; must be the same on all members
	Lease     Duration `toml:"lease"`     // how long agreed state stays valid after a majority's confirmation
	Hold      Duration `toml:"hold"`      // how long agreed state stays in use after the lease

	BindTo      netip.AddrPort `toml:"-"`
	AdvertiseAs netip.AddrPort `toml:"-"`
	Ring        [][]byte       `toml:"-"`
}

// On reports whether the ingress joins a fleet.
func (l *Fleet) On() bool { return l.Bind != "" }

// Limits of the fleet's settings.
const (
	minLease  = 1500 * time.Millisecond // the leader sends twice a second, and a message may get lost
	maxVoters = 7
)

// defaults sets the values of keys that a file may omit. It must be called before the file is decoded.
func (l *Fleet) defaults() {
	l.Lease, l.Hold = Duration(2*time.Second), Duration(30*time.Second)
}

// check validates the settings, and parses the addresses and keys.
func (l *Fleet) check(f *faults, getenv func(string) string) {
	if !l.On() {
		return
	}
	addr := func(key, text string, into *netip.AddrPort) {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			f.add("fleet."+key, "%q: want an IP address and port that other members can reach", text)
		}
		*into = a
	}
	addr("bind", l.Bind, &l.BindTo)
	if l.Advertise != "" {
		addr("advertise", l.Advertise, &l.AdvertiseAs)
	}
	for _, s := range l.Seeds {
		var a netip.AddrPort
		addr("seeds", s, &a)
	}
	keys := l.Keys
	if l.KeysEnv != "" {
		keys = strings.Fields(getenv(l.KeysEnv))
	}
	l.Ring = nil
	for i, k := range keys {
		raw, err := base64.StdEncoding.DecodeString(k)
		if err != nil || !slices.Contains([]int{16, 24, 32}, len(raw)) {
			f.add("fleet.keys", "key %d is not base64 of 16, 24 or 32 bytes", i+1) // never print the key itself
			continue
		}
		l.Ring = append(l.Ring, raw)
	}
	if len(keys) == 0 {
		f.add("fleet.keys", "want at least one key, here or in the environment variable named by keys_env")
	}
	seen := map[string]bool{}
	for _, v := range l.Voters {
		if v == "" || seen[v] {
			f.add("fleet.voters", "%q is empty or listed twice", v)
		}
		seen[v] = true
	}
	if n := len(l.Voters); n < 1 || n > maxVoters {
		f.add("fleet.voters", "%d voters, want 3 to %d, or 1 for a trial", n, maxVoters)
	}
	if time.Duration(l.Lease) < minLease {
		f.add("fleet.lease", "%v, want %v or more", time.Duration(l.Lease), minLease)
	}
}
