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

// Operator is the operator's file: settings that are not part of the platform's configuration. Without a
// file, everything in it is disabled.
type Operator struct {
	Introspection Introspection `toml:"introspection"`
	Agent         Agent         `toml:"agent"`
	Gateway       Gateway       `toml:"gateway"`
	Fleet         Fleet         `toml:"fleet"`
}

// Agent configures the agent check and the HTTP health checks for load balancers. An empty address disables
// the one that it belongs to.
type Agent struct {
	Listen string `toml:"listen"` // for agent-check lines
	Health string `toml:"health"` // for GET /health and GET /ready
}

// Duration is a time.Duration that is written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration. Negative durations are an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err == nil && v < 0 {
		err = fmt.Errorf("%s: a duration must not be negative", text)
	}
	*d = Duration(v)
	return err
}

// Faults is the error for an invalid file. It lists every fault with its key.
type Faults struct {
	File string
	All  []error
}

// Error returns all faults on one line.
func (f *Faults) Error() string {
	texts := make([]string, len(f.All))
	for i, err := range f.All {
		texts[i] = strings.ReplaceAll(err.Error(), "\n", " ")
	}
	return fmt.Sprintf("operator's file %s: %s", f.File, strings.Join(texts, "; "))
}

// Unwrap returns the individual faults.
func (f *Faults) Unwrap() []error { return f.All }

// faults collects validation errors.
type faults struct{ all []error }

// add records an error for a key.
func (f *faults) add(key, format string, args ...any) {
	f.all = append(f.all, fmt.Errorf("%s: %w", key, fmt.Errorf(format, args...)))
}

// ReadOperator reads and validates an operator's file. The error is a *Faults that lists each fault with its
// key.
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
	n.resolveIssuers(meta.IsDefined("introspection", "service"))
	n.check(f, getenv)
	o.Gateway.check(f, n.Bearer.Plan != "")
	o.Fleet.check(f, getenv)
	if len(f.all) > 0 {
		return nil, &Faults{path, f.all}
	}
	return o, nil
}

// decodeHash decodes a SHA-256 in hex into a slice of the hash's length.
func decodeHash(text string, into []byte) error {
	sum, err := hex.DecodeString(text)
	if err == nil && len(sum) != len(into) {
		err = errors.New("the length is not 32 bytes")
	}
	if err != nil {
		return fmt.Errorf("want a SHA-256 in hex: %w", err)
	}
	copy(into, sum)
	return nil
}

// loopback reports whether the host of an address is a loopback address.
func loopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// hostPort reports whether an address has both a host and a port.
func hostPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	return err == nil && host != "" && port != ""
}

// allLoopback reports whether all addresses are loopback addresses.
func allLoopback(addrs []string) bool {
	return !slices.ContainsFunc(addrs, func(a string) bool { return !loopback(a) })
}
