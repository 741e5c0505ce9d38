package proxy

import (
	"slices"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/subset"
)

// SetEndpoints replaces the list of servers.
func (h *Handler) SetEndpoints(list []message.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endpoints = list
	h.updateCores()
}

// SetNodes replaces the list of gateways. All gateways must receive it in the same order.
func (h *Handler) SetNodes(list []message.Node) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zoneNodes = nil
	for _, node := range list {
		if node.Zone == h.Zone {
			h.zoneNodes = append(h.zoneNodes, node.Addr)
		}
	}
	h.updateCores()
}

// updateCores passes the current servers to all cores. It must be called with mu held.
func (h *Handler) updateCores() {
	for service := range h.cores {
		h.updateCore(service)
	}
}

// updateCore passes the current servers of a service to its core. It must be called with mu held.
func (h *Handler) updateCore(service string) {
	if h.endpoints == nil {
		return
	}
	preferred := h.preferredEndpoints(service)
	var servers []core.Server
	for _, e := range h.endpoints {
		if e.Service != service {
			continue
		}
		state := choice.Live
		if e.Draining {
			state = choice.Draining
		}
		servers = append(servers, core.Server{Name: e.ID, Addr: e.Addr, Zone: e.Zone, State: state, Weight: 1,
			OutsideSubset: e.Zone == h.Zone && !slices.Contains(preferred, e.ID)})
	}
	h.cores[service].Servers(true, servers)
}

// preferredEndpoints returns the IDs of the servers of a service in this zone that this gateway tries first:
// its subset of those that are not draining.
func (h *Handler) preferredEndpoints(service string) []string {
	var ids []string
	for _, e := range h.endpoints {
		if e.Service == service && e.Zone == h.Zone && !e.Draining {
			ids = append(ids, e.ID)
		}
	}
	return subset.Slice(h.NodeAddr, h.zoneNodes, ids)
}
