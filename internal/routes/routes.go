// Package routes decides which route a request takes, by its host, path and method. It knows no clock and no
// wire, and does not change once it is made.
//
// A host is exact, "*.example" for one or more labels before it, or empty for any. A path is a list of
// segments, each of which is literal, "{name}" for any one segment, or, at the end, "{name...}" for all that
// follows, also nothing. Of the routes that fit, the one with the more specific host wins; then, segment by
// segment from the left, a literal beats a name, and a name beats the rest; then one that names the method
// beats one that takes any. Two routes that can't be told apart so are an error when the table is made,
// never a matter of their order.
package routes

import (
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
)

// Route says which requests take it. Its index in the table's list is what Match returns.
type Route struct {
	Host    string
	Path    string   // begins with /
	Methods []string // none named: any
}

// Table finds routes. It is safe for concurrent use.
type Table struct {
	exact map[string]*node // by host
	wild  []wildHost       // the longest first
	any   *node
	count int
}

type wildHost struct {
	suffix string // with its leading dot
	root   *node
}

// node is a place in a path. Its routes are those whose path ends here.
type node struct {
	literal map[string]*node
	name    *node
	rest    *leaf // of routes that end in {name...}
	end     *leaf
}

// leaf holds the routes of one path, by method; "" is any.
type leaf struct {
	byMethod map[string]target
}

type target struct {
	route int
	names []string // of the path's variables, in their order
}

// Result is where a request goes.
type Result struct {
	Route int
	Vars  map[string]string // of the path, unescaped
}

// Bounds on what is looked into.
const (
	mostPath     = 8 << 10 // bytes
	mostSegments = 128
	mostRoutes   = 4096
)

// What may be wrong with a request's path, or keep it from a route.
var (
	ErrPath   = errors.New("the path is not one that leads anywhere by one reading alone")
	ErrNone   = errors.New("no route")
	ErrMethod = errors.New("no route for this method")
)

// MethodError says which methods a path takes. It is an ErrMethod.
type MethodError struct{ Allow []string }

// Error names the methods.
func (e *MethodError) Error() string {
	return fmt.Sprintf("%v, but for %s", ErrMethod, strings.Join(e.Allow, ", "))
}

// Is reports whether the error is an ErrMethod.
func (e *MethodError) Is(target error) bool { return target == ErrMethod }

// New makes a table, or names the first route that makes no sense or can't be told from another.
func New(list []Route) (*Table, error) {
	if len(list) > mostRoutes {
		return nil, fmt.Errorf("%d routes, %d at most", len(list), mostRoutes)
	}
	t := &Table{exact: map[string]*node{}, any: &node{}, count: len(list)}
	for i, r := range list {
		if err := t.add(i, r); err != nil {
			return nil, fmt.Errorf("route %d, %s%s: %w", i+1, r.Host, r.Path, err)
		}
	}
	slices.SortFunc(t.wild, func(a, b wildHost) int { return len(b.suffix) - len(a.suffix) })
	return t, nil
}

// What may be wrong with a route.
var (
	errHost    = errors.New("a host is labels with dots between, perhaps with *. before them")
	errPattern = errors.New(
		"a path begins with /, and its segments are literal, {name}, or {name...} at the end",
	)
	errName     = errors.New("a name comes twice, or is no identifier")
	errMethod   = errors.New("a method is capital letters, and named once")
	errConflict = errors.New("it can't be told from route")
)

