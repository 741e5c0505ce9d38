package routes

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"testing"
)

func TestPrecedence(t *testing.T) {
	list := []Route{
		{Path: "/{rest...}"},                                          // 0
		{Path: "/accounts/{id}"},                                      // 1
		{Path: "/accounts/new"},                                       // 2
		{Path: "/accounts/{id}", Methods: []string{"DELETE"}},         // 3
		{Host: "api.example", Path: "/accounts/{id}"},                 // 4
		{Host: "*.example", Path: "/accounts/new"},                    // 5
		{Host: "*.eu.example", Path: "/"},                             // 6
		{Path: "/accounts/{id}/statements"},                           // 7
		{Path: "/files/{path...}", Methods: []string{"GET", "PUT"}},   // 8
		{Path: "/files/"},                                             // 9
		{Path: "/a%20b/c"},                                            // 10
		{Host: "only.example", Path: "/x", Methods: []string{"POST"}}, // 11
	}
	table, err := New(list)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		host, path, method string
		route              int
		vars               map[string]string
	}{
		{"h", "/", "GET", 0, map[string]string{"rest": ""}},
		{"h", "/x/y", "GET", 0, map[string]string{"rest": "x/y"}},
		{"h", "/accounts/7", "GET", 1, map[string]string{"id": "7"}},
		{"h", "/accounts/new", "GET", 2, nil},
		{"h", "/accounts/7", "DELETE", 3, map[string]string{"id": "7"}},
		{"API.example:8443", "/accounts/new", "GET", 4, map[string]string{"id": "new"}}, // the host comes first
		{"other.example.", "/accounts/new", "GET", 5, nil},
		{"a.b.eu.example", "/", "GET", 6, nil},
		{"eu.example", "/", "GET", 0, map[string]string{"rest": ""}}, // *. matches at least one label
		{"h", "/accounts/7/statements", "GET", 7, map[string]string{"id": "7"}},
		{"h", "/accounts/7/other", "GET", 0, map[string]string{"rest": "accounts/7/other"}},
		{"h", "/accounts/", "GET", 0, map[string]string{"rest": "accounts/"}}, // a variable is never empty
		{"h", "/files/a/b", "PUT", 8, map[string]string{"path": "a/b"}},
		{"h", "/files/", "POST", 9, nil},
		{"h", "/files/a", "POST", 0, map[string]string{"rest": "files/a"}},
		{"h", "/a%20b/c", "GET", 10, nil},
		{"h", "/a%20b/%63", "GET", 10, nil},
		{"only.example", "/x", "GET", 0, map[string]string{"rest": "x"}},
		{"[::1]:80", "/accounts/%37", "GET", 1, map[string]string{"id": "7"}},
	} {
		got, err := table.Match(c.host, c.path, c.method)
		if err != nil || got.Route != c.route || len(got.Vars) != len(c.vars) || !maps.Equal(got.Vars, c.vars) &&
			len(c.vars) > 0 {
			t.Errorf("%s %s%s: %+v, %v, want %d %v", c.method, c.host, c.path, got, err, c.route, c.vars)
		}
	}
}

func TestMatchErrors(t *testing.T) {
	table, err := New(
		[]Route{{Path: "/a/{id}", Methods: []string{"GET", "PUT"}}, {Path: "/a/{x...}", Methods: []string{"POST"}},
			{Host: "h", Path: "/a/b", Methods: []string{"PATCH"}}},
	)
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]error{"/": ErrNone, "/b": ErrNone, "/a/b": ErrMethod, "": ErrPath,
		"a":   ErrPath,
		"//a": ErrPath, "/a//b": ErrPath, "/a/../b": ErrPath, "/a/%2e%2E/b": ErrPath, "/a/./b": ErrPath,
		"/a/b%2fc": ErrPath, "/a/b%00": ErrPath, "/a/%zz": ErrPath, `/a\b`: ErrPath, "/a/%5c": ErrPath,
		"/" + strings.Repeat("a", maxPathBytes): ErrPath, strings.Repeat("/a", maxSegments+1): ErrPath} {
		if _, err := table.Match("h", path, "DELETE"); !errors.Is(err, want) {
			t.Errorf("%.40s: %v, want %v", path, err, want)
		}
	}
	_, err = table.Match("h", "/a/b", "DELETE")
	var methodErr *MethodError
	if !errors.As(err, &methodErr) || !slices.Equal(methodErr.Allow, []string{"GET", "PATCH", "POST", "PUT"}) {
		t.Errorf("%v", err)
	}
}

func TestInvalidRoutes(t *testing.T) {
	for name, list := range map[string][]Route{
		"no slash":      {{Path: "a"}},
		"empty segment": {{Path: "/a//b"}},
		"dots":          {{Path: "/a/../b"}},
		"rest inside":   {{Path: "/{a...}/b"}},
		"unclosed name": {{Path: "/{a"}},
		"name in text":  {{Path: "/a{b}"}},
		"no name":       {{Path: "/{}"}},
		"name twice":    {{Path: "/{a}/{a}"}},
		"bad escape":    {{Path: "/%zz"}},
		"escaped slash": {{Path: "/a%2fb"}},
		"method":        {{Path: "/", Methods: []string{"get"}}},
		"method twice":  {{Path: "/", Methods: []string{"GET", "GET"}}},
		"star inside":   {{Host: "a.*.b", Path: "/"}},
		"only a star":   {{Host: "*", Path: "/"}},
		"a port":        {{Host: "a:80", Path: "/"}},
		"empty label":   {{Host: "a..b", Path: "/"}},
		"duplicate":     {{Path: "/a"}, {Path: "/a"}},
		"other names":   {{Path: "/{a}/b"}, {Path: "/{c}/b"}},
		"other case":    {{Host: "A.b", Path: "/"}, {Host: "a.B", Path: "/"}},
		"shared method": {{Path: "/a", Methods: []string{"GET", "PUT"}}, {Path: "/a", Methods: []string{"PUT"}}},
	} {
		if _, err := New(list); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Every path is either rejected or matched in its unescaped form, and a {name} variable never contains a
// slash.
func FuzzMatch(f *testing.F) {
	f.Add("a.example", "/accounts/1%20/x", "GET")
	f.Add("h", "/%2e%2e/", "PUT")
	table, err := New([]Route{{Path: "/{a}/{b}"}, {Path: "/x/{rest...}", Methods: []string{"GET"}},
		{Host: "*.example", Path: "/{a}"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, host, path, method string) {
		got, err := table.Match(host, path, method)
		if err != nil {
			return
		}
		for name, v := range got.Vars {
			if name != "rest" && (v == "" || strings.ContainsAny(v, "/\x00")) || v == ".." ||
				strings.HasPrefix(v, "../") {
				t.Fatalf("%q: %s is %q", path, name, v)
			}
		}
		if got.Route == 2 && !strings.Contains(strings.ToLower(host), ".example") ||
			got.Route == 1 && method != "GET" {
			t.Fatalf("%s %q%q matches route %d", method, host, path, got.Route)
		}
	})
}
