package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/api"
)

type coreShow struct{ asked }

// Execute tells the members of the core, and the machines that could become some.
func (c *coreShow) Execute([]string) error {
	var m api.Members
	if done, err := c.ask("core.show", &m); done {
		return err
	}
	return printMembers(m)
}

// printSpare prints what may be lost of the members.
func printSpare(generation, spare uint64, lacks string) {
	fmt.Printf("members of generation %d; of them %d may be lost now\n", generation, spare)
	if lacks != "" {
		fmt.Printf("not all that survive names may be lost now: %s\n", lacks)
	}
}

func printMembers(m api.Members) error {
	printSpare(m.MembershipEpoch, m.ToleratedFailures, m.ToleranceGap)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	row(w, "address", "zone", "store", "part")
	for _, x := range m.Members {
		part := "member, not in the chain"
		if x.Serves {
			part = "member, serves"
		}
		row(w, x.Addr, x.Zone, x.StoreID, part)
	}
	for _, x := range m.Learners {
		row(w, x.Addr, x.Zone, x.StoreID, "no member, has a disk")
	}
	return trace.Wrap(w.Flush())
}

// change orders a change of members, and prints them as they are then.
func (a at) change(c api.MemberChange) error {
	body, err := json.Marshal(c)
	if err != nil {
		return trace.Wrap(err)
	}
	text, err := a.call("core.change", body)
	if err != nil {
		return err
	}
	var m api.Members
	if err := json.Unmarshal(text, &m); err != nil {
		return trace.BadParameter("%s does not answer as this program does: %v", a.At, err)
	}
	return printMembers(m)
}

type coreAdd struct {
	at
	Args struct {
		New string `positional-arg-name:"ADDRESS" description:"of a machine with a disk, as core show tells it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute makes a machine a member.
func (c *coreAdd) Execute([]string) error { return c.change(api.MemberChange{Add: c.Args.New}) }

type coreRemove struct {
	at
	Args struct {
		Old string `positional-arg-name:"ADDRESS" description:"of a member"`
	} `positional-args:"yes" required:"yes"`
}

// Execute removes a member for good.
func (c *coreRemove) Execute([]string) error { return c.change(api.MemberChange{Remove: c.Args.Old}) }

type coreReplace struct {
	at
	Args struct {
		Old string `positional-arg-name:"OLD" description:"address of a member"`
		New string `positional-arg-name:"NEW" description:"address of a machine with a disk"`
	} `positional-args:"yes" required:"yes"`
}

// Execute puts a machine in the place of a member.
func (c *coreReplace) Execute([]string) error {
	return c.change(api.MemberChange{Add: c.Args.New, Remove: c.Args.Old})
}
