package rig

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// build builds the program as it is now, and the laboratory.
func build(t *testing.T, command string) string {
	t.Helper()
	path, err := Build(t.TempDir(), command)
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// play plays a scenario with real processes.
func play(t *testing.T, program, text string) *Result {
	t.Helper()
	sc, err := Parse(t.Name(), text)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	r, err := New(context.Background(), sc, Options{Program: program, Dir: dir,
		Progress: func(s string) { t.Log(s) }})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	res := r.Play()
	if res.Lost > 0 || res.Twice > 0 || len(res.Crashes) > 0 {
		t.Errorf("%d lost, %d run twice, crashes %v", res.Lost, res.Twice, res.Crashes)
	}
	return res
}

const twoZones = `
seconds = 9
[[region]]
name = "west"
zones = [{name="a", ingresses=2, servers=3}, {name="b", ingresses=1, servers=3}]
[load]
rate = 60
clients = 12
cross_zone = 0.5
`

// The faults are those that tests of the fleet rest on: each must show in what the program does.
func TestFaultsBetweenProcesses(t *testing.T) {
	program := build(t, "dunespoke")
	for name, c := range map[string]struct {
		faults string
		want   func(*Result) string
	}{
		"all well": {"", func(r *Result) string {
			return unless(r.Served > 0.9 && r.Cross < 0.1, "served in the zone")
		}},
		"servers killed": {fault("kill", "servers:a", ""), func(r *Result) string {
			return unless(r.Served > 0.6 && r.Cross > 0.1, "served in the other zone")
		}},
		"servers silent": {fault("silent", "servers:a", ""), func(r *Result) string {
			return unless(r.Served > 0.4 && r.Cross > 0.1, "served in the other zone")
		}},
		"zone cut off from the other, its servers dead": {
			fault("kill", "servers:a", "") + fault("cut", "zone:a", "zone:b"),
			func(r *Result) string { return unless(r.ByZone["a"] < 0.7 && r.ByZone["b"] > 0.8, "only b served") }},
		"an ingress stopped": {fault("stop", "ingress:b1", ""), func(r *Result) string {
			return unless(r.ByZone["a"] > 0.8 && r.ByZone["b"] < 0.95, "b's clients wait")
		}},
		"ingresses restarted": {fault("restart", "ingresses:a", ""), func(r *Result) string {
			return unless(r.Served > 0.8, "served all along")
		}},
		"counter silent": {fault("silent", "counter", ""), func(r *Result) string {
			return unless(r.Served > 0.6, "served without it")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			res := play(t, program, twoZones+c.faults)
			if wrong := c.want(res); wrong != "" {
				t.Errorf("want %s, got %+v", wrong, *res)
			}
		})
	}
}

func unless(ok bool, text string) string {
	if ok {
		return ""
	}
	return text
}

func fault(do, on, to string) string {
	return "[[fault]]\nat = \"2s\"\nfor = \"5s\"\ndo = \"" + do + "\"\non = \"" + on + "\"\n" +
		unless(to == "", "to = \""+to+"\"\n")
}

// Two connections may share their local address, if they go to different servers.
func TestConnectionsAreToldByBothEnds(t *testing.T) {
	r, one, other := &Rig{}, &actor{name: "one"}, &actor{name: "other"}
	first, second := ends{"127.0.0.1:40000", "127.9.9.254:1"}, ends{"127.0.0.1:40000", "127.9.9.254:2"}
	r.from.Store(first, one)
	r.from.Store(second, other)
	if a, b := r.came(first), r.came(second); a != one || b != other {
		t.Errorf("came from %v and %v", a, b)
	}
}

func TestBadScenariosAreNamed(t *testing.T) {
	for change, want := range map[string]string{
		"surprise = 1\n" + twoZones:                   "surprise: unknown key",
		strings.Replace(twoZones, "60", "0", 1):       "want a rate",
		strings.Replace(twoZones, `"b"`, `"a"`, 1):    "another zone's",
		strings.Replace(twoZones, "= 9", "= -1", 1):   "seconds",
		twoZones + fault("break", "zone:a", ""):       "want one of",
		twoZones + fault("kill", "zone:z", ""):        `no "zone:z"`,
		twoZones + fault("kill", "zone:a", "zone:b"):  "not done to a link",
		twoZones + fault("delay", "zone:a", "zone:b"): "delay needs it",
		twoZones + fault("cut-oneway", "zone:a", ""):  "needs it",
		twoZones + "[[expect]]\nwhat = \"joy\"\n":     "expect[0].what",
		twoZones + "[[expect]]\nwhat = \"served\"\n":  "want within, least or most",
	} {
		if _, err := Parse("x", change); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// Whatever ends the rig, even SIGKILL, ends the processes that it started.
func TestNoOrphans(t *testing.T) {
	program, lab, dir := build(t, "dunespoke"), build(t, "dunespoke-lab"), t.TempDir()
	file := filepath.Join(dir, "s.toml")
	if err := os.WriteFile(file, []byte(strings.Replace(twoZones, "= 9", "= 60", 1)), 0o644); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(lab, "fleet", file, "--program", program, "--out", dir, "--json")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	var conf struct{ Mgmt string }
	up := func() bool {
		text, err := os.ReadFile(filepath.Join(dir, "b1.json"))
		if err != nil || json.Unmarshal(text, &conf) != nil {
			return false
		}
		c, err := net.Dial("tcp", conf.Mgmt)
		if err == nil {
			c.Close()
		}
		return err == nil
	}
	eventually(t, "the ingress to start", up)
	cmd.Process.Kill()
	eventually(t, "the ingress to end", func() bool { return !up() })
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for until := time.Now().Add(30 * time.Second); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("waited 30 s for %s", what)
		}
	}
}
