package server

import (
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/api"
	"dunespoke/internal/controlplane/client"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/node"
	"dunespoke/internal/controlplane/replica"
	"dunespoke/internal/events"
	"dunespoke/internal/routing"
)

var (
	_ api.Cluster  = (*Server)(nil)
	_ node.Actions = (*actions)(nil)
)

// Put stores a configuration in the core.
func (s *Server) Put(version uint64, config []byte, done client.PutDone) {
	config = slices.Clone(config)
	s.loop.post(func() { s.node.Put(s.now(), version, config, done) })
}

// Read fetches the newest configuration from the core.
func (s *Server) Read(done client.ReadDone) {
	s.loop.post(func() { s.node.Read(s.now(), done) })
}

// ChangeMembers adds or removes a member of the core, or, if both are empty, reports the members.
func (s *Server) ChangeMembers(add, remove string, done client.ChangeMembersDone) {
	s.loop.post(func() { s.node.ChangeMembers(s.now(), add, remove, done) })
}

// NearestReplica returns the host of the replica that this process is connected to. It is empty if there is
// none, or if this process runs a replica itself.
func (s *Server) NearestReplica() string {
	if host := s.connectedHost.Load(); host != nil && s.storage == nil {
		return *host
	}
	return ""
}

// Status reports the state of this process and its view of the cluster.
func (s *Server) Status(done func(api.NodeStatus)) {
	s.loop.post(func() {
		status := api.NodeStatus{Node: s.settings.NodeName, Zone: s.settings.Zone, Ready: s.isReady(),
			Version: fmt.Sprintf("r%d", s.configVersion.Load()), Endpoints: s.endpointCount, Nodes: s.nodeCount,
			Epoch: s.epoch, Chain: s.chain}
		if host := s.node.ConnectedHost(); host != nil {
			status.ConnectedTo = *host
		}
		if r := s.node.Replica(); r != nil {
			status.Replica = s.replicaStatus(r)
		}
		done(status)
	})
}

func (s *Server) replicaStatus(r *replica.Replica) *api.ReplicaStatus {
	state := r.PersistentState()
	status := &api.ReplicaStatus{State: r.State().String(), Serves: r.ServingWithQuorum(),
		CaughtUp:      state.CaughtUp,
		DiskUnhealthy: r.DiskUnhealthy(), Version: state.Version, Reachable: r.ReachableMembers(),
		MembershipEpoch: state.MembershipEpoch, ToleratedFailures: r.ToleratedFailures(),
		ToleranceGap: r.ToleranceGap()}
	for _, member := range state.Members {
		status.Members = append(status.Members, member.Addr)
	}
	for _, role := range []replica.Role{replica.EndpointReader, replica.QuotaAllocator} {
		if _, ok := r.HoldsRole(s.now(), role); ok {
			status.Roles = append(status.Roles, role.String())
		}
	}
	return status
}

// actions implements node.Actions for a Server. Its methods are called on the event loop.
type actions Server

func (a *actions) server() *Server { return (*Server)(a) }

func (a *actions) Send(to string, m *message.Message) { a.transport.Send(to, m) }

func (a *actions) Log(e events.Event, pairs ...any) { a.server().Log(e, pairs...) }

func (a *actions) Save(token uint64, state replica.PersistentState) {
	s := a.server()
	s.storage.Save(state, func(ok bool) {
		s.loop.post(func() { s.node.HandleSaved(s.now(), token, ok) })
	})
}

func (a *actions) ApplyConfig(version uint64, config []byte) {
	s := a.server()
	table, err := routing.Parse(config)
	if err != nil {
		s.Log(events.ConfigUnreadable, "version", version, "error", trace.UserMessage(err))
		return
	}
	s.handler.SetConfig(table)
	s.configVersion.Store(version)
	s.Log(events.ConfigApplied, "config", table.String())
}

func (a *actions) SetEndpoints(list []message.Endpoint) {
	a.endpointCount = len(list)
	a.handler.SetEndpoints(list)
	a.server().Log(events.EndpointsChanged, "servers", len(list))
}

func (a *actions) SetNodes(list []message.Node) {
	a.nodeCount = len(list)
	a.handler.SetNodes(list)
	a.limiter.SetAllocator(a.epoch, a.nodeCount)
}

func (a *actions) SetView(epoch uint64, chain []string) {
	allocatorAddr := replica.RoleHolder(chain, replica.QuotaAllocator)
	a.epoch, a.chain = epoch, chain
	a.allocator.Store(&allocatorAddr)
	a.limiter.SetAllocator(epoch, a.nodeCount)
}
