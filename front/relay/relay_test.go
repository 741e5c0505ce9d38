package relay

import (
	"strings"
	"testing"
)

func TestLeaveReachesCurrentStage(t *testing.T) {
	for steps, want := range map[string]string{
		"first leave":           "first",
		"first move leave":      "next second",
		"move first leave":      "next second", // the second stage starts before Begin is called
		"move move":             "next",
		"first leave move":      "first",
		"nobody leave move":     "",
		"first move move leave": "next second",
	} {
		var got []string
		record := func(what string) func() { return func() { got = append(got, what) } }
		r := &Relay{}
		for step := range strings.FieldsSeq(steps) {
			switch step {
			case "first":
				r.Begin(record("first"))
			case "nobody":
				r.Begin(nil)
			case "move":
				r.StartSecond(func() func() {
					record("next")()
					return record("second")
				})
			case "leave":
				r.Leave()
			}
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%s: %v, want %q", steps, got, want)
		}
	}
}
