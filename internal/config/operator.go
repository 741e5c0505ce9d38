package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Operator is an operator's file: what the platform does not tell. Without one, all of this is off.
type Operator struct {
	Introspection Introspection `toml:"introspection"`
	Agent         Agent         `toml:"agent"`
	Gateway       Gateway       `toml:"gateway"`
	Fleet         Fleet         `toml:"fleet"`
}

// Agent sets up the agent check and HTTP health for balancers. An empty address leaves either off.
type Agent struct {
	Listen string `toml:"listen"` // for agent-check lines
	Health string `toml:"health"` // for GET /health and GET /ready
}

// Duration is a time.Duration written as in "1.5s".
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err == nil && v < 0 {
		err = fmt.Errorf("%s: a time must not be negative", text)
	}
	*d = Duration(v)
	return err
}

// Faults are all that is wrong with a file, each with its key.
type Faults struct {
	File string
	All  []error
}

// Error tells all faults in one line.
func (f *Faults) Error() string {
	texts := make([]string, len(f.All))
	for i, err := range f.All {
		texts[i] = strings.ReplaceAll(err.Error(), "\n", " ")
	}
	return fmt.Sprintf("operator's file %s: %s", f.File, strings.Join(texts, "; "))
}

// Unwrap returns the faults one by one.
func (f *Faults) Unwrap() []error { return f.All }

// faults gathers what is wrong, by key.
type faults struct{ all []error }

func (f *faults) add(key, format string, args ...any) {
	f.all = append(f.all, fmt.Errorf("%s: %w", key, fmt.Errorf(format, args...)))
}

// ReadOperator reads an operator's file. The error is a *Faults that names each fault with its key.
func ReadOperator(path string, getenv func(string) string) (*Operator, error) {
	o := &Operator{}
	n := &o.Introspection
	n.Path, n.Gateways, n.Share = "/introspect", 1, true
	n.Patience, n.Aim = Duration(3*time.Second), Duration(500*time.Millisecond)
	o.Gateway.defaults()
	o.Fleet.defaults()
	meta, err := toml.DecodeFile(path, o)
	if err != nil {
		return nil, &Faults{path, []error{err}}
	}
	f := &faults{}
	for _, key := range meta.Undecoded() {
		f.add(key.String(), "unknown key")
	}
	n.one(meta.IsDefined("introspection", "service"))
	n.check(f, getenv)
	o.Gateway.check(f, n.Bearer.Plan != "")
	o.Fleet.check(f, getenv)
	if len(f.all) > 0 {
		return nil, &Faults{path, f.all}
	}
	return o, nil
}

// decodeHash reads a SHA-256 in hex.
func decodeHash(text string, into []byte) error {
	sum, err := hex.DecodeString(text)
	if err == nil && len(sum) != len(into) {
		err = errors.New("not of 32 bytes")
	}
	if err != nil {
		return fmt.Errorf("want a SHA-256 in hex: %w", err)
	}
	copy(into, sum)
	return nil
}

// loopback reports whether an address is one that only this machine reaches.
func loopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// hostPort reports whether an address names a host and a port.
func hostPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	return err == nil && host != "" && port != ""
}

func allLoopback(addrs []string) bool {
	return !slices.ContainsFunc(addrs, func(a string) bool { return !loopback(a) })
}
