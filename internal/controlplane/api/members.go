package api

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/http1"
)

// Members are those of the core, as the head of the chain tells them.
type Members struct {
	MembershipEpoch   uint64   `json:"generation"` // of the view that installed them
	Members           []Member `json:"members"`
	Learners          []Member `json:"candidates"` // replicas that are no members
	ToleratedFailures uint64   `json:"spare"`      // members that may be lost now
	// why not all that survive names may be lost now; empty: it may
	ToleranceGap string `json:"lacks"`
}

// Member is one of the core, or could be.
type Member struct {
	Addr    string `json:"address"` // for the system's own processes
	Zone    string `json:"zone"`
	StoreID string `json:"store"`  // in hexadecimal; another store at the address is another member
	Serves  bool   `json:"serves"` // it is in the chain
}

// MemberChange is a change of the members that an operator orders.
type MemberChange struct {
	Add    string `json:"add"`    // address; empty: none
	Remove string `json:"remove"` // address; empty: none
}

// listMembers tells the members of the core.
func (h *Handler) listMembers(_ *http1.Request, respond func(*http1.Answer)) {
	h.orderMembers(MemberChange{}, respond)
}

// changeMembers changes the members of the core.
func (h *Handler) changeMembers(r *http1.Request, respond func(*http1.Answer)) {
	var change MemberChange
	if err := json.Unmarshal(r.Content, &change); err != nil || change.Add == "" && change.Remove == "" {
		respond(http1.Plain(http.StatusBadRequest, `want {"add": ADDRESS, "remove": ADDRESS}, one or both`))
		return
	}
	h.orderMembers(change, respond)
}

// orderMembers has the core change its members, or tell them where nothing is to be changed.
func (h *Handler) orderMembers(change MemberChange, respond func(*http1.Answer)) {
	h.Cluster.ChangeMembers(change.Add, change.Remove, func(result *message.ChangeMembersResult, err error) {
		switch {
		case err != nil:
			respond(unavailable("no clear answer: look at core.show, and send it again", busyRetryAfter))
		case !result.OK:
			respond(http1.Plain(http.StatusConflict, result.Reason))
		default:
			respond(jsonResponse(newMembers(result)))
		}
	})
}

func newMembers(result *message.ChangeMembersResult) Members {
	members := Members{MembershipEpoch: result.MembershipEpoch, ToleratedFailures: result.ToleratedFailures,
		ToleranceGap: result.ToleranceGap}
	for _, node := range result.Members {
		members.Members = append(members.Members, newMember(node, result.Chain))
	}
	for _, node := range result.Learners {
		members.Learners = append(members.Learners, newMember(node, result.Chain))
	}
	return members
}

func newMember(node message.Node, chain []string) Member {
	const hexadecimal = 16
	return Member{Addr: node.Addr, Zone: node.Zone, StoreID: strconv.FormatUint(node.StoreID, hexadecimal),
		Serves: slices.Contains(chain, node.Addr)}
}
