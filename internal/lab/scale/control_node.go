package scale

import (
	"context"
	"sync/atomic"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/node"
	"dunespoke/internal/controlplane/replica"
	"dunespoke/internal/controlplane/transport"
	"dunespoke/internal/events"
)

// controlNode is the control plane of an ingress, without a data plane and a disk: it watches the core over
// real connections and notes what it was told.
type controlNode struct {
	node      *node.Node
	transport *transport.Transport
	work      chan func()
	stop      context.CancelFunc
	startedAt time.Time

	version         atomic.Uint64          // of the configuration in force
	servers, nodes  atomic.Int64           // how many it knows
	firstEndpointID atomic.Pointer[string] // nil: no list yet
}

var _ node.Actions = (*controlNode)(nil)

func (n *controlNode) now() time.Duration { return time.Since(n.startedAt) + time.Hour }

// run drives the node until the context ends. It alone calls the node.
func (n *controlNode) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = n.transport.Close()
			return
		case do := <-n.work:
			do()
		case <-timer.C:
		}
		now := n.now()
		timer.Reset(max(n.node.Tick(now)-now, time.Millisecond))
	}
}

// receive hands a message to the goroutine of run.
func (n *controlNode) receive(ctx context.Context, from string, m *message.Message) {
	select {
	case n.work <- func() { n.node.Step(n.now(), from, m) }:
	case <-ctx.Done():
	}
}

// Send sends a message.
func (n *controlNode) Send(to string, m *message.Message) { n.transport.Send(to, m) }

// Log drops what is logged.
func (n *controlNode) Log(events.Event, ...any) {}

// ApplyConfig notes the version in force.
func (n *controlNode) ApplyConfig(version uint64, _ []byte) { n.version.Store(version) }

// SetEndpoints notes the list of servers.
func (n *controlNode) SetEndpoints(list []message.Endpoint) {
	n.servers.Store(int64(len(list)))
	if len(list) > 0 {
		n.firstEndpointID.Store(&list[0].ID)
	}
}

// SetNodes notes how many nodes there are.
func (n *controlNode) SetNodes(list []message.Node) { n.nodes.Store(int64(len(list))) }

// SetView notes nothing.
func (n *controlNode) SetView(uint64, []string) {}

// Save saves nothing: there is no disk.
func (n *controlNode) Save(uint64, replica.PersistentState) {}