func (t *Table) add(index int, r Route) error {
	root, err := t.host(strings.ToLower(r.Host))
	if err != nil {
		return err
	}
	if !strings.HasPrefix(r.Path, "/") || len(r.Path) > mostPath {
		return errPattern
	}
	at, names, rest := root, []string(nil), false
	segments := strings.Split(r.Path[1:], "/")
	for i, s := range segments {
		last := i == len(segments)-1
		switch {
		case strings.HasPrefix(s, "{") && strings.HasSuffix(s, "}"):
			name := s[1 : len(s)-1]
			if name, rest = strings.CutSuffix(name, "..."); rest && !last {
				return errPattern
			}
			if !identifier(name) || slices.Contains(names, name) {
				return errName
			}
			names = append(names, name)
			if !rest {
				if at.name == nil {
					at.name = &node{}
				}
				at = at.name
			}
		case strings.ContainsAny(s, "{}") || s == "" && !last || s == "." || s == "..":
			return errPattern
		default:
			literal, err := url.PathUnescape(s)
			if err != nil || strings.Contains(literal, "/") {
				return errPattern
			}
			if at.literal == nil {
				at.literal = map[string]*node{}
			}
			if at.literal[literal] == nil {
				at.literal[literal] = &node{}
			}
			at = at.literal[literal]
		}
	}
	place := &at.end
	if rest {
		place = &at.rest
	}
	if *place == nil {
		*place = &leaf{byMethod: map[string]target{}}
	}
	return (*place).add(r.Methods, target{index, names})
}

func (l *leaf) add(methods []string, to target) error {
	if len(methods) == 0 {
		methods = []string{""}
	}
	for _, m := range methods {
		if strings.ContainsFunc(m, func(r rune) bool { return r < 'A' || r > 'Z' }) {
			return errMethod
		}
		if other, taken := l.byMethod[m]; taken {
			return fmt.Errorf("%w %d", errConflict, other.route+1)
		}
		l.byMethod[m] = to
	}
	return nil
}

func identifier(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		return r != '_' && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9')
	})
}

// host returns the root of a host's paths, made if need be.
func (t *Table) host(host string) (*node, error) {
	if host == "" {
		return t.any, nil
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
	for _, w := range t.wild {
		if w.suffix == suffix {
			return w.root, nil
		}
	}
	t.wild = append(t.wild, wildHost{suffix, &node{}})
	return t.wild[len(t.wild)-1].root, nil
}

// Match finds the route of a request by its host, with or without a port, its path as it came, still
// escaped, and its method. A path that two readers could take for different ones is refused: with empty or
// dot segments, or with an escaped slash or zero byte in it.
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
			vars := make(map[string]string, len(to.names))
			for i, name := range to.names {
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

// roots are the hosts' paths to look at, the most specific host first.
func (t *Table) roots(host string) []*node {
	roots := make([]*node, 0, 3)
	if n := t.exact[host]; n != nil {
		roots = append(roots, n)
	}
	for _, w := range t.wild {
		if strings.HasSuffix(host, w.suffix) && len(host) > len(w.suffix) {
			roots = append(roots, w.root)
		}
	}
	return append(roots, t.any)
}

// canonical is a host in small letters, without a port and a last dot.
func canonical(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.TrimSuffix(strings.ToLower(host), ".")
}

// split cuts an escaped path into unescaped segments.
func split(path string) ([]string, error) {
	if !strings.HasPrefix(path, "/") || len(path) > mostPath || strings.Count(path, "/") > mostSegments {
		return nil, ErrPath
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		plain := s
		if strings.Contains(s, "%") {
			var err error
			if plain, err = url.PathUnescape(s); err != nil {
				return nil, ErrPath
			}
		}
		if plain == "." || plain == ".." || plain == "" && i < len(segments)-1 ||
			strings.ContainsAny(plain, "/\\\x00") {
			return nil, ErrPath
		}
		segments[i] = plain
	}
	return segments, nil
}

// matcher walks the nodes of one host, the most specific way first. Each segment is tried in two ways at
// most at each node, so that hostile tables could make it walk long; operators write tables, and requests
// can't.
type matcher struct {
	segments []string
	method   string
	values   []string
	allow    []string
}

func (m *matcher) walk(n *node, i int) (target, bool) {
	if i == len(m.segments) {
		if to, ok := m.at(n.end); ok {
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
	if n.name != nil && s != "" {
		m.values = append(m.values, s)
		if to, ok := m.walk(n.name, i+1); ok {
			return to, true
		}
		m.values = m.values[:len(m.values)-1]
	}
	if n.rest != nil {
		if to, ok := m.at(n.rest); ok {
			m.values = append(m.values, strings.Join(m.segments[i:], "/"))
			return to, true
		}
	}
	return target{}, false
}

// at looks whether a leaf takes the method.
func (m *matcher) at(l *leaf) (target, bool) {
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
