package main

import (
	"bytes"
	"strings"
	"testing"
)

const settings = `{"az":"a","n_instances":2,"new_key":[1],` +
	`"profiles":[{"name":"c","aim":100,"give_up":400,"repeat":"free"}],` +
	`"tariffs":[{"name":"p","refill":2,"most_at_once":8,"price":1}],` +
	`"family_info":{"counter":true,"count_limit":30},` +
	`"limits":{"max_attempts":3,"max_retry_after":500},"invariants":{"cold":1000}}`

var setup = "FRAME\t1000\nBEGIN\t0\t7\t" + settings + "\nREGISTER\t0\t1\n" +
	"BACKEND\t5\ta\tk\t0\tlive\t1\t-\nBACKENDS_CHANGED\t0\tcached\t0\t1\n"

func runLines(input string) (string, error) {
	var out bytes.Buffer
	err := run(strings.NewReader(input), &out)
	return out.String(), err
}

func TestRequestIsSentAndItsUnitsAreCounted(t *testing.T) {
	out, err := runLines(setup + "REQUEST\t0\t11\t2\t0\tc\t0\t3\tp\t1400\t2\t0\nCOMMIT\n")
	if err != nil || !strings.Contains(out, "SUBMIT_TO\t0\t11\t5\t") ||
		!strings.Contains(out, "ADD_TO\t0\tu3.") || !strings.HasSuffix(out, "ACK\n") {
		t.Fatalf("%v, reply:\n%s", err, out)
	}
}

func TestInputErrorsNameLineAndField(t *testing.T) {
	for input, want := range map[string]string{
		"COMMIT\n":                           `line 1: "COMMIT" outside a batch`,
		"FRAME\tx\n":                         "line 1: FRAME: field clock",
		"FRAME\t1\nNOSUCH\t0\n":              "line 2: unknown message",
		"FRAME\t1\nKILL\t0\n":                "line 2: KILL: field who",
		"FRAME\t1\n":                         "COMMIT is missing",
		"FRAME\t1\nBEGIN\t0\t7\t{}\n":        "line 2: BEGIN: field conf: setting az is missing",
		"FRAME\t1\nREGISTER\t0\t1\nCOMMIT\n": `line 3: "COMMIT" where a BACKEND line is expected`,
		setup + "REQUEST\t0\t11\t2\n":        "line 6: REQUEST: field retry is missing",
		setup + "VERDICT\t0\t1\t0\t5\twhat\t1\t1\t0\t0\t-\n": "field rc",
		setup + "LEFT\t0\t1\t2\n":                            "more values than fields",
	} {
		if _, err := runLines(input); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", input, err, want)
		}
	}
}

func FuzzLines(f *testing.F) {
	f.Add(setup + "REQUEST\t0\t11\t2\t0\tc\t0\t3\tp\t1400\t2\t0\nCOMMIT\n")
	f.Add(setup + "VERDICT\t0\t11\t0\t5\tdone\t18.5\t1\t86\t3\t3\n" +
		"TOTAL\t0\tu3.0\tdone\t4\t1\nREMINDER\t0\twake\nCOMMIT\n")
	f.Add("FRAME\t1\nKILL\t0\nCOMMIT\n")
	f.Fuzz(func(t *testing.T, input string) { runLines(input) })
}
