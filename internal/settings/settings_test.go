package settings

import (
	"os"
	"strings"
	"testing"
)

func exampleSettings(t *testing.T) string {
	text, err := os.ReadFile("../../example/cluster/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestReadExampleSettings(t *testing.T) {
	s, err := Read([]byte(exampleSettings(t) + "\n[later]\nfield = 1\n")) // unknown fields are ignored
	if err != nil {
		t.Fatal(err)
	}
	if s.PeerAddr() != "127.0.0.1:7560" || len(s.SeedPeerAddrs()) != 1 || s.Bound("grace_period_s", 1) != 6 ||
		s.Bound("unknown", 7) != 7 || !s.FreshStart || s.Survive.Machines != 0 {
		t.Errorf("%+v", s)
	}
}

// The survive section and the zones table are read.
func TestReadSurviveAndZones(t *testing.T) {
	s, err := Read([]byte(strings.Replace(exampleSettings(t), "machines = 0",
		"machines = 2\nzones = 1\nregions = 1\n[zones]\nhome = \"home\"\nb = \"away\"", 1)))
	if err != nil || s.Survive != (Survive{Machines: 2, Zones: 1, Regions: 1}) || s.Zones["b"] != "away" {
		t.Errorf("%+v, %v", s, err)
	}
}

// The error for settings with one fault names the key and contains no file path.
func TestReadErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ old, replacement, wantErr string }{
		{`zone = "home"`, `zone = ""`, "zone"},
		{`spare_ports = [7560, 7575]`, `spare_ports = []`, "spare_ports"},
		{`address = "127.0.0.1:8382"`, `address = "nowhere"`, "cloud_api"},
		{`memory_mb = 256`, `memory_mb = "much"`, "memory_mb"},
		{`fresh_start = true`, `fresh_start = yes`, "TOML"},
		{`serves = ["edge", "control"]`, `serves = ["all"]`, "serves"},
		{`seed_nodes = ["127.0.0.1:8381"]`, ``, "seed_nodes"},
		{`machines = 0`, `zones = -1`, "survive"},
		{`machines = 0`, "regions = 1", `no region for zone "home"`},
		{`machines = 0`, "regions = 1\n[zones]\nhome = \"away\"", `"home" conflicts with "away"`},
	} {
		_, err := Read([]byte(strings.Replace(exampleSettings(t), c.old, c.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), c.wantErr) || strings.Contains(err.Error(), "file:") {
			t.Errorf("%s: %v, want it to name %q", c.replacement, err, c.wantErr)
		}
	}
}
