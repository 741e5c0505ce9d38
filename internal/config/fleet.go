package config

import (
	"encoding/base64"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Fleet sets up an ingress's part in its fleet. An empty bind address leaves it off.
type Fleet struct {
	Name      string   `toml:"name"`      // empty: the platform's
	Zone      string   `toml:"zone"`      // empty: the platform's
	Region    string   `toml:"region"`    // of the zone
	Bind      string   `toml:"bind"`      // where members are listened to, by TCP and UDP
	Advertise string   `toml:"advertise"` // where they reach this one; empty: at bind
	Seeds     []string `toml:"seeds"`     // some members' addresses
	Keys      []string `toml:"keys"`      // base64 of 16, 24 or 32 bytes; the first encrypts, all decrypt
	KeysEnv   string   `toml:"keys_env"`  // the variable that holds them instead, with spaces between
	Voters    []string `toml:"voters"`    // names of those who decide; the same at all members
	Lease     Duration `toml:"lease"`     // for which what was agreed counts as agreed, past a majority's word
	Hold      Duration `toml:"hold"`      // for which it holds after that

	BindTo      netip.AddrPort `toml:"-"`
	AdvertiseAs netip.AddrPort `toml:"-"`
	Ring        [][]byte       `toml:"-"`
}

// On reports whether the ingress is to take part in a fleet.
func (l *Fleet) On() bool { return l.Bind != "" }

// Bounds of the fleet's settings.
const (
	leaseLeast = 1500 * time.Millisecond // the leader's word comes twice a second, and may get lost
	votersMost = 7
)

func (l *Fleet) defaults() {
	l.Lease, l.Hold = Duration(2*time.Second), Duration(30*time.Second)
}

// check names what is wrong with it, and reads its addresses and keys.
func (l *Fleet) check(f *faults, getenv func(string) string) {
	if !l.On() {
		return
	}
	addr := func(key, text string, into *netip.AddrPort) {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			f.add("fleet."+key, "%q: want an IP address and a port that others reach", text)
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
			f.add("fleet.keys", "key %d is not base64 of 16, 24 or 32 bytes", i+1) // never the key itself
			continue
		}
		l.Ring = append(l.Ring, raw)
	}
	if len(keys) == 0 {
		f.add("fleet.keys", "want at least one, here or in the variable that keys_env names")
	}
	seen := map[string]bool{}
	for _, v := range l.Voters {
		if v == "" || seen[v] {
			f.add("fleet.voters", "%q is empty or there twice", v)
		}
		seen[v] = true
	}
	if n := len(l.Voters); n < 1 || n > votersMost {
		f.add("fleet.voters", "%d, want 3 to %d, or 1 to try it", n, votersMost)
	}
	if time.Duration(l.Lease) < leaseLeast {
		f.add("fleet.lease", "%v, want %v or more", time.Duration(l.Lease), leaseLeast)
	}
}
