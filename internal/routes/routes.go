// Package routes selects the route of a request by its host, path and method. It uses neither a clock nor the
// network, and a table is immutable once created.
//
// A host is exact, "*.example" for one or more labels before ".example", or empty for any host. A path is a
// list of segments, each of which is literal, "{name}" for any one segment, or, at the end, "{name...}" for
// the remaining path, which may be empty. Of the routes that match, the one with the more specific host wins;
// then, segment by segment from the left, a literal takes precedence over a variable, and a variable over the
// remaining path; then a route that lists the method takes precedence over one for any method. Two routes
// that these rules cannot order are an error when the table is created; the order in the list never matters.
package routes

import (
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
)

// Route is the pattern of the requests that match it. Match returns its index in the table's list.
type Route struct {
	Host    string
	Path    string   // starts with /
	Methods []string // empty: any
}

// Table matches requests to routes. It is safe for concurrent use.
type Table struct {
	exact     map[string]*node // by host
	wildcards []wildcardHost   // longest suffix first once the table is complete
	anyHost   *node
	count     int
}

// wildcardHost contains the paths of a host pattern "*.suffix".
type wildcardHost struct {
	suffix string // includes the leading dot
	root   *node
}

// node is a path prefix in the tree of one host's paths.
type node struct {
	literal  map[string]*node
	variable *node // child for {name}
	rest     *leaf // routes that continue with {name...}
	end      *leaf // routes whose path ends here
}

// leaf contains the routes of one path by method; "" stands for any method.
type leaf struct {
	byMethod map[string]target
}

// target is the route that a path and method lead to.
type target struct {
	route    int
	varNames []string // the path's variables, in order
}

// Result is the route that a request matches.
type Result struct {
	Route int               // index in the list given to New
	Vars  map[string]string // values of the path's variables, unescaped
}

// Limits of paths and tables.
const (
	maxPathBytes = 8 << 10
	maxSegments  = 128
	maxRoutes    = 4096
)

// Errors of Match.
var (
	ErrPath   = errors.New("the path is not one that leads anywhere by one reading alone")
	ErrNone   = errors.New("no route")
	ErrMethod = errors.New("no route for this method")
)

// MethodError is the ErrMethod of a path that has routes for other methods only.
type MethodError struct{ Allow []string }

// Error lists the allowed methods.
func (e *MethodError) Error() string {
	return fmt.Sprintf("%v, but for %s", ErrMethod, strings.Join(e.Allow, ", "))
}

// Is reports whether the error is an ErrMethod.
func (e *MethodError) Is(target error) bool { return target == ErrMethod }

// New creates a table. The error names the first route that is invalid or conflicts with another.
func New(list []Route) (*Table, error) {
	if len(list) > maxRoutes {
		return nil, fmt.Errorf("%d routes, want at most %d", len(list), maxRoutes)
	}
	t := &Table{exact: map[string]*node{}, anyHost: &node{}, count: len(list)}
	for i, r := range list {
		if err := t.add(i, r); err != nil {
			return nil, fmt.Errorf("route %d, %s%s: %w", i+1, r.Host, r.Path, err)
		}
	}
	slices.SortFunc(t.wildcards, func(a, b wildcardHost) int { return len(b.suffix) - len(a.suffix) })
	return t, nil
}

// Errors of a route.
var (
	errHost    = errors.New("a host must consist of labels separated by dots, after an optional \"*.\" prefix")
	errPattern = errors.New(
		"a path must start with /, and its segments must be literal, {name}, or {name...} at the end",
	)
	errName     = errors.New("a variable name must be an identifier and unique in its path")
	errMethod   = errors.New("a method must be in capital letters and listed once")
	errConflict = errors.New("it conflicts with route")
)

// add inserts the route with an index in the list.
func (t *Table) add(index int, r Route) error {
	root, err := t.host(strings.ToLower(r.Host))
	if err != nil {
		return err
	}
	if !strings.HasPrefix(r.Path, "/") || len(r.Path) > maxPathBytes {
		return errPattern
	}
	current, varNames, rest := root, []string(nil), false
	segments := strings.Split(r.Path[1:], "/")
	for i, s := range segments {
		last := i == len(segments)-1
		switch {
		case strings.HasPrefix(s, "{") && strings.HasSuffix(s, "}"):
			name := s[1 : len(s)-1]
			if name, rest = strings.CutSuffix(name, "..."); rest && !last {
				return errPattern
			}
			if !isIdentifier(name) || slices.Contains(varNames, name) {
				return errName
			}
			varNames = append(varNames, name)
			if !rest {
				if current.variable == nil {
					current.variable = &node{}
				}
				current = current.variable
			}
		case strings.ContainsAny(s, "{}") || s == "" && !last || s == "." || s == "..":
			return errPattern
		default:
			literal, err := url.PathUnescape(s)
			if err != nil || strings.Contains(literal, "/") {
				return errPattern
			}
			if current.literal == nil {
				current.literal = map[string]*node{}
			}
			if current.literal[literal] == nil {
				current.literal[literal] = &node{}
			}
			current = current.literal[literal]
		}
	}
	slot := &current.end
	if rest {
		slot = &current.rest
	}
	if *slot == nil {
		*slot = &leaf{byMethod: map[string]target{}}
	}
	return (*slot).add(r.Methods, target{index, varNames})
}

