// Command dunespoke runs one ingress. Without a command it serves: it reads the platform's configuration from
// the file named by LB_CONFIG, and the operator's settings from the file named by DUNESPOKE_OPERATOR. It logs
// to standard output.
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

// commands defines the command line for kong.
type commands struct {
	Serve   serveCommand   `cmd:"" default:"withargs" help:"Serve until SIGTERM or SIGINT (default)."`
	Check   checkCommand   `cmd:"" help:"Validate operator files and print each fault with its key."`
	Conform conformCommand `cmd:"" help:"Check an introspection endpoint against the RFCs."`
	Fleet   fleetCommand   `cmd:"" help:"Query the fleet of an ingress and give it orders."`
	Version versionCommand `cmd:"" help:"Print the version of this build."`
}

type serveCommand struct {
	Platform string `help:"The platform's file, JSON." env:"LB_CONFIG,DUNESPOKE_PLATFORM" placeholder:"FILE"`
	Operator string `help:"The operator file, TOML." env:"DUNESPOKE_OPERATOR" placeholder:"FILE"`
}

// Run serves until SIGTERM or SIGINT. The flags take precedence over LB_CONFIG and DUNESPOKE_OPERATOR.
func (s *serveCommand) Run() error {
	log := zerolog.New(os.Stdout).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return run(ctx, hangupSignals(), func(name string) string {
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
	Files []string `arg:"" name:"file" help:"Operator files, TOML." env:"DUNESPOKE_CHECK"`
}

// errFaults is returned by check if a file has faults. They have been printed.
var errFaults = errors.New("the files have faults")

// Run validates the files and prints one line per fault, or per valid file.
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

// Run prints the version, the VCS revision if the build recorded one, and the Go version.
func (versionCommand) Run(out io.Writer) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this binary contains no build information")
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
		kong.Description("An ingress that enforces shared customer quotas in front of a fleet of servers."),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	line, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := line.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "dunespoke:", err)
		os.Exit(1)
	}
}

// hangupSignals returns a channel that receives SIGHUP, which would otherwise terminate the program. Signals
// that arrive while one is pending are dropped: a single reload covers them all.
func hangupSignals() <-chan os.Signal {
	all := make(chan os.Signal, 1)
	signal.Notify(all, syscall.SIGHUP)
	return all
}
