// Package issuers decides which services may answer for a token, by the operator's rules and the look of the
// token alone. It checks no signature: what a token says of itself only chooses whom to ask, and that one's
// answer counts.
package issuers

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// MostToken is the length in bytes over which no token is looked into. Longer ones are nobody's.
const MostToken = 16 << 10

// Rule says which tokens one issuer answers for. One with neither Iss nor Prefixes answers for whatever no
// other rule names, in its turn, as does one with Rest.
type Rule struct {
	Name     string
	Iss      string   // the "iss" of its JWTs
	Prefixes []string // with which its tokens begin
	Rest     bool     // it answers for the rest all the same
}

// Table chooses issuers. It does not change, and is safe for concurrent use.
type Table struct {
	byIss    map[string]int
	prefixes []prefix // longest first
	rest     []int    // of whatever is named by no rule, in the operator's order
}

type prefix struct {
	text   string
	issuer int
}

// New returns the table of some rules, or an error that names two that contradict each other.
func New(rules []Rule) (*Table, error) {
	t := &Table{byIss: map[string]int{}}
	named := map[string]bool{}
	for i, r := range rules {
		if r.Name == "" || named[r.Name] {
			return nil, fmt.Errorf("issuer %d: its name %q is empty or another's", i+1, r.Name)
		}
		named[r.Name] = true
		if r.Iss != "" {
			if j, taken := t.byIss[r.Iss]; taken {
				return nil, fmt.Errorf("issuer %q: its iss %q is that of %q", r.Name, r.Iss, rules[j].Name)
			}
			t.byIss[r.Iss] = i
		}
		for _, p := range r.Prefixes {
			same := func(other prefix) bool { return other.text == p }
			if j := slices.IndexFunc(t.prefixes, same); j >= 0 || p == "" {
				return nil, fmt.Errorf("issuer %q: the prefix %q is empty or named twice", r.Name, p)
			}
			t.prefixes = append(t.prefixes, prefix{p, i})
		}
		if r.Rest || r.Iss == "" && len(r.Prefixes) == 0 {
			t.rest = append(t.rest, i)
		}
	}
	slices.SortStableFunc(t.prefixes, func(a, b prefix) int { return len(b.text) - len(a.text) })
	return t, nil
}

// Route returns the indexes of the issuers to ask, in their order: the one whose prefix is the longest that
// fits, else the one whose iss the token names, else all that answer for the rest. None means that the token
// is nobody's here. The result must not be changed.
func (t *Table) Route(token string) []int {
	if len(token) > MostToken {
		return nil
	}
	for _, p := range t.prefixes {
		if strings.HasPrefix(token, p.text) {
			return []int{p.issuer}
		}
	}
	if iss, ok := Iss(token); ok && len(t.byIss) > 0 {
		if i, known := t.byIss[iss]; known {
			return []int{i}
		}
	}
	return t.rest
}

// Iss reads the issuer that a JWT in compact form names. Nothing of it is verified.
func Iss(token string) (iss string, ok bool) {
	header, rest, one := strings.Cut(token, ".")
	payload, signature, two := strings.Cut(rest, ".")
	if !one || !two || header == "" || strings.Contains(signature, ".") || len(token) > MostToken {
		return "", false
	}
	text, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil {
		return "", false
	}
	var claims struct {
		Iss *string `json:"iss"`
	}
	if json.Unmarshal(text, &claims) != nil || claims.Iss == nil {
		return "", false
	}
	return *claims.Iss, true
}
