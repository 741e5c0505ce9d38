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

// readyWithin is for how long a process with a configuration and a server may take to be ready.
const readyWithin = 10 * time.Second

// exampleServer opens the gateway of example/cluster, with an address and a folder of its own.
func exampleServer(t *testing.T) *Server {
	t.Helper()
	text, err := os.ReadFile("../../example/cluster/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	own := strings.NewReplacer("127.0.0.1", "127.0.0.77", "/tmp/dunespoke-one", dir).Replace(string(text))
	path := filepath.Join(dir, "settings.toml")
	if err := os.WriteFile(path, []byte(own), 0o600); err != nil {
		t.Fatal(err)
	}
	set, err := settings.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	s := &Server{path: path, settings: set, log: logr.Discard(), loop: newEventLoop(), startedAt: time.Now(),
		workCtx: ctx}
	if err := s.open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		end()
		if err := trace.NewAggregate(s.transport.Close(), s.storage.Close(closeTimeout)); err != nil {
			t.Error(err)
		}
	})
	return s
}

// Given a process, when it has a configuration and a server of a service, then its status says that clients
// should come, and not before. The figure dunespoke_ready is taken from it.
func TestStatusSaysWhetherClientsShouldCome(t *testing.T) {
	s := exampleServer(t)
	go s.loop.run(s.workCtx, s.tick)
	status := func() api.NodeStatus {
		told := make(chan api.NodeStatus, 1)
		s.Status(func(status api.NodeStatus) { told <- status })
		return <-told
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
	s.await(readyWithin, s.isReady)
	if !status().Ready {
		t.Error("not ready with a configuration and a server")
	}
}
