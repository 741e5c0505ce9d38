package main

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/api"
)

type memberList struct{ query }

// Execute lists the members of the core, and the machines that can become members.
func (c *memberList) Execute([]string) error {
	var members api.Members
	if printed, err := c.get("core.show", &members); printed || err != nil {
		return err
	}
	return printMembers(members)
}

// printTolerance prints how many members may fail now, and why that is less than required, if it is.
func printTolerance(membershipEpoch, tolerated uint64, gap string) {
	fmt.Printf("members of epoch %d; of them %d may be lost now\n", membershipEpoch, tolerated)
	if gap != "" {
		fmt.Printf("not all that survive names may be lost now: %s\n", gap)
	}
}

func printMembers(members api.Members) error {
	printTolerance(members.MembershipEpoch, members.ToleratedFailures, members.ToleranceGap)
	t := newTable("address", "zone", "store", "part")
	for _, m := range members.Members {
		part := "member, not in the chain"
		if m.Serves {
			part = "member, serves"
		}
		t.row(m.Addr, m.Zone, m.StoreID, part)
	}
	for _, m := range members.Learners {
		t.row(m.Addr, m.Zone, m.StoreID, "learner, no member")
	}
	return t.flush()
}

// changeMembers requests a change of members and prints the resulting members.
func (e endpoint) changeMembers(change api.MemberChange) error {
	body, err := json.Marshal(change)
	if err != nil {
		return trace.Wrap(err)
	}
	text, err := e.call("core.change", body)
	if err != nil {
		return err
	}
	var members api.Members
	if err := e.decode(text, &members); err != nil {
		return err
	}
	return printMembers(members)
}

type memberAdd struct {
	endpoint
	Args struct {
		New string `positional-arg-name:"ADDRESS" description:"address of a machine with a disk, as in member list"`
	} `positional-args:"yes" required:"yes"`
}

// Execute makes a machine a member.
func (c *memberAdd) Execute([]string) error {
	return c.changeMembers(api.MemberChange{Add: c.Args.New})
}

type memberRemove struct {
	endpoint
	Args struct {
		Old string `positional-arg-name:"ADDRESS" description:"address of a member"`
	} `positional-args:"yes" required:"yes"`
}

// Execute removes a member permanently.
func (c *memberRemove) Execute([]string) error {
	return c.changeMembers(api.MemberChange{Remove: c.Args.Old})
}

type memberReplace struct {
	endpoint
	Args struct {
		Old string `positional-arg-name:"OLD" description:"address of a member"`
		New string `positional-arg-name:"NEW" description:"address of a machine with a disk"`
	} `positional-args:"yes" required:"yes"`
}

// Execute replaces a member by another machine.
func (c *memberReplace) Execute([]string) error {
	return c.changeMembers(api.MemberChange{Add: c.Args.New, Remove: c.Args.Old})
}
