package issuers

import (
	"encoding/base64"
	"slices"
	"strings"
	"testing"
)

func jwt(payload string) string {
	return "eyJhbGciOiJub25lIn0." + base64.RawURLEncoding.EncodeToString([]byte(payload)) + ".c2ln"
}

func TestRoute(t *testing.T) {
	table, err := New([]Rule{{Name: "members", Iss: "https://a.example"},
		{Name: "partners", Prefixes: []string{"pt_", "pt_old_x"}}, {Name: "old", Prefixes: []string{"pt_old_"}},
		{Name: "first"}, {Name: "second", Iss: "https://c.example", Rest: true}})
	if err != nil {
		t.Fatal(err)
	}
	for token, want := range map[string][]int{
		jwt(`{"iss":"https://a.example"}`):     {0},
		jwt(`{"iss":"https://b.example"}`):     {3, 4}, // unknown iss: queried at the issuers for the rest
		jwt(`{"iss":7}`):                       {3, 4},
		"pt_1":                                 {1},
		"pt_old_1":                             {2}, // the longest matching prefix
		"pt_old_x":                             {1},
		"opaque":                               {3, 4},
		"":                                     {3, 4},
		"a.b":                                  {3, 4},
		strings.Repeat("x", MostToken+1):       nil,
		"pt_" + strings.Repeat("x", MostToken): nil,
	} {
		if got := table.Route(token); !slices.Equal(got, want) {
			t.Errorf("%.40s: %v, want %v", token, got, want)
		}
	}
}

func TestNewRejectsContradictoryRules(t *testing.T) {
	for name, rules := range map[string][]Rule{
		"no name":    {{}},
		"one name":   {{Name: "a"}, {Name: "a"}},
		"one iss":    {{Name: "a", Iss: "i"}, {Name: "b", Iss: "i"}},
		"one prefix": {{Name: "a", Prefixes: []string{"p"}}, {Name: "b", Prefixes: []string{"p"}}},
		"no prefix":  {{Name: "a", Prefixes: []string{""}}},
	} {
		if _, err := New(rules); err == nil {
			t.Errorf("%s: accepted, want an error", name)
		}
	}
}

// A token is never routed to an issuer whose rule it does not match.
func FuzzRoute(f *testing.F) {
	f.Add("pt_x")
	f.Add(jwt(`{"iss":"https://a.example"}`))
	f.Add("..")
	table, err := New([]Rule{{Name: "a", Iss: "https://a.example"}, {Name: "b", Prefixes: []string{"pt_"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, token string) {
		iss, _ := Iss(token)
		for _, i := range table.Route(token) {
			if i == 0 && iss != "https://a.example" || i == 1 && !strings.HasPrefix(token, "pt_") {
				t.Fatalf("%q routed to issuer %d, whose rule it does not match", token, i)
			}
		}
	})
}
