package api

import (
	"net/http"

	"dunespoke/internal/dataplane/slowlog"
	"dunespoke/internal/http1"
)

// NodeStatus is how one process sees the cluster.
type NodeStatus struct {
	Node        string         `json:"node"`
	Zone        string         `json:"zone"`
	Ready       bool           `json:"ready"`
	Version     string         `json:"version"` // of the configuration in force here
	Endpoints   int            `json:"servers"` // in the list that it goes by
	Nodes       int            `json:"members"` // that hold leases, itself among them
	ConnectedTo string         `json:"asks"`    // the replica that it watches; empty: none answers
	Epoch       uint64         `json:"epoch"`   // of the view that it goes by
	Chain       []string       `json:"chain"`   // and its replicas, head first
	Replica     *ReplicaStatus `json:"core"`    // of a machine with a disk
}

// ReplicaStatus is that of a process's replica.
type ReplicaStatus struct {
	State         string   `json:"state"`
	Serves        bool     `json:"serves"`   // and hears a quorum that does
	CaughtUp      bool     `json:"whole"`    // it has all that was acknowledged, and a vote
	DiskUnhealthy bool     `json:"sick"`     // its disk takes nothing, or is slow
	Version       uint64   `json:"version"`  // of the configuration on its disk
	Members       []string `json:"machines"` // of the core
	Reachable     []string `json:"heard"`    // of those, the ones that it hears now
	Roles         []string `json:"duties"`   // that it holds

	MembershipEpoch   uint64 `json:"generation"` // of the view that installed the members
	ToleratedFailures int    `json:"spare"`      // members that may be lost now, as far as this process knows
	ToleranceGap      string `json:"lacks"`      // why not all that survive names may be lost now; empty: it may
}

// SlowRequests are this process's requests that ran late or were given up, the last ones first.
type SlowRequests struct {
	Node     string          `json:"node"`
	Total    uint64          `json:"total"` // since the process began
	Requests []slowlog.Entry `json:"calls"`
}

// status tells how this process sees the cluster.
func (h *Handler) status(_ *http1.Request, respond func(*http1.Answer)) {
	h.Cluster.Status(func(status NodeStatus) { respond(jsonResponse(status)) })
}

// slowRequests tells which requests ran late or were given up.
func (h *Handler) slowRequests(_ *http1.Request, respond func(*http1.Answer)) {
	h.Cluster.Status(func(status NodeStatus) {
		requests, total := h.SlowLog.Entries()
		respond(jsonResponse(SlowRequests{Node: status.Node, Total: total, Requests: requests}))
	})
}

// ready tells whether clients should come.
func (h *Handler) ready(_ *http1.Request, respond func(*http1.Answer)) {
	if h.Ready() {
		respond(http1.Plain(http.StatusOK, "ready"))
		return
	}
	respond(http1.Plain(http.StatusServiceUnavailable, "not ready"))
}
