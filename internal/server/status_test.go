package server

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/api"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/routing"
	"dunespoke/internal/settings"
)

// readyTimeout limits the time until a process with a configuration and a server is ready.
const readyTimeout = 10 * time.Second

// exampleServer opens the gateway of example/cluster with its own address and data directory.
func exampleServer(t *testing.T) *Server {
	t.Helper()
	text, err := os.ReadFile("../../example/cluster/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	adapted := strings.NewReplacer("127.0.0.1", "127.0.0.77", "/tmp/dunespoke-one", dir).Replace(string(text))
	path := filepath.Join(dir, "settings.toml")
	if err := os.WriteFile(path, []byte(adapted), 0o600); err != nil {
		t.Fatal(err)
	}
	set, err := settings.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{path: path, settings: set, log: logr.Discard(), loop: newEventLoop(), startedAt: time.Now(),
		workCtx: ctx}
	if err := s.open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := trace.NewAggregate(s.transport.Close(), s.storage.Close(closeTimeout)); err != nil {
			t.Error(err)
		}
	})
	return s
}

// The status of a process reports ready once it has a configuration and a server of a service, and not
// before. The metric dunespoke_ready is taken from it.
func TestStatusReportsReadiness(t *testing.T) {
	s := exampleServer(t)
	go s.loop.run(s.workCtx, s.tick)
	status := func() api.NodeStatus {
		statuses := make(chan api.NodeStatus, 1)
		s.Status(func(status api.NodeStatus) { statuses <- status })
		return <-statuses
	}
	if status().Ready {
		t.Error("ready without a configuration")
	}
	config, err := os.ReadFile("../../example/cluster/config.json")
	if err != nil {
		t.Fatal(err)
	}
	table, err := routing.Validate(config)
	if err != nil {
		t.Fatal(err)
	}
	s.loop.post(func() {
		s.handler.SetConfig(table)
		s.handler.SetEndpoints([]message.Endpoint{
			{ID: "one", Service: "greeter", Addr: "127.0.0.77:1", Zone: "home"}})
	})
	s.waitUntil(readyTimeout, s.isReady)
	if !status().Ready {
		t.Error("not ready with a configuration and a server")
	}
}
