package relay

import (
	"strings"
	"testing"
)

func TestLeavingFindsTheRequestWhereItIs(t *testing.T) {
	for steps, want := range map[string]string{
		"first leave":           "first",
		"first move leave":      "next second",
		"move first leave":      "next second", // it moved on while the first was being asked
		"move move":             "next",
		"first leave move":      "first",
		"nobody leave move":     "",
		"first move move leave": "next second",
	} {
		var got []string
		say := func(what string) func() { return func() { got = append(got, what) } }
		r := &Relay{}
		for step := range strings.FieldsSeq(steps) {
			switch step {
			case "first":
				r.Begin(say("first"))
			case "nobody":
				r.Begin(nil)
			case "move":
				r.StartSecond(func() func() {
					say("next")()
					return say("second")
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
