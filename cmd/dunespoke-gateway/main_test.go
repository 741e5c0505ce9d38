package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Given the program, then it links no library for agreement, membership, discovery or proxying: those are the
// project's own work.
func TestTheProgramLinksNoForeignControl(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	deps := string(out)
	if !strings.Contains(deps, "dunespoke/internal/controlplane/replica") {
		t.Fatal("the list of what is linked is not whole")
	}
	for _, bad := range []string{"go.etcd.io/raft", "hashicorp/memberlist", "dunespoke/fleet"} {
		if strings.Contains(deps, bad) {
			t.Errorf("links %s", bad)
		}
	}
	// pebble's reports of errors bring httputil, for dumps of requests; nothing of the project uses its proxy.
	out, err = exec.CommandContext(t.Context(), "go", "list", "-deps", "-f", "{{.ImportPath}}: {{.Imports}}",
		".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(out)) {
		if strings.HasPrefix(line, "dunespoke/") && strings.Contains(line, "net/http/httputil") {
			t.Errorf("imports a proxy: %s", line)
		}
	}
}

// Given settings that name a file of keys, when that is missing or has a key that is too short, then check
// says so, and doesn't show the key.
func TestCheckReadsTheKeys(t *testing.T) {
	dir := t.TempDir()
	text, err := os.ReadFile("../../example/cluster/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	keys, file := filepath.Join(dir, "peer.keys"), filepath.Join(dir, "settings.toml")
	text = append(text, fmt.Sprintf("\n[peer_auth]\nkey_file = %q\n", keys)...)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	check := []string{"check", "--settings", file}
	if err := run(check); err == nil || !strings.Contains(err.Error(), "peer.keys") {
		t.Errorf("no file of keys: %v", err)
	}
	wanted := map[string]string{"short-one": "at least 32 characters", strings.Repeat("k", 32): ""}
	for key, want := range wanted {
		if err := os.WriteFile(keys, []byte(key), 0o600); err != nil {
			t.Fatal(err)
		}
		err := run(check)
		switch {
		case (err == nil) != (want == ""):
			t.Errorf("a key of %d characters: %v", len(key), err)
		case err != nil && (!strings.Contains(err.Error(), want) || strings.Contains(err.Error(), key)):
			t.Errorf("a key of %d characters: %v; want %q, and not the key", len(key), err, want)
		}
	}
}

// Given the command line, then files and folders reach the commands that take them, and what is missing is
// named.
func TestCommandsTakeTheirFiles(t *testing.T) {
	dir := t.TempDir()
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"snapshot", "check", dir}, "no store in this folder"},
		{[]string{"snapshot", "check"}, "DIR"},
		{[]string{"snapshot", "restore", "--from", dir + "/no", "--member", "z=a", dir}, "no such file"},
		{[]string{"snapshot", "restore", "--from", "main.go", "--member", "z=a", dir}, "snapshot"},
		{[]string{"config", "put", "--endpoint", "127.0.0.1:1", dir + "/none.json"}, "no such file"},
		{[]string{"config", "diff", "--endpoint", "127.0.0.1:1", "../../example/cluster/config.json"},
			"does not answer"},
		{[]string{"status", "--endpoint", "127.0.0.1:1"}, "does not answer"},
		{[]string{"status"}, "endpoint"},
		{[]string{"slow-requests", "--endpoint", "127.0.0.1:1"}, "does not answer"},
		{[]string{"member", "list", "--endpoint", "127.0.0.1:1"}, "does not answer"},
		{[]string{"member", "replace", "--endpoint", "127.0.0.1:1", "10.1.0.13:7560"}, "NEW"},
		// The names of the version before.
		{[]string{"store", "check", dir}, "no store in this folder"},
		{[]string{"store", "check"}, "DIR"},
		{[]string{"store", "found", "--from", dir + "/no", "--core", "z=a", dir}, "no such file"},
		{[]string{"config", "put", "--at", "127.0.0.1:1", dir + "/none.json"}, "no such file"},
		{[]string{"config", "diff", "--at", "127.0.0.1:1", "../../example/cluster/config.json"},
			"does not answer"},
		{[]string{"view", "--at", "127.0.0.1:1"}, "does not answer"},
		{[]string{"view"}, "endpoint"},
		{[]string{"late", "--at", "127.0.0.1:1"}, "does not answer"},
		{[]string{"core", "show", "--at", "127.0.0.1:1"}, "does not answer"},
		{[]string{"core", "replace", "--at", "127.0.0.1:1", "10.1.0.13:7560"}, "NEW"},
	} {
		if err := run(c.args); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.args, err, c.want)
		}
	}
}

func TestRoleNames(t *testing.T) {
	got := roleNames([]string{"read-servers", "keep-tolls", "one of a later version"})
	want := []string{"endpoint reader", "quota allocator", "one of a later version"}
	if !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}
