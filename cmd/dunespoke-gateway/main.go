// Command dunespoke-gateway is the gateway; the same program runs on all machines. Its command serve handles
// clients' requests, operators' calls and other processes' messages, and stores the control state on machines
// with a disk. Its other commands are for operators.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
)

const programName = "dunespoke-gateway"

// command is a command of the command line. The alias is its previous name, which is kept for one version and
// hidden in the help.
type command struct {
	name, alias string
	short       string
	data        any
	commands    []command
}

func commands() []command {
	return []command{
		{name: "serve", short: "Serve clients, operators and other machines", data: &serve{}},
		{name: "check", short: "Validate settings and configurations, and report errors", data: &check{}},
		{name: "status", alias: "view", short: "Show the state of a machine and its view of the cluster",
			data: &status{}},
		{name: "slow-requests", alias: "late",
			short: "Show a machine's requests that were late, rejected or failed", data: &slowRequests{}},
		{name: "config", short: "Get, compare and put configurations", data: &struct{}{}, commands: []command{
			{name: "get", alias: "read", short: "Print the newest configuration, as it was put", data: &configGet{}},
			{name: "diff", short: "Compare a configuration with the newest", data: &configDiff{}},
			{name: "put", short: "Validate a configuration and send it", data: &configPut{}},
		}},
		{name: "member", alias: "core", short: "List and change the members of the core", data: &struct{}{},
			commands: []command{
				{name: "list", alias: "show", short: "List the members, and the machines that can become members",
					data: &memberList{}},
				{name: "add", short: "Make a machine a member", data: &memberAdd{}},
				{name: "remove", short: "Remove a member permanently", data: &memberRemove{}},
				{name: "replace", short: "Replace a member by another machine", data: &memberReplace{}},
			}},
		{name: "snapshot", alias: "store", short: "Check, save and restore the store of a stopped machine",
			data: &struct{}{}, commands: []command{
				{name: "check", short: "Check the store of a stopped machine", data: &snapshotCheck{}},
				{name: "save", alias: "export",
					short: "Export the store of a stopped machine to standard output, including tenants' keys",
					data:  &snapshotSave{}},
				{name: "restore", alias: "found", short: "Create the store of a machine of a restored core",
					data: &snapshotRestore{}},
			}},
		{name: "version", short: "Show the version of this build", data: &version{}},
	}
}

// commandAdder is a parser, or a command with subcommands.
type commandAdder interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

// addTo adds a command and its subcommands to the parent, each also under its alias.
func (c command) addTo(parent commandAdder) error {
	for _, name := range []string{c.name, c.alias} {
		if name == "" {
			continue
		}
		added, err := parent.AddCommand(name, c.short, c.short+".", c.data)
		if err != nil {
			return trace.Wrap(err, "command %s", name)
		}
		added.Hidden = name == c.alias
		for _, sub := range c.commands {
			if err := sub.addTo(added); err != nil {
				return err
			}
		}
	}
	return nil
}

// newParser returns a parser for all commands.
func newParser() (*flags.Parser, error) {
	p := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands() {
		if err := c.addTo(p); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// run executes the command that the arguments select.
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
