package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/BurntSushi/toml"

	"dunespoke/choice"
)

// Operator is an operator's file: what the platform does not tell. Without one, all of this is off.
type Operator struct {
	Introspection Introspection `toml:"introspection"`
	Agent         Agent         `toml:"agent"`
}

// Agent sets up the agent check and HTTP health for balancers. An empty address leaves either off.
type Agent struct {
	Listen string `toml:"listen"` // for agent-check lines
	Health string `toml:"health"` // for GET /health and GET /ready
}

// Introspection sets up the front for OAuth 2 token introspection. An empty Listen leaves it off, and an
// empty Bearer.Plan leaves checks of the platform's requests off.
type Introspection struct {
	Listen   string   `toml:"listen"`
	Path     string   `toml:"path"`
	Patience Duration `toml:"patience"` // of clients that don't tell theirs
	Aim      Duration `toml:"aim"`      // answers over a part of this count as late
	CacheFor Duration `toml:"cache_for"`
	Counter  string   `toml:"counter"` // of quotas; empty: the platform's, if there is one
	Gateways int      `toml:"gateways"`
	Service  struct {
		Servers   []string `toml:"servers"`
		Path      string   `toml:"path"`
		ClientID  string   `toml:"client_id"`
		SecretEnv string   `toml:"secret_env"` // the environment variable that holds its secret
		KeepAlive Duration `toml:"keep_alive"`
		Secret    string   `toml:"-"`
	} `toml:"service"`
	Clients []Client `toml:"client"`
	Plans   []Plan   `toml:"plan"`
	Bearer  struct {
		Plan string `toml:"plan"`
	} `toml:"bearer"`
}

// Client may ask about tokens.
type Client struct {
	ID           string            `toml:"id"`
	SecretSHA256 string            `toml:"secret_sha256"` // of its secret, in hex
	Plan         string            `toml:"plan"`
	Secret       [sha256.Size]byte `toml:"-"`
}

// Plan is a quota for each client, or for each customer whose bearer tokens are checked.
type Plan struct {
	Name  string  `toml:"name"`
	Rate  float64 `toml:"rate"`  // questions a second
	Burst float64 `toml:"burst"` // questions at once
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

// On reports whether introspection is set up at all.
func (n *Introspection) On() bool { return n.Listen != "" || n.Bearer.Plan != "" }

// ReadOperator reads an operator's file.
func ReadOperator(path string, getenv func(string) string) (*Operator, error) {
	o := &Operator{}
	n := &o.Introspection
	n.Path, n.Gateways = "/introspect", 1
	n.Patience, n.Aim = Duration(3*time.Second), Duration(500*time.Millisecond)
	n.Service.Path, n.Service.KeepAlive = "/introspect", Duration(10*time.Second)
	meta, err := toml.DecodeFile(path, o)
	if err != nil {
		return nil, fmt.Errorf("operator's file %s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("operator's file %s: unknown key %s", path, unknown[0])
	}
	if err := n.check(getenv); err != nil {
		return nil, fmt.Errorf("operator's file %s: introspection: %w", path, err)
	}
	return o, nil
}

func (n *Introspection) check(getenv func(string) string) error {
	if !n.On() {
		return nil
	}
	plans := map[string]bool{}
	for _, p := range n.Plans {
		plans[p.Name] = true
	}
	switch {
	case len(n.Service.Servers) == 0:
		return errors.New("service.servers is empty: nobody to ask")
	case n.Bearer.Plan != "" && !plans[n.Bearer.Plan]:
		return fmt.Errorf("bearer.plan: no plan %q", n.Bearer.Plan)
	case n.Aim == 0 || n.Patience == 0:
		return errors.New("aim and patience must be above 0")
	}
	if n.Service.SecretEnv != "" {
		if n.Service.Secret = getenv(n.Service.SecretEnv); n.Service.Secret == "" {
			return fmt.Errorf("service.secret_env: %s is not set", n.Service.SecretEnv)
		}
	}
	for i := range n.Clients {
		c := &n.Clients[i]
		sum, err := hex.DecodeString(c.SecretSHA256)
		switch {
		case err != nil || len(sum) != sha256.Size:
			return fmt.Errorf("client %q: secret_sha256 is not a SHA-256 in hex", c.ID)
		case !plans[c.Plan]:
			return fmt.Errorf("client %q: no plan %q", c.ID, c.Plan)
		}
		copy(c.Secret[:], sum)
	}
	return nil
}

// Settings are those of the gate that decides on questions. The class is the front's own.
func (n *Introspection) Settings(class choice.Class, counter bool) choice.Settings {
	s := choice.Settings{Gateways: n.Gateways, Classes: []choice.Class{class}, MaxUnits: 1, Counter: counter,
		CounterTimeout: 50 * time.Millisecond, MaxAttempts: 3, DialTimeout: 250 * time.Millisecond,
		MaxRetryAfter: 10 * time.Second, Cancel: true, QueueField: -1}
	for _, p := range n.Plans {
		s.Plans = append(s.Plans, choice.Plan{Name: p.Name, Rate: p.Rate, Burst: p.Burst, Price: 1})
	}
	return s
}
