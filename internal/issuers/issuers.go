// Package issuers selects the issuers whose introspection services may answer for a token, by the operator's
// rules and the content of the token only. It verifies no signature: the unverified claims of a token only
// select the services to query, and the answers of these services decide.
package issuers

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// MostToken is the maximum length of a token in bytes. Longer tokens belong to no issuer and are not parsed.
const MostToken = 16 << 10

// Rule describes the tokens that one issuer answers for. An issuer with Rest, or with neither Iss nor
// Prefixes, is queried for all tokens that match no rule, in the order of the rules.
type Rule struct {
	Name     string
	Iss      string   // the "iss" of its JWTs
	Prefixes []string // of its tokens
	Rest     bool     // also query it for tokens that match no rule
}

// Table selects issuers by rules. It is immutable and safe for concurrent use.
type Table struct {
	byIss    map[string]int
	prefixes []prefix // longest first
	rest     []int    // queried for tokens that match no rule, in the operator's order
}

type prefix struct {
	text   string
	issuer int
}

// New returns the Table for rules, or an error that describes a rule that is invalid or conflicts with
// another.
func New(rules []Rule) (*Table, error) {
	t := &Table{byIss: map[string]int{}}
	named := map[string]bool{}
	for i, r := range rules {
		if r.Name == "" || named[r.Name] {
			return nil, fmt.Errorf("issuer %d: its name %q is empty or another's", i+1, r.Name)
		}
		named[r.Name] = true
		if r.Iss != "" {
			if j, exists := t.byIss[r.Iss]; exists {
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

// Route returns the indexes of the issuers to query, in order: the issuer with the longest matching prefix,
// else the one whose Iss equals the "iss" of the token, else all that are queried for the rest. An empty
// result means that no issuer answers for the token. The caller must not modify the result.
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
		if i, found := t.byIss[iss]; found {
			return []int{i}
		}
	}
	return t.rest
}

// Iss returns the "iss" claim of a JWT in compact form, without verifying it. ok is false for other tokens.
func Iss(token string) (iss string, ok bool) {
	header, rest, dotted := strings.Cut(token, ".")
	payload, signature, signed := strings.Cut(rest, ".")
	if !dotted || !signed || header == "" || strings.Contains(signature, ".") || len(token) > MostToken {
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
