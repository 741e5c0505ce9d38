package simulation

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"dunespoke/internal/controlplane/client"
)

// Call is a call of the operator.
type Call struct {
	Read         bool   // it asks for the newest; otherwise it sends a configuration
	Version      uint64 // that was sent, or read
	Text         string
	Acknowledged bool // or read
	Conflict     bool // it was rejected: the version has another content
	Ended        bool
	StartedAt    time.Duration
	EndedAt      time.Duration // when it ended
}

func (c *Cluster) begin(m *Machine, call *Call) *Call {
	call.StartedAt = c.Now
	c.Calls = append(c.Calls, call)
	if !m.up {
		call.Ended, call.EndedAt = true, c.Now
	}
	return call
}

// PutVersion sends a configuration to a machine, which answers or not. Its text is the same for each number.
func (c *Cluster) PutVersion(m *Machine, version uint64) *Call {
	if c.ConfigOf != nil {
		return c.Put(m, version, string(c.ConfigOf(version)))
	}
	return c.Put(m, version, fmt.Sprintf("r%d", version))
}

// Put sends a configuration with a text of its own.
func (c *Cluster) Put(m *Machine, version uint64, text string) *Call {
	call := c.begin(m, &Call{Version: version, Text: text})
	if call.Ended {
		return call
	}
	m.act(m.starts, func() {
		if c.answersAlone && version <= m.version {
			call.Ended, call.EndedAt, call.Acknowledged = true, c.Now, true
			return
		}
		m.controlNode.Put(c.Now, version, []byte(text), func(_ uint64, err error) {
			var conflict *client.ConflictError
			call.Ended, call.EndedAt = true, c.Now
			call.Acknowledged, call.Conflict = err == nil, errors.As(err, &conflict)
			if call.Acknowledged {
				c.acknowledged = max(c.acknowledged, version)
			}
		})
	})
	return call
}

// PutUntilAcknowledged sends a configuration to one machine after another until it is acknowledged, as
// operators do, and returns how long that took; ok is false if it was not within the limit.
func (c *Cluster) PutUntilAcknowledged(first *Machine, version uint64,
	limit time.Duration) (took time.Duration, ok bool) {
	began := c.Now
	for at := slices.Index(c.Machines, first); c.Now < began+limit; at++ {
		m := c.Machines[at%len(c.Machines)]
		call := c.PutVersion(m, version)
		c.Until(func() bool { return call.Ended || !m.up }, time.Second)
		if call.Acknowledged {
			return c.Now - began, true
		}
		if !m.up { // the connection is refused: the next one at once, but not for nothing
			c.Run(10 * time.Millisecond)
		}
	}
	return limit, false
}

// Read asks a machine for the newest configuration. One that is older than what was acknowledged before the
// request violates the invariant.
func (c *Cluster) Read(m *Machine) *Call {
	call := c.begin(m, &Call{Read: true})
	if call.Ended {
		return call
	}
	before := c.acknowledged
	m.act(m.starts, func() {
		if c.answersAlone {
			call.Ended, call.EndedAt, call.Acknowledged, call.Version, call.Text = true, c.Now, true, m.version,
				m.config
			return
		}
		m.controlNode.Read(c.Now, func(version uint64, config []byte, err error) {
			call.Ended, call.Acknowledged, call.EndedAt = true, err == nil && config != nil, c.Now
			call.Version, call.Text = version, string(config)
			if !call.Acknowledged {
				return
			}
			if call.Version < before {
				c.violate("%s reads r%d after r%d was acknowledged", m.Name, call.Version, before)
			}
		})
	})
	return call
}

// Converged reports whether every machine that runs goes by a version.
func (c *Cluster) Converged(version uint64) bool {
	return !slices.ContainsFunc(c.Machines, func(m *Machine) bool { return m.up && m.version != version })
}

// Chain returns the machines of the view that serves, as those in service see it; nil: none is.
func (c *Cluster) Chain() []string {
	for _, m := range c.Replicas() {
		if m.up && !m.frozen && m.controlNode.Replica().ServingWithQuorum() {
			_, chain := m.controlNode.Replica().View()
			return chain
		}
	}
	return nil
}
