// Command dunespoke is one ingress on real sockets. It reads its configuration from the file that LB_CONFIG
// names, and writes its log to standard output.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"dunespoke/core"
	"dunespoke/front/platform"
	"dunespoke/internal/config"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/counter"
	"dunespoke/internal/net/discovery"
	"dunespoke/internal/net/forward"
)

func main() {
	log := zerolog.New(os.Stdout).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, os.Getenv, log); err != nil {
		fmt.Fprintln(os.Stderr, "dunespoke:", err)
		os.Exit(1)
	}
}

// run serves until the context ends and what was taken is answered.
func run(ctx context.Context, getenv func(string) string, log zerolog.Logger) error {
	conf, err := config.ReadPlatform(getenv)
	if err != nil {
		return err
	}
	var known discovery.List
	if len(conf.Known) > 0 {
		if err := json.Unmarshal(conf.Known, &known); err != nil {
			return fmt.Errorf("configuration: known: %w", err)
		}
	}
	log = log.With().Str("ingress", conf.Name).Logger()
	clients, servers := bound(conf.Limits)

	var quota core.Counter
	if conf.Counter != "" {
		quota = counter.New(conf.Counter, conf.Settings.CounterTimeout, log)
	}
	c, err := core.New(core.Config{
		Settings: conf.Settings,
		Seed:     uint64(conf.Seed),
		Upstream: forward.New(forward.Config{DialTimeout: conf.Settings.DialTimeout, KeepAlive: conf.KeepAlive,
			Connections: servers, Judge: platform.Judge, Log: log}),
		Counter: quota,
		Log:     func(line string) { log.Warn().Str("code", "decision").Msg(line) },
	})
	if err != nil {
		return err
	}
	var server *accept.Server
	front := platform.New(c, conf.Settings, func() bool { return server.Draining() })
	server = accept.New(front, clients, log)
	listener, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}

	work, end := context.WithCancel(context.Background())
	defer end()
	go c.Run(work)
	go discovery.Watch(work, conf.Discovery, known, c.Servers, log)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	log.Info().Str("code", "started").Str("listen", conf.Listen).Int("clients", clients).
		Int("servers", servers).Msg("serving")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	log.Info().Str("code", "draining").Msg("told to stop")
	server.Drain()
	log.Info().Str("code", "stopped").Msg("all that was taken is answered")
	return nil
}

// Of the sockets an ingress may hold, some are set aside for the counter, discovery, the listener and the
// runtime, and a part of the rest is for connections to app servers.
const (
	setAside    = 64
	serversPart = 0.4
)

// bound keeps the program within its limits, and says how many connections it may hold to either side.
func bound(l config.Limits) (clients, servers int) {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.MemoryMB << 20 * 3 / 4)
		debug.SetGCPercent(400) // collect seldom while far under the limit
	}
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(l.Cores)))
	}
	free := l.Sockets - setAside
	if l.Sockets == 0 {
		free = 1024 - setAside
	}
	servers = int(serversPart * float64(free))
	return max(1, free-servers), max(1, servers)
}
