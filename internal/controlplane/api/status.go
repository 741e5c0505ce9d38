package api

import (
	"net/http"

	"dunespoke/internal/dataplane/slowlog"
	"dunespoke/internal/http1"
)

// NodeStatus is the state of one process and its view of the cluster.
type NodeStatus struct {
	Node        string         `json:"node"`
	Zone        string         `json:"zone"`
	Ready       bool           `json:"ready"`
	Version     string         `json:"version"` // of the configuration in force here
	Endpoints   int            `json:"servers"` // in the list in use
	Nodes       int            `json:"members"` // processes with a lease, including this one
	ConnectedTo string         `json:"asks"`    // host of the watched replica; empty if none responds
	Epoch       uint64         `json:"epoch"`   // of the known view
	Chain       []string       `json:"chain"`   // replicas of that view, head first
	Replica     *ReplicaStatus `json:"core"`    // nil without a disk
}

// ReplicaStatus is the state of a process's replica.
type ReplicaStatus struct {
	State         string   `json:"state"`
	Serves        bool     `json:"serves"`   // it serves and receives messages from a quorum that serves
	CaughtUp      bool     `json:"whole"`    // it has all acknowledged data, and may vote
	DiskUnhealthy bool     `json:"sick"`     // its disk refuses writes or is slow
	Version       uint64   `json:"version"`  // of the configuration on its disk
	Members       []string `json:"machines"` // of the core
	Reachable     []string `json:"heard"`    // the members from which it receives messages now
	Roles         []string `json:"duties"`   // the roles that it holds

	MembershipEpoch   uint64 `json:"generation"` // of the view that installed the members
	ToleratedFailures int    `json:"spare"`      // members that may fail now, to this process's knowledge
	// ToleranceGap explains why the failures required by the setting survive can't all be tolerated now; empty
	// if they can.
	ToleranceGap string `json:"lacks"`
}

// SlowRequests are this process's most recent requests that were late, rejected or failed, newest first.
type SlowRequests struct {
	Node     string          `json:"node"`
	Total    uint64          `json:"total"` // since the process started
	Requests []slowlog.Entry `json:"calls"`
}

// status responds with this process's view of the cluster.
func (h *Handler) status(_ *http1.Request, respond func(*http1.Answer)) {
	h.Cluster.Status(func(status NodeStatus) { respond(jsonResponse(status)) })
}

// slowRequests responds with the requests that were late, rejected or failed.
func (h *Handler) slowRequests(_ *http1.Request, respond func(*http1.Answer)) {
	h.Cluster.Status(func(status NodeStatus) {
		requests, total := h.SlowLog.Entries()
		respond(jsonResponse(SlowRequests{Node: status.Node, Total: total, Requests: requests}))
	})
}

// ready responds whether clients should send requests to this process.
func (h *Handler) ready(_ *http1.Request, respond func(*http1.Answer)) {
	if h.Ready() {
		respond(http1.Plain(http.StatusOK, "ready"))
		return
	}
	respond(http1.Plain(http.StatusServiceUnavailable, "not ready"))
}
