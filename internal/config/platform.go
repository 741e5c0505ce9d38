// Package config reads the configuration of an ingress: the platform's JSON, the settings object that the
// platform shares with the simulator, and the operator's file.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"time"

	"dunespoke/choice"
)

// Limits are the resource limits that the platform sets for an ingress.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Platform is the platform's configuration of one ingress.
type Platform struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      Seed            `json:"seed"`
	Limits    Limits          `json:"limits"`
	Counter   string          `json:"counter"`
	Mgmt      string          `json:"mgmt"`  // address of the management endpoint; empty: none
	Known     json.RawMessage `json:"known"` // initially known servers, in the format of the discovery service
	Raw       json.RawMessage `json:"settings"`

	Settings  choice.Settings `json:"-"`
	Reports   []string        `json:"-"` // fields of load reports in responses; empty: responses have none
	KeepAlive time.Duration   `json:"-"` // how long app servers keep idle connections open
}

// Seed is a random seed, written as up to 16 hex digits.
type Seed uint64

// UnmarshalText parses a seed.
func (s *Seed) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*s = Seed(n)
	return err
}

// ReadPlatform reads the file that the variable LB_CONFIG names. LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_MGMT
// provide the values that the file omits.
func ReadPlatform(getenv func(string) string) (*Platform, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG is not set: it must name the ingress's configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	p, err := decodePlatform(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return p, nil
}

// Kept returns the keys that differ in a newer configuration but only take effect after a restart.
func (p *Platform) Kept(newer *Platform) []string {
	var kept []string
	if newer.Name != p.Name {
		kept = append(kept, "name")
	}
	if newer.Listen != p.Listen {
		kept = append(kept, "listen")
	}
	if newer.Limits != p.Limits {
		kept = append(kept, "limits")
	}
	if !reflect.DeepEqual(newer.Settings, p.Settings) || newer.KeepAlive != p.KeepAlive {
		kept = append(kept, "settings")
	}
	return kept
}

// decodePlatform decodes and validates the platform's configuration, and sets defaults.
func decodePlatform(text []byte, getenv func(string) string) (*Platform, error) {
	p := &Platform{}
	if err := json.Unmarshal(text, p); err != nil {
		return nil, err
	}
	for key, field := range map[string]*string{
		"LB_NAME": &p.Name, "LB_LISTEN": &p.Listen, "LB_DISCOVERY": &p.Discovery, "LB_MGMT": &p.Mgmt} {
		if *field == "" {
			*field = getenv(key)
		}
	}
	switch {
	case p.Listen == "":
		return nil, errors.New("listen is missing: the address to accept clients on")
	case p.Discovery == "":
		return nil, errors.New("discovery is missing: the address of the server list")
	case len(p.Raw) == 0:
		return nil, errors.New("settings are missing")
	case p.Limits.Sockets != 0 && p.Limits.Sockets < 64:
		return nil, fmt.Errorf("limits.sockets: %d, want 64 or more", p.Limits.Sockets)
	case p.Limits.MemoryMB < 0 || p.Limits.Cores < 0:
		return nil, errors.New("limits: memory_mb and cores must not be negative")
	}
	for key, addr := range map[string]string{"discovery": p.Discovery, "counter": p.Counter, "mgmt": p.Mgmt} {
		if _, _, err := net.SplitHostPort(addr); err != nil && addr != "" {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
	}
	var err error
	if p.Settings, err = DecodeSettings(p.Raw); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := p.Settings.Validate(); err != nil {
		return nil, err
	}
	var wire wireSettings
	if err := json.Unmarshal(p.Raw, &wire); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if wire.Report.Via == "inline" {
		p.Reports = wire.Report.Fields
	}
	p.KeepAlive = milliseconds(wire.Limits.KeepAlive)
	if p.KeepAlive <= 0 {
		p.KeepAlive = 10 * time.Second
	}
	if p.Settings.DialTimeout <= 0 {
		p.Settings.DialTimeout = 250 * time.Millisecond
	}
	if p.Settings.Counter && p.Counter == "" {
		return nil, errors.New("counter is missing: the settings require a quota counter")
	}
	return p, nil
}
