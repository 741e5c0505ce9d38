// Command dunespoke-gateway is the whole gateway: one program for all machines. It takes clients' requests,
// operators' calls and other machines' lines; on machines with a disk it holds the control state.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr/funcr"
	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"dunespoke/internal/routing"
	"dunespoke/internal/server"
	"dunespoke/internal/settings"
)

type serve struct {
	Settings string `long:"settings" env:"DUNESPOKE_CONFIG" required:"yes" description:"file of settings, TOML"`
	Verbose  []bool `long:"verbose" short:"v" description:"log more"`
}

// Execute serves until SIGTERM or SIGINT.
func (s *serve) Execute([]string) error {
	log := funcr.NewJSON(func(line string) { fmt.Println(line) },
		funcr.Options{Verbosity: len(s.Verbose), LogTimestamp: true})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return server.Run(ctx, s.Settings, reload, log)
}

type check struct {
	Settings string `long:"settings" description:"file of settings, TOML"`
	Config   string `long:"config" description:"file of a configuration, JSON, as config.replace takes it"`
}

// Execute names the faults of files.
func (c *check) Execute([]string) error {
	if c.Settings == "" && c.Config == "" {
		return trace.BadParameter("check: nothing to check; see --help")
	}
	if c.Settings != "" {
		s, err := settings.ReadFile(c.Settings)
		if err != nil {
			return err
		}
		fmt.Printf("%s: node %s in %s: good\n", c.Settings, s.NodeName, s.Zone)
	}
	if c.Config == "" {
		return nil
	}
	text, err := os.ReadFile(c.Config)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	d, err := routing.Validate(text)
	if err != nil {
		return trace.Wrap(err, "%s", c.Config)
	}
	fmt.Printf("%s: %s: good\n", c.Config, d)
	return nil
}

type version struct{}

// Execute tells which build this is.
func (version) Execute([]string) error {
	build := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		build = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				build += " " + s.Value
			}
		}
	}
	fmt.Println("dunespoke-gateway", build)
	return nil
}

// parser knows all commands.
func parser() *flags.Parser {
	p := flags.NewNamedParser("dunespoke-gateway", flags.HelpFlag|flags.PassDoubleDash)
	p.AddCommand("serve", "serve", "Serve clients, operators and other machines.", &serve{})
	p.AddCommand("check", "check files", "Check settings and configurations, and name what is wrong.", &check{})
	p.AddCommand("view", "see the exchange", "Tell how a machine sees the exchange.", &view{})
	p.AddCommand("late", "late requests", "Tell which requests of a machine ran late or were given up, and "+
		"where their time went.", &late{})
	under := func(parent *flags.Command, name, short string, run any) {
		if _, err := parent.AddCommand(name, short, short+".", run); err != nil {
			panic(err)
		}
	}
	config, _ := p.AddCommand("config", "the configuration", "Read, compare and send configurations.",
		&struct{}{})
	under(config, "read", "Print the newest configuration, as it was sent", &configRead{})
	under(config, "diff", "Tell what a configuration would change of the newest", &configDiff{})
	under(config, "put", "Check a configuration and send it", &configPut{})
	members, _ := p.AddCommand("core", "the members of the core", "Tell and change the members of the core.",
		&struct{}{})
	under(members, "show", "Tell the members, and the machines that could become some", &coreShow{})
	under(members, "add", "Make a machine a member", &coreAdd{})
	under(members, "remove", "Remove a member for good", &coreRemove{})
	under(members, "replace", "Put a machine in the place of a member", &coreReplace{})
	store, _ := p.AddCommand("store", "a stopped machine's store", "Check and export the store of a stopped "+
		"machine, and found a core anew.", &struct{}{})
	under(store, "check", "Check the store of a stopped machine", &storeCheck{})
	under(store, "export", "Print the store of a stopped machine as a document, with tenants' keys",
		&storeExport{})
	under(store, "found", "Make a machine's store of a core that is founded anew", &storeFound{})
	p.AddCommand("version", "tell the build", "Tell which build this is.", &version{})
	return p
}

func main() {
	if _, err := parser().Parse(); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			fmt.Println(f.Message)
			return
		}
		fmt.Fprintln(os.Stderr, "dunespoke-gateway:", trace.UserMessage(err))
		os.Exit(1)
	}
}
