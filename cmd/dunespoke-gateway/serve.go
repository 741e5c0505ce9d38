package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr/funcr"
	"github.com/gravitational/trace"

	"dunespoke/internal/routing"
	"dunespoke/internal/server"
	"dunespoke/internal/settings"
)

type serve struct {
	Settings string `long:"settings" env:"DUNESPOKE_CONFIG" required:"yes" description:"settings file, TOML"`
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
	Settings string `long:"settings" description:"settings file, TOML"`
	Config   string `long:"config" description:"configuration file, JSON, as accepted by config.replace"`
}

// Execute validates the given files and returns the first error.
func (c *check) Execute([]string) error {
	if c.Settings == "" && c.Config == "" {
		return trace.BadParameter("check: neither --settings nor --config was specified")
	}
	if c.Settings != "" {
		set, err := settings.ReadFile(c.Settings)
		if err != nil {
			return err
		}
		if err := server.CheckPeerKeys(set); err != nil {
			return trace.Wrap(err, "%s", c.Settings)
		}
		fmt.Printf("%s: node %s in %s: good\n", c.Settings, set.NodeName, set.Zone)
	}
	if c.Config == "" {
		return nil
	}
	text, err := os.ReadFile(c.Config)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	table, err := routing.Validate(text)
	if err != nil {
		return trace.Wrap(err, "%s", c.Config)
	}
	fmt.Printf("%s: %s: good\n", c.Config, table)
	return nil
}

type version struct{}

// Execute prints the version of this build.
func (version) Execute([]string) error {
	build := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		build = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				build += " " + setting.Value
			}
		}
	}
	_, err := fmt.Println(programName, build)
	return trace.Wrap(err)
}
