package config

import "strings"

// MatchResult tells how a method and a path relate to the routes.
type MatchResult uint8

// The results of a match.
const (
	Matched         MatchResult = iota
	UnknownPath                 // no route covers the path
	MethodNotServed             // a route covers the path, but not the method
	PathNotNormal               // the path has several readings; it is matched to no route
)

// String returns the name of the result, for logs.
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

// routeNode is a node of a tree over path segments. A lookup costs one map
// access for each segment, however many routes there are.
type routeNode struct {
	children map[string]*routeNode
	exact    []routeEntry
	prefix   []routeEntry
}

type routeEntry struct {
	method string
	route  *Route
}

// entries returns the node's list that a route belongs to, below root.
func (n *routeNode) entries(route *Route) *[]routeEntry {
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

// add returns the route that already serves the method at the same place, or
// nil.
func (n *routeNode) add(route *Route, method string) *Route {
	entries := n.entries(route)
	if taken := findMethod(*entries, method); taken != nil {
		return taken
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
	if !isNormal(path) {
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

// isNormal tells whether an escaped path has one reading only. A backend server
// may decode and resolve a path before it acts on it. A path that reads
// differently then could pass a route open to all and reach another one.
// Refused are: dot segments, empty segments, backslashes, segment parameters
// (";"), and escapes of these or of characters that need no escape (RFC 3986,
// section 6.2.2). Paths of routes use unreserved characters only, so every other
// escape differs from them in each reading.
func isNormal(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	start := 1 // of the current segment
	for i := 1; i < len(path); i++ {
		switch c := path[i]; {
		case c == '/':
			if isOddSegment(path[start:i]) {
				return false
			}
			start = i + 1
		case c == '%':
			if !isPlainEscape(path[i:]) {
				return false
			}
		case !pathBytes[c]:
			return false
		}
	}
	last := path[start:]
	return last == "" || !isOddSegment(last)
}

func isOddSegment(segment string) bool {
	return segment == "" || segment == "." || segment == ".."
}

// pathBytes marks the bytes that may stand in a segment unescaped (pchar of RFC
// 3986 without ";").
var pathBytes = markPathBytes()

func markPathBytes() (marks [256]bool) {
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

// isPlainEscape tells whether s starts with an escape that has one reading.
func isPlainEscape(s string) bool {
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
