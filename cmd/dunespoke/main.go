// Command dunespoke is one ingress on real sockets. Without a word it serves: it reads its configuration from
// the file that LB_CONFIG names, and what an operator adds from the one that DUNESPOKE_OPERATOR names.
// Its log goes to standard output.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"dunespoke/internal/config"
)

// commands is the command line.
type commands struct {
	Serve   serveCommand   `cmd:"" default:"withargs" help:"Serve until told to stop. The word may be left out."`
	Check   checkCommand   `cmd:"" help:"Read operator's files, and name each fault with its key."`
	Conform conformCommand `cmd:"" help:"Check an introspection endpoint against the RFCs."`
	Fleet   fleetCommand   `cmd:"" help:"Ask an ingress about its fleet, and give orders to it."`
	Version versionCommand `cmd:"" help:"Tell which build this is."`
}

type serveCommand struct {
	Platform string `help:"The platform's JSON." env:"LB_CONFIG,DUNESPOKE_PLATFORM" placeholder:"FILE"`
	Operator string `help:"An operator's file, TOML." env:"DUNESPOKE_OPERATOR" placeholder:"FILE"`
}

// Run serves. What the flags name stands in for the environment's.
func (s *serveCommand) Run() error {
	log := zerolog.New(os.Stdout).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return run(ctx, hangups(), func(name string) string {
		switch name {
		case "LB_CONFIG":
			return s.Platform
		case "DUNESPOKE_OPERATOR":
			return s.Operator
		}
		return os.Getenv(name)
	}, log)
}

type checkCommand struct {
	Files []string `arg:"" name:"file" help:"Operator's files, TOML." env:"DUNESPOKE_CHECK"`
}

// errFaults says that a file checked has faults, which have been told.
var errFaults = errors.New("there are faults")

// Run checks the files.
func (c *checkCommand) Run(out io.Writer) error {
	bad := false
	for _, path := range c.Files {
		_, err := config.ReadOperator(path, os.Getenv)
		var faults *config.Faults
		switch {
		case errors.As(err, &faults):
			bad = true
			for _, fault := range faults.All {
				fmt.Fprintf(out, "%s: %v\n", path, fault)
			}
		default:
			fmt.Fprintf(out, "%s: good\n", path)
		}
	}
	if bad {
		return errFaults
	}
	return nil
}

type versionCommand struct{}

// Run tells the build's version, and the revision it was made from where the build tool knew it.
func (versionCommand) Run(out io.Writer) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this build tells nothing of itself")
	}
	revision := ""
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = " " + s.Value
		}
	}
	_, err := fmt.Fprintf(out, "dunespoke %s%s %s\n", info.Main.Version, revision, info.GoVersion)
	return err
}

func main() {
	var c commands
	parser := kong.Must(&c, kong.Name("dunespoke"), kong.UsageOnError(),
		kong.Description("An ingress that holds customers to shared quotas before a fleet of servers."),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	line, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := line.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "dunespoke:", err)
		os.Exit(1)
	}
}

// hangups takes SIGHUP from now on: unheeded, it would end the program. One that comes while another waits
// adds nothing to it.
func hangups() <-chan os.Signal {
	all := make(chan os.Signal, 1)
	signal.Notify(all, syscall.SIGHUP)
	return all
}
