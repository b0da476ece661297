package config

import "strings"

// MatchResult is the result of a route lookup by method and path.
type MatchResult uint8

// The results of a route lookup.
const (
	Matched         MatchResult = iota
	UnknownPath                 // no route covers the path
	MethodNotServed             // a route covers the path, but not the method
	PathNotNormal               // the path is not normalized, so its meaning is ambiguous; it matches no route
)

// String returns the name of the result for logs.
func (m MatchResult) String() string {
	switch m {
	case Matched:
		return "matched"
	case UnknownPath:
		return "unknown path"
	case MethodNotServed:
		return "method not served"
	default:
		return "path not normal"
	}
}

// routeNode is a node of a tree of path segments. A lookup takes one map access per
// segment, regardless of the number of routes.
type routeNode struct {
	children map[string]*routeNode
	exact    []routeEntry
	prefix   []routeEntry
}

type routeEntry struct {
	method string
	route  *Route
}

// entriesFor returns the list of entries for the path of a route. It creates the
// nodes between n and that path.
func (n *routeNode) entriesFor(route *Route) *[]routeEntry {
	path := route.Prefix + route.Path
	node := n
	for _, segment := range strings.FieldsFunc(path, isSlash) {
		node = node.child(segment)
	}
	if route.Path != "" {
		return &node.exact
	}
	return &node.prefix
}

func isSlash(r rune) bool { return r == '/' }

func (n *routeNode) child(segment string) *routeNode {
	if n.children == nil {
		n.children = make(map[string]*routeNode)
	}
	next, ok := n.children[segment]
	if !ok {
		next = &routeNode{}
		n.children[segment] = next
	}
	return next
}

// add adds a route for a method. If another route already serves the method at the
// same path, add returns that route and changes nothing; otherwise it returns nil.
func (n *routeNode) add(route *Route, method string) *Route {
	entries := n.entriesFor(route)
	if existing := findMethod(*entries, method); existing != nil {
		return existing
	}
	*entries = append(*entries, routeEntry{method, route})
	return nil
}

func findMethod(entries []routeEntry, method string) *Route {
	for i := range entries {
		if entries[i].method == method {
			return entries[i].route
		}
	}
	return nil
}

// find returns the route for a method and an escaped path.
func (n *routeNode) find(method, path string) (*Route, MatchResult) {
	entries, result := n.match(path)
	if result != Matched {
		return nil, result
	}
	if route := findMethod(entries, method); route != nil {
		return route, Matched
	}
	return nil, MethodNotServed
}

// match returns the entries of the most specific route path that covers path.
func (n *routeNode) match(path string) ([]routeEntry, MatchResult) {
	if !isNormalizedPath(path) {
		return nil, PathNotNormal
	}
	best := n.prefix
	node, rest := n, path[1:]
	if rest == "" && len(n.exact) > 0 {
		best = n.exact
	}
	for rest != "" {
		segment, tail, more := strings.Cut(rest, "/")
		node = node.children[segment]
		if node == nil {
			break
		}
		if len(node.prefix) > 0 {
			best = node.prefix
		}
		if !more && len(node.exact) > 0 {
			best = node.exact
		}
		rest = tail
	}
	if len(best) == 0 {
		return nil, UnknownPath
	}
	return best, Matched
}

// isNormalizedPath reports whether an escaped path is normalized and unambiguous. A
// backend server may decode and resolve a path before it uses it. If that changed
// the path, a request could match an open route and reach the path of another one.
// Rejected are dot segments, empty segments, backslashes, segment parameters
// (";"), and escapes of these or of characters that need no escape (RFC 3986,
// section 6.2.2). Route paths contain unreserved characters only, so paths with
// other escapes never equal them, whether decoded or not.
func isNormalizedPath(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	start := 1 // start of the current segment
	for i := 1; i < len(path); i++ {
		switch c := path[i]; {
		case c == '/':
			if isEmptyOrDotSegment(path[start:i]) {
				return false
			}
			start = i + 1
		case c == '%':
			if !isUnambiguousEscape(path[i:]) {
				return false
			}
		case !allowedPathBytes[c]:
			return false
		}
	}
	last := path[start:]
	return last == "" || !isEmptyOrDotSegment(last)
}

func isEmptyOrDotSegment(segment string) bool {
	return segment == "" || segment == "." || segment == ".."
}

// allowedPathBytes marks the bytes allowed unescaped in a path segment (pchar of
// RFC 3986 without ";").
var allowedPathBytes = buildAllowedPathBytes()

func buildAllowedPathBytes() (marks [256]bool) {
	for c := range marks {
		marks[c] = isUnreserved(byte(c))
	}
	for _, c := range "!$&'()*+,=:@" {
		marks[c] = true
	}
	return marks
}

func isUnreserved(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '-' || c == '.' || c == '_' || c == '~'
	}
}

// isUnambiguousEscape reports whether s starts with a valid percent escape that a
// normalized path may contain.
func isUnambiguousEscape(s string) bool {
	if len(s) < 3 {
		return false
	}
	high, ok1 := unhex(s[1])
	low, ok2 := unhex(s[2])
	c := high<<4 | low
	if !ok1 || !ok2 || isUnreserved(c) {
		return false
	}
	return c >= ' ' && c != 0x7f && strings.IndexByte(`/\;`, c) < 0
}

func unhex(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	default:
		return 0, false
	}
}
