package main

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// parseArgs parses a command line as main does.
func parseArgs(t *testing.T, out io.Writer, args ...string) (*commands, *kong.Context, error) {
	t.Helper()
	c := &commands{}
	parser, err := kong.New(c, kong.BindTo(out, (*io.Writer)(nil)))
	if err != nil {
		t.Fatal(err)
	}
	line, err := parser.Parse(args)
	return c, line, err
}

// The run line of the deployment file has no command, and must serve.
func TestServeIsTheDefaultCommand(t *testing.T) {
	t.Setenv("LB_CONFIG", "platform.json")
	t.Setenv("DUNESPOKE_OPERATOR", "operator.toml")
	for _, args := range [][]string{nil, {"serve"}, {"serve", "--platform", "platform.json"}} {
		c, line, err := parseArgs(t, io.Discard, args...)
		if err != nil || line.Command() != "serve" || c.Serve.Platform != "platform.json" ||
			c.Serve.Operator != "operator.toml" {
			t.Errorf("%q: %+v, %v", args, c, err)
		}
	}
	for _, args := range [][]string{{"sreve"}, {"--no-such"}, {"check"}, {"conform"}} {
		if _, _, err := parseArgs(t, io.Discard, args...); err == nil {
			t.Errorf("%q is accepted", args)
		}
	}
}

// The command check prints each fault with its key, one per line, and fails if there is one.
func TestCheckPrintsEachFault(t *testing.T) {
	good, err := os.ReadFile("../../deploy/introspection.toml")
	if err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	text := strings.NewReplacer(`rate = 20.0`, `rate = -20.0`, `prefixes = []`, `prefixes = [""]`,
		`id = "example-app"`, `auth = "none"`).Replace(string(good))
	if err := os.WriteFile(bad, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	_, line, err := parseArgs(t, &out, "check", "../../deploy/introspection.toml", bad)
	if err != nil {
		t.Fatal(err)
	}
	if err := line.Run(); !errors.Is(err, errFaults) {
		t.Errorf("%v", err)
	}
	for _, want := range []string{"introspection.toml: good\n", "introspection.plan[0]: rate",
		"introspection.issuer: issuer",
		"introspection.client[0].id: ", "introspection.client[0].auth: unknown method \"none\""} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	if n := strings.Count(out.String(), "\n"); n != 5 {
		t.Errorf("%d lines:\n%s", n, out.String())
	}
}

func TestVersion(t *testing.T) {
	var out bytes.Buffer
	_, line, err := parseArgs(t, &out, "version")
	if err != nil {
		t.Fatal(err)
	}
	if err := line.Run(); err != nil || !strings.HasPrefix(out.String(), "dunespoke ") {
		t.Errorf("%q, %v", out.String(), err)
	}
}
