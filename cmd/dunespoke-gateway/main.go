// Command dunespoke-gateway is the whole gateway: one program for all machines. It takes clients' requests,
// operators' calls and other processes' messages; on machines with a disk it holds the control state. Its
// other commands are an operator's.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
)

const programName = "dunespoke-gateway"

// command is one of the command line. Old names are hidden: they stay for one version.
type command struct {
	name, old string
	short     string
	data      any
	commands  []command
}

func commands() []command {
	return []command{
		{name: "serve", short: "Serve clients, operators and other machines", data: &serve{}},
		{name: "check", short: "Check settings and configurations, and name what is wrong", data: &check{}},
		{name: "status", old: "view", short: "Show how a machine sees the cluster", data: &status{}},
		{name: "slow-requests", old: "late",
			short: "Show which requests of a machine ran late or were given up", data: &slowRequests{}},
		{name: "config", short: "Get, compare and put configurations", data: &struct{}{}, commands: []command{
			{name: "get", old: "read", short: "Print the newest configuration, as it was sent", data: &configGet{}},
			{name: "diff", short: "Show what a configuration would change of the newest", data: &configDiff{}},
			{name: "put", short: "Check a configuration and send it", data: &configPut{}},
		}},
		{name: "member", old: "core", short: "List and change the members of the core", data: &struct{}{},
			commands: []command{
				{name: "list", old: "show", short: "List the members, and the machines that could become some",
					data: &memberList{}},
				{name: "add", short: "Make a machine a member", data: &memberAdd{}},
				{name: "remove", short: "Remove a member for good", data: &memberRemove{}},
				{name: "replace", short: "Put a machine in the place of a member", data: &memberReplace{}},
			}},
		{name: "snapshot", old: "store", short: "Check, save and restore the store of a stopped machine",
			data: &struct{}{}, commands: []command{
				{name: "check", short: "Check the store of a stopped machine", data: &snapshotCheck{}},
				{name: "save", old: "export",
					short: "Print the store of a stopped machine as a document, with tenants' keys",
					data:  &snapshotSave{}},
				{name: "restore", old: "found", short: "Make a machine's store of a core that is restored",
					data: &snapshotRestore{}},
			}},
		{name: "version", short: "Show which build this is", data: &version{}},
	}
}

// commandAdder is a parser, or a command that has others.
type commandAdder interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

// addTo adds a command, under its old name, too.
func (c command) addTo(parent commandAdder) error {
	for _, name := range []string{c.name, c.old} {
		if name == "" {
			continue
		}
		added, err := parent.AddCommand(name, c.short, c.short+".", c.data)
		if err != nil {
			return trace.Wrap(err, "command %s", name)
		}
		added.Hidden = name == c.old
		for _, sub := range c.commands {
			if err := sub.addTo(added); err != nil {
				return err
			}
		}
	}
	return nil
}

// newParser returns a parser that knows all commands.
func newParser() (*flags.Parser, error) {
	p := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands() {
		if err := c.addTo(p); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// run runs the command that the arguments name.
func run(args []string) error {
	p, err := newParser()
	if err != nil {
		return err
	}
	_, err = p.ParseArgs(args)
	return err
}

func main() {
	err := run(os.Args[1:])
	if err == nil {
		return
	}
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Println(f.Message)
		return
	}
	fmt.Fprintln(os.Stderr, programName+":", trace.UserMessage(err))
	os.Exit(1)
}
