package simulation

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"dunespoke/internal/controlplane/client"
)

// Call is an operator's request: a read of the newest configuration or a put.
type Call struct {
	Read         bool   // it reads the newest configuration; otherwise it puts one
	Version      uint64 // the version that was put or read
	Text         string
	Acknowledged bool // the put was acknowledged or the read succeeded
	Conflict     bool // the put was rejected because the version has another content
	Ended        bool
	StartedAt    time.Duration
	EndedAt      time.Duration // set when Ended is
}

// startCall records a call through a machine. A call through a machine that is down ends immediately.
func (c *Cluster) startCall(m *Machine, call *Call) *Call {
	call.StartedAt = c.Now
	c.Calls = append(c.Calls, call)
	if !m.up {
		call.Ended, call.EndedAt = true, c.Now
	}
	return call
}

// PutVersion puts a configuration through a machine, without waiting for the response. Its text depends only
// on the version.
func (c *Cluster) PutVersion(m *Machine, version uint64) *Call {
	if c.ConfigOf != nil {
		return c.Put(m, version, string(c.ConfigOf(version)))
	}
	return c.Put(m, version, fmt.Sprintf("r%d", version))
}

// Put puts a configuration with the given text through a machine, without waiting for the response.
func (c *Cluster) Put(m *Machine, version uint64, text string) *Call {
	call := c.startCall(m, &Call{Version: version, Text: text})
	if call.Ended {
		return call
	}
	m.execute(m.starts, func() {
		if c.answersLocally && version <= m.version {
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

// PutUntilAcknowledged puts a configuration through one machine after another until it is acknowledged, as
// operators do. It waits up to one second for each machine. It returns the total time, and false for ok if
// the limit passed first.
func (c *Cluster) PutUntilAcknowledged(first *Machine, version uint64,
	limit time.Duration) (took time.Duration, ok bool) {
	began := c.Now
	for i := slices.Index(c.Machines, first); c.Now < began+limit; i++ {
		m := c.Machines[i%len(c.Machines)]
		call := c.PutVersion(m, version)
		c.Until(func() bool { return call.Ended || !m.up }, time.Second)
		if call.Acknowledged {
			return c.Now - began, true
		}
		if !m.up { // the connection is refused, which takes some time too
			c.Run(10 * time.Millisecond)
		}
	}
	return limit, false
}

// Read requests the newest configuration from a machine, without waiting for the response. A response older
// than a version that was acknowledged before the request is an invariant violation.
func (c *Cluster) Read(m *Machine) *Call {
	call := c.startCall(m, &Call{Read: true})
	if call.Ended {
		return call
	}
	before := c.acknowledged
	m.execute(m.starts, func() {
		if c.answersLocally {
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
				c.reportViolation("%s reads r%d after r%d was acknowledged", m.Name, call.Version, before)
			}
		})
	})
	return call
}

// Converged reports whether every running machine has applied exactly this version.
func (c *Cluster) Converged(version uint64) bool {
	return !slices.ContainsFunc(c.Machines, func(m *Machine) bool { return m.up && m.version != version })
}

// Chain returns the addresses of the replicas of the view in service, from head to tail, as the first replica
// that serves with a quorum and is not frozen reports them. It returns nil if there is none.
func (c *Cluster) Chain() []string {
	for _, m := range c.Replicas() {
		if m.up && !m.frozen && m.controlNode.Replica().ServingWithQuorum() {
			_, chain := m.controlNode.Replica().View()
			return chain
		}
	}
	return nil
}