// add stores a target for each method, or for any method if there are none.
func (l *leaf) add(methods []string, to target) error {
	if len(methods) == 0 {
		methods = []string{""}
	}
	for _, m := range methods {
		if strings.ContainsFunc(m, func(r rune) bool { return r < 'A' || r > 'Z' }) {
			return errMethod
		}
		if other, exists := l.byMethod[m]; exists {
			return fmt.Errorf("%w %d", errConflict, other.route+1)
		}
		l.byMethod[m] = to
	}
	return nil
}

// isIdentifier reports whether a name consists of ASCII letters, digits and underscores.
func isIdentifier(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		return r != '_' && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9')
	})
}

// host returns the root node of a host, and creates it if it doesn't exist. host must be in lower case.
func (t *Table) host(host string) (*node, error) {
	if host == "" {
		return t.anyHost, nil
	}
	suffix, wild := strings.CutPrefix(host, "*")
	labels := strings.TrimPrefix(suffix, ".")
	if wild && !strings.HasPrefix(suffix, ".") || labels == "" ||
		slices.Contains(strings.Split(labels, "."), "") ||
		strings.ContainsAny(labels, "*/: \t") {
		return nil, errHost
	}
	if !wild {
		if t.exact[host] == nil {
			t.exact[host] = &node{}
		}
		return t.exact[host], nil
	}
	for _, w := range t.wildcards {
		if w.suffix == suffix {
			return w.root, nil
		}
	}
	t.wildcards = append(t.wildcards, wildcardHost{suffix, &node{}})
	return t.wildcards[len(t.wildcards)-1].root, nil
}

// Match finds the route of a request by its host, with or without a port, its path in escaped form as
// received, and its method. It rejects paths that two parsers could interpret differently: those with empty
// or dot segments, a backslash, or an escaped slash or zero byte.
func (t *Table) Match(host, path, method string) (Result, error) {
	segments, err := split(path)
	if err != nil {
		return Result{}, err
	}
	host = canonical(host)
	var allow []string
	for _, root := range t.roots(host) {
		m := matcher{segments: segments, method: method, values: make([]string, 0, 4)}
		if to, ok := m.walk(root, 0); ok {
			vars := make(map[string]string, len(to.varNames))
			for i, name := range to.varNames {
				vars[name] = m.values[i]
			}
			return Result{to.route, vars}, nil
		}
		allow = append(allow, m.allow...)
	}
	if len(allow) > 0 {
		slices.Sort(allow)
		return Result{}, &MethodError{slices.Compact(allow)}
	}
	return Result{}, ErrNone
}

// roots returns the root nodes that match a host, the most specific first.
func (t *Table) roots(host string) []*node {
	roots := make([]*node, 0, 3)
	if n := t.exact[host]; n != nil {
		roots = append(roots, n)
	}
	for _, w := range t.wildcards {
		if strings.HasSuffix(host, w.suffix) && len(host) > len(w.suffix) {
			roots = append(roots, w.root)
		}
	}
	return append(roots, t.anyHost)
}

// canonical returns a host in lower case, without a port or a trailing dot.
func canonical(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.TrimSuffix(strings.ToLower(host), ".")
}

// split splits an escaped path into unescaped segments. It rejects ambiguous paths.
func split(path string) ([]string, error) {
	if !strings.HasPrefix(path, "/") || len(path) > maxPathBytes || strings.Count(path, "/") > maxSegments {
		return nil, ErrPath
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		unescaped := s
		if strings.Contains(s, "%") {
			var err error
			if unescaped, err = url.PathUnescape(s); err != nil {
				return nil, ErrPath
			}
		}
		if unescaped == "." || unescaped == ".." || unescaped == "" && i < len(segments)-1 ||
			strings.ContainsAny(unescaped, "/\\\x00") {
			return nil, ErrPath
		}
		segments[i] = unescaped
	}
	return segments, nil
}

// matcher walks the nodes of one host, the most specific branch first, and backtracks. It tries each segment
// in at most two ways at each node, so a malicious table could make the walk take long; but tables come from
// operators, never from requests.
type matcher struct {
	segments []string
	method   string
	values   []string // of the variables on the way to the current node
	allow    []string // methods of matching paths whose method differs
}

// walk matches the segments from index i on below a node.
func (m *matcher) walk(n *node, i int) (target, bool) {
	if i == len(m.segments) {
		if to, ok := m.targetOf(n.end); ok {
			return to, true
		}
		return target{}, false
	}
	s := m.segments[i]
	if next := n.literal[s]; next != nil {
		if to, ok := m.walk(next, i+1); ok {
			return to, true
		}
	}
	if n.variable != nil && s != "" {
		m.values = append(m.values, s)
		if to, ok := m.walk(n.variable, i+1); ok {
			return to, true
		}
		m.values = m.values[:len(m.values)-1]
	}
	if n.rest != nil {
		if to, ok := m.targetOf(n.rest); ok {
			m.values = append(m.values, strings.Join(m.segments[i:], "/"))
			return to, true
		}
	}
	return target{}, false
}

// targetOf returns the leaf's target for the request's method. If there is none, it records the leaf's
// methods as allowed. The leaf may be nil.
func (m *matcher) targetOf(l *leaf) (target, bool) {
	if l == nil {
		return target{}, false
	}
	if to, ok := l.byMethod[m.method]; ok {
		return to, true
	}
	if to, ok := l.byMethod[""]; ok {
		return to, true
	}
	for method := range l.byMethod {
		m.allow = append(m.allow, method)
	}
	return target{}, false
}
