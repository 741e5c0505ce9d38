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

// The program links no third-party library for consensus, membership, discovery or proxying: the project
// implements these itself.
func TestNoThirdPartyControlPlaneIsLinked(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	deps := string(out)
	if !strings.Contains(deps, "dunespoke/internal/controlplane/replica") {
		t.Fatal("the list of linked packages is incomplete")
	}
	for _, bad := range []string{"go.etcd.io/raft", "hashicorp/memberlist", "dunespoke/fleet"} {
		if strings.Contains(deps, bad) {
			t.Errorf("the program links %s", bad)
		}
	}
	// pebble's error reporting links httputil to dump requests. No package of the project may import its proxy.
	out, err = exec.CommandContext(t.Context(), "go", "list", "-deps", "-f", "{{.ImportPath}}: {{.Imports}}",
		".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(out)) {
		if strings.HasPrefix(line, "dunespoke/") && strings.Contains(line, "net/http/httputil") {
			t.Errorf("a package of the project imports net/http/httputil: %s", line)
		}
	}
}

// If the key file named in the settings is missing or contains a key that is too short, check reports it
// without printing the key.
func TestCheckValidatesPeerKeys(t *testing.T) {
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
		t.Errorf("missing key file: %v", err)
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

// The commands read the files and directories that they are given, and report missing arguments, under their
// present and their previous names.
func TestCommandErrors(t *testing.T) {
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
		// The previous names.
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
