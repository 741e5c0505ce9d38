package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dunespoke/choice"
)

func env(m map[string]string) func(string) string { return func(k string) string { return m[k] } }

// The example files of the repository must be valid.
func TestExampleFilesAreValid(t *testing.T) {
	p, err := ReadPlatform(env(map[string]string{"LB_CONFIG": "../../example/config.json"}))
	if err != nil {
		t.Fatal(err)
	}
	if p.KeepAlive != 15*time.Second || p.Settings.CounterTimeout != 50*time.Millisecond ||
		p.Settings.Classes[1].Group != choice.GroupCell || uint64(p.Seed) != 0x8c1f30d27a5be964 {
		t.Errorf("%+v", p)
	}
	o, err := ReadOperator("../../deploy/introspection.toml", env(nil))
	if err != nil || !o.Introspection.On() || o.Introspection.Bearer.Plan != "" {
		t.Errorf("%+v, %v", o, err)
	}
	o, err = ReadOperator("../../deploy/gateway.toml", env(nil))
	if err != nil || !o.Gateway.On() || o.Introspection.On() || o.Gateway.Table()[0].Patience != 5*time.Second {
		t.Errorf("%+v, %v", o, err)
	}
	if bound := o.Gateway.Bound(684, 292); bound > o.Gateway.MemoryMB<<20 {
		t.Errorf("the example file's connections may use %d bytes, over its memory_mb", bound)
	}
}

func TestPlatformErrorsNameTheKey(t *testing.T) {
	valid, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for change, want := range map[[2]string]string{
		{`"listen": "127.0.0.1:9000",`, ``}:          "listen is missing",
		{`"discovery": "127.0.0.1:8500",`, ``}:       "discovery is missing",
		{`"counter": "127.0.0.1:6400",`, ``}:         "counter is missing",
		{`"sockets": 1024`, `"sockets": 3`}:          "limits.sockets",
		{`"seed": "8c`, `"seed": "xx`}:               "xx",
		{`"most_at_once": 4,`, ``}:                   `plan "basic"`,
		{`"repeat": "free"`, `"repeat": "sometime"`}: "unknown repeat value",
		{`"n_instances": 1,`, ``}:                    "n_instances is missing",
		{`"name"`, `name`}:                           "invalid character",
	} {
		text := strings.Replace(string(valid), change[0], change[1], 1)
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadPlatform(env(map[string]string{"LB_CONFIG": path}))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: %v, want one line with %q", change[1], change[0], err, want)
		}
	}
	if _, err := ReadPlatform(env(nil)); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("without LB_CONFIG: %v", err)
	}
}

func TestOperatorErrorsNameTheKey(t *testing.T) {
	wantFaults(t, "../../deploy/introspection.toml", map[[2]string]string{
		{`servers = ["127.0.0.1:8801"]`, `servers = []`}:  "at least one server is required",
		{`plan = ""  `, `plan = "gold"`}:                  `no plan "gold"`,
		{`plan = "member"`, `plan = "silver"`}:            `no plan "silver"`,
		{`secret_sha256 = "4b`, `secret_sha256 = "`}:      "want a SHA-256",
		{`secret_env = ""`, `secret_env = "NOT_SET"`}:     "NOT_SET is not set",
		{`patience = "3s"`, `patience = "-3s"`}:           "must not be negative",
		{`gateways = 1`, "gateways = 1\nsurprise = true"}: "introspection.surprise: unknown key",
	})
	wantFaults(t, "../../deploy/fleet.toml", map[[2]string]string{
		{`bind = "127.0.0.1:7946"`, `bind = "0.0.0.0:7946"`}: "fleet.bind",
		{`bind = "127.0.0.1:7946"`, `bind = "here"`}:         "fleet.bind",
		{`seeds = ["127`, `seeds = ["x`}:                     "fleet.seeds",
		{`keys = ["gp`, `keys = ["g`}:                        "key 1 is not base64",
		{`keys_env = ""`, `keys_env = "NOT_SET"`}:            "want at least one key",
		{`voters = ["n0"]`, `voters = ["n0", "n0"]`}:         "listed twice",
		{`voters = ["n0"]`, `voters = []`}:                   "fleet.voters",
		{`lease = "2s"`, `lease = "1s"`}:                     "fleet.lease",
		{`bind = "127.0.0.1:7946"`, `bind = ""`}:             "",
	})
	wantFaults(t, "../../deploy/gateway.toml", map[[2]string]string{
		{`insecure = true`, ``}:                                   "cert_file and key_file are required",
		{`trusted = []`, `trusted = ["10.0.0.1"]`}:                "gateway.trusted",
		{`least = 4096`, `least = 0`}:                             "gateway.transfers",
		{`client = 0.0`, "client = -1.0"}:                         "gateway.pace: rates",
		{`servers = ["127.0.0.1:8811"]`, ``}:                      "gateway.pool[apps]: want either servers",
		{`errors = [503]`, `errors = [404]`}:                      "gateway.pool[apps].errors",
		{`repeat = "safe" `, `repeat = "often"`}:                  "gateway.class[read]",
		{`rate = 50.0`, `rate = -1.0`}:                            "gateway.plan[member]",
		{`name = "member"`, `name = "guest"`}:                     `plan "member" is not defined`,
		{`customer = "address"`, `customer = "path:id"`}:          "the path has no {id}",
		{`customer = "address"`, `customer = "claim:sub"`}:        "a claim requires token = true",
		{`customer = "address"`, `customer = "certificate"`}:      "requires ca_file in gateway.tls",
		{`customer = "address"`, `customer = "name"`}:             "want address, certificate",
		{`path = "/up"`, `path = "/down"` + "\n" + `long = true`}: "",
		{`methods = ["PUT", "POST"]`, `methods = ["put"]`}:        "a method must be in capital letters",
		{`path = "/down"`, `path = "/{rest...}"`}:                 "conflicts with route 1",
		{`units = 5.0`, "replay = 100000"}:                        "replay",
		{`units = 5.0`, "token = true"}:                           "tokens cannot be checked",
	})
}

// wantFaults applies each change to a valid file, and checks that the error contains the wanted text. An
// empty text means that the file must stay valid.
func wantFaults(t *testing.T, file string, changes map[[2]string]string) {
	t.Helper()
	valid, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for change, want := range changes {
		text := strings.Replace(string(valid), change[0], change[1], 1)
		path := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadOperator(path, env(nil))
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q for %q: %v, want %q", change[1], change[0], err, want)
		}
	}
}
