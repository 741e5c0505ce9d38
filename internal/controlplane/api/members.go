package api

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/http1"
)

// Members describes the members of the core, as reported by the head of the chain.
type Members struct {
	MembershipEpoch   uint64   `json:"generation"` // of the view that installed them
	Members           []Member `json:"members"`
	Learners          []Member `json:"candidates"` // replicas that are not members
	ToleratedFailures uint64   `json:"spare"`      // members that may fail now
	// ToleranceGap explains why the failures required by the setting survive can't all be tolerated now; empty
	// if they can.
	ToleranceGap string `json:"lacks"`
}

// Member is a member of the core, or a replica that can become one.
type Member struct {
	Addr    string `json:"address"` // internal address
	Zone    string `json:"zone"`
	StoreID string `json:"store"`  // in hexadecimal; a different store at the same address is a different member
	Serves  bool   `json:"serves"` // it is in the chain
}

// MemberChange is a change of the members that an operator requests.
type MemberChange struct {
	Add    string `json:"add"`    // address; empty for none
	Remove string `json:"remove"` // address; empty for none
}

// listMembers responds with the members of the core.
func (h *Handler) listMembers(_ *http1.Request, respond func(*http1.Answer)) {
	h.submitMemberChange(MemberChange{}, respond)
}

// changeMembers changes the members of the core and responds with the new ones.
func (h *Handler) changeMembers(r *http1.Request, respond func(*http1.Answer)) {
	var change MemberChange
	if err := json.Unmarshal(r.Content, &change); err != nil || change.Add == "" && change.Remove == "" {
		respond(http1.Plain(http.StatusBadRequest, `want {"add": ADDRESS, "remove": ADDRESS}, one or both`))
		return
	}
	h.submitMemberChange(change, respond)
}

// submitMemberChange sends a change to the core and responds with the resulting members. An empty change only
// lists them.
func (h *Handler) submitMemberChange(change MemberChange, respond func(*http1.Answer)) {
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
