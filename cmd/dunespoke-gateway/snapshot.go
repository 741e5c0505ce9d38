package main

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/storage"
	"dunespoke/internal/routing"
)

// dataDir is the argument that names the data directory of a stopped machine.
type dataDir struct {
	Args struct {
		Dir string `positional-arg-name:"DIR" description:"data_dir of a stopped machine"`
	} `positional-args:"yes" required:"yes"`
}

type snapshotCheck struct{ dataDir }

// Execute reads the store of a stopped machine, validates the configuration in it and prints a summary.
func (c *snapshotCheck) Execute([]string) error {
	s, err := storage.ReadSnapshot(c.Args.Dir)
	if err != nil {
		return err
	}
	config := "no configuration yet"
	if s.Version > 0 {
		table, err := routing.Parse([]byte(s.Config))
		if err != nil {
			return trace.Wrap(err, "the configuration in the store")
		}
		if table.Version != s.Version {
			return trace.CompareFailed("the store is at version r%d, but its configuration is version r%d",
				s.Version, table.Version)
		}
		config = table.String()
	}
	members, chain := strings.Join(s.Members, ", "), strings.Join(s.Chain, " -> ")
	fmt.Printf("caught up %v, epoch %d, members %s\n", s.CaughtUp, s.Epoch, cmp.Or(members, "none"))
	fmt.Printf("last view %s\n%s\ngood\n", cmp.Or(chain, "none"), config)
	return nil
}

type snapshotSave struct{ dataDir }

// Execute writes the store of a stopped machine to standard output. The output contains tenants' keys.
func (c *snapshotSave) Execute([]string) error {
	s, err := storage.ReadSnapshot(c.Args.Dir)
	if err != nil {
		return err
	}
	text, err := s.Encode()
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return trace.Wrap(err)
}

type snapshotRestore struct {
	From       string   `long:"from" required:"yes" description:"file written by snapshot save"`
	Members    []string `long:"member" description:"member of the restored core, ZONE=ADDRESS; repeatable"`
	OldMembers []string `long:"core" hidden:"true" description:"deprecated name of --member"`
	Args       struct {
		Dir string `positional-arg-name:"DIR" description:"data_dir of this machine; must not contain a store"`
	} `positional-args:"yes" required:"yes"`
}

// Execute creates the store of one member of a restored core.
func (c *snapshotRestore) Execute([]string) error {
	text, err := os.ReadFile(c.From)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s, err := storage.DecodeSnapshot(text)
	if err != nil {
		return trace.Wrap(err, "%s", c.From)
	}
	members, err := parseMembers(slices.Concat(c.Members, c.OldMembers))
	if err != nil {
		return err
	}
	if err := storage.Restore(c.Args.Dir, s, members); err != nil {
		return err
	}
	fmt.Printf("r%d in a core of %d members; do the same on all of them before any is started\n", s.Version,
		len(members))
	return nil
}

// parseMembers parses members of the form ZONE=ADDRESS.
func parseMembers(texts []string) (members []message.Node, err error) {
	if len(texts) == 0 {
		return nil, trace.BadParameter("the required flag `--member' was not specified")
	}
	for _, text := range texts {
		zone, addr, ok := strings.Cut(text, "=")
		if !ok || zone == "" || addr == "" {
			return nil, trace.BadParameter("--member %s: want ZONE=ADDRESS", text)
		}
		members = append(members, message.Node{Addr: addr, Zone: zone})
	}
	return members, nil
}
