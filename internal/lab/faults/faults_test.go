package faults

import (
	"strings"
	"testing"
	"time"
)

func TestScript(t *testing.T) {
	s, err := Parse(`
		# payday
		at 10s for 15s slow x5
		at 25s for 10s silent       # for all
		at 30s for 1s reset 30%
		at 36s for 1s status 503
		at 40s rotate
		at 50s rotate
		at 60s for 10s skew -5s
		at 80s half
`)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		now    time.Duration
		chance float64
		kind   Kind
	}{{9 * time.Second, 0, ""}, {10 * time.Second, 0.9, Slow}, {25 * time.Second, 0, Silent},
		{30 * time.Second, 0.29, Reset}, {30 * time.Second, 0.3, Silent}, {35 * time.Second, 0, ""},
		{36500 * time.Millisecond, 0, Status}, {60 * time.Second, 0, ""}, {time.Hour, 0.99, Half}} {
		if step, ok := s.At(c.now, c.chance); step.Kind != c.kind || ok != (c.kind != "") {
			t.Errorf("at %v: %+v, want %q", c.now, step, c.kind)
		}
	}
	if s[0].Factor != 5 || s[3].Status != 503 || s.Rotations(45*time.Second) != 1 ||
		s.Rotations(time.Minute) != 2 || s.Ahead(65*time.Second) != -5*time.Second || s.Ahead(70*time.Second) != 0 {
		t.Errorf("%+v", s)
	}
}

func TestScriptsThatMakeNoSense(t *testing.T) {
	for text, want := range map[string]string{
		"at 1s slow":                    "1: slow wants a factor",
		"\nat 1s silent x5":             "2: slow wants a factor",
		"at 1s status 99":               "status wants",
		"at 1s skew":                    "skew wants",
		"at 1s reset 0%":                "a share",
		"at 1s reset 101%":              "a share",
		"at 1s for 0s silent":           "times",
		"at 1s tired":                   "tired",
		"silent":                        "silent",
		"at 1s silent at 2s silent":     "at",
		"at 1s for 3s for 4s silent":    "for",
		"at 99999999999999999999s half": "duration",
	} {
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// Whatever parses has times and figures that a stand-in can go by.
func FuzzParse(f *testing.F) {
	f.Add("at 1s for 2s slow x5 10%\nat 2s skew -1s")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		for _, x := range s {
			if err != nil || x.To <= x.From || !(x.Share > 0 && x.Share <= 1) || x.Kind == Slow && x.Factor < 1 {
				t.Fatalf("%q passed as %+v, %v", text, x, err)
			}
		}
	})
}
