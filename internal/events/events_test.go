package events

import (
	"os"
	"regexp"
	"testing"
)

// The code and the catalogue docs/events.md must list the same events, and each number only once.
func TestTheCatalogueIsTheCode(t *testing.T) {
	find := func(file, pattern string) map[string]string {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		found := map[string]string{}
		for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(text), -1) {
			if _, twice := found[m[1]]; twice {
				t.Errorf("%s: event %s stands twice", file, m[1])
			}
			found[m[1]] = m[2] + " " + m[3]
		}
		return found
	}
	code := find("events.go", `= Event\{(\d+), "([^"]*)", (\d)\}`)
	page := find("../../docs/events.md", `(?m)^\| (\d+) \| ([^|]*) \| (\d) \|`)
	if len(code) < 20 {
		t.Fatalf("only %d events found in the code", len(code))
	}
	for number, text := range code {
		if page[number] != text {
			t.Errorf("event %s is %q in the code, %q in the catalogue", number, text, page[number])
		}
		delete(page, number)
	}
	for number := range page {
		t.Errorf("event %s of the catalogue is not in the code", number)
	}
}
