package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// jsonReader decodes one JSON value and reports every field that is unknown,
// duplicate, missing or of the wrong type. encoding/json would stop at the first
// unknown field, ignore duplicate fields and match names case-insensitively.
//
// The data must be valid JSON; checkSyntax verifies that.
type jsonReader struct {
	data     []byte
	pos      int
	part     string
	path     []pathStep
	problems *problemCollector
}

// pathStep is one element of a path: a field name, or an array index.
type pathStep struct {
	name  string
	index int // -1 for a field
}

// objectFields lists the fields of one kind of object, 64 at most.
type objectFields struct {
	required []string
	optional []string
}

// find returns the bit number of a field in the set of fields seen, or -1 if the
// field is unknown.
func (f *objectFields) find(name string) int {
	if i := slices.Index(f.required, name); i >= 0 {
		return i
	}
	if i := slices.Index(f.optional, name); i >= 0 {
		return len(f.required) + i
	}
	return -1
}

// checkSyntax reports whether data is one valid JSON value in UTF-8. It adds a
// problem if not.
func checkSyntax(part string, data []byte, problems *problemCollector) bool {
	if !utf8.Valid(data) {
		problems.add(pipeline.CodeConfigSyntax, part, "", "the value is not valid UTF-8")
		return false
	}
	if json.Valid(data) {
		return true
	}
	var ignored any
	err := json.Unmarshal(data, &ignored)
	var syntax *json.SyntaxError
	message := "the value is not valid JSON"
	if errors.As(err, &syntax) {
		line, column := lineAndColumn(data, int(syntax.Offset))
		message = fmt.Sprintf("line %d, column %d: %v", line, column, err)
	}
	problems.add(pipeline.CodeConfigSyntax, part, "", message)
	return false
}

// lineAndColumn converts a byte offset to a line and a column, both counted from 1.
func lineAndColumn(data []byte, offset int) (line, column int) {
	before := string(data[:min(offset, len(data))])
	line = strings.Count(before, "\n") + 1
	column = len(before) - (strings.LastIndexByte(before, '\n') + 1)
	return line, max(column, 1)
}

// add adds a problem at the current path. It does not build the path once the list
// is full.
func (r *jsonReader) add(code pipeline.Code, message string) {
	if r.problems.full() {
		r.problems.omitted++
		return
	}
	r.problems.add(code, r.part, r.pathString(), message)
}

func (r *jsonReader) pathString() string {
	var b strings.Builder
	for _, s := range r.path {
		if s.index >= 0 {
			fmt.Fprintf(&b, "[%d]", s.index)
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(s.name)
	}
	return b.String()
}

func (r *jsonReader) push(s pathStep) { r.path = append(r.path, s) }
func (r *jsonReader) pop()            { r.path = r.path[:len(r.path)-1] }

// peek skips white space and returns the first byte of the next token.
func (r *jsonReader) peek() byte {
	for {
		switch c := r.data[r.pos]; c {
		case ' ', '\t', '\n', '\r':
			r.pos++
		default:
			return c
		}
	}
}

// expect reports whether the next value starts with the given byte. If not, it
// skips the value and adds a problem that names the expected kind.
func (r *jsonReader) expect(first byte, kind string) bool {
	if r.peek() == first {
		return true
	}
	r.reportWrongType(kind)
	return false
}

func (r *jsonReader) reportWrongType(kind string) {
	r.skipValue()
	r.add(pipeline.CodeConfigSyntax, "must be "+kind)
}

// object decodes an object. It calls visit once for each known field, at the
// position of its value.
func (r *jsonReader) object(known *objectFields, visit func(name string)) {
	if !r.expect('{', "an object") {
		return
	}
	var seen uint64
	r.pos++
	for r.peek() != '}' {
		name := r.stringToken()
		r.peek()
		r.pos++ // the colon
		r.field(name, known, &seen, visit)
		if r.peek() == ',' {
			r.pos++
		}
	}
	r.pos++
	r.reportMissing(known, seen)
}

func (r *jsonReader) field(name string, known *objectFields, seen *uint64, visit func(string)) {
	r.push(pathStep{name, -1})
	defer r.pop()
	i := known.find(name)
	switch {
	case i < 0:
		r.skipValue()
		r.add(pipeline.CodeConfigUnknownField, "unknown field")
	case *seen&(1<<i) != 0:
		r.skipValue()
		r.add(pipeline.CodeConfigDuplicate, "the field appears twice")
	default:
		*seen |= 1 << i
		visit(name)
	}
}

func (r *jsonReader) reportMissing(known *objectFields, seen uint64) {
	for i, name := range known.required {
		if seen&(1<<i) != 0 {
			continue
		}
		r.push(pathStep{name, -1})
		r.add(pipeline.CodeConfigMissing, "the field is required")
		r.pop()
	}
}

// array calls visit at the position of each element.
func (r *jsonReader) array(visit func(index int)) {
	if !r.expect('[', "an array") {
		return
	}
	r.pos++
	for i := 0; r.peek() != ']'; i++ {
		r.push(pathStep{index: i})
		visit(i)
		r.pop()
		if r.peek() == ',' {
			r.pos++
		}
	}
	r.pos++
}

// stringToken decodes the string at the current position.
func (r *jsonReader) stringToken() string {
	r.peek()
	start := r.pos
	escaped := r.skipString()
	raw := r.data[start:r.pos]
	if !escaped {
		return string(raw[1 : len(raw)-1])
	}
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		r.add(pipeline.CodeConfigSyntax, "the string cannot be decoded")
	}
	return s
}

func (r *jsonReader) skipString() (escaped bool) {
	for r.pos++; r.data[r.pos] != '"'; r.pos++ {
		if r.data[r.pos] == '\\' {
			escaped = true
			r.pos++
		}
	}
	r.pos++
	return escaped
}

// skipValue skips the next value. It does not recurse, so that deep nesting does not
// grow the stack.
func (r *jsonReader) skipValue() {
	depth := 0
	for {
		switch r.peek() {
		case '"':
			r.skipString()
		case '{', '[':
			depth++
			r.pos++
		case '}', ']':
			depth--
			r.pos++
		case ',', ':':
			r.pos++
			continue
		default:
			r.literal()
		}
		if depth == 0 {
			return
		}
	}
}

// literal returns the number, true, false or null at the current position.
func (r *jsonReader) literal() string {
	start := r.pos
	for r.pos < len(r.data) && !strings.ContainsRune(" \t\r\n,:]}", rune(r.data[r.pos])) {
		r.pos++
	}
	return string(r.data[start:r.pos])
}

func (r *jsonReader) string() string {
	if !r.expect('"', "a string") {
		return ""
	}
	return r.stringToken()
}

func (r *jsonReader) strings() []string {
	var all []string
	r.array(func(int) { all = append(all, r.string()) })
	return all
}

func (r *jsonReader) bool() bool {
	if c := r.peek(); c != 't' && c != 'f' {
		r.reportWrongType("true or false")
		return false
	}
	return r.literal() == "true"
}

func (r *jsonReader) number(kind string) (string, bool) {
	if c := r.peek(); c != '-' && (c < '0' || c > '9') {
		r.reportWrongType(kind)
		return "", false
	}
	return r.literal(), true
}

func (r *jsonReader) float() float64 {
	text, ok := r.number("a number")
	if !ok {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		r.add(pipeline.CodeConfigRange, "the number is too large")
	}
	return value
}

func (r *jsonReader) int(limit int64) int64 {
	text, ok := r.number("an integer")
	if !ok {
		return 0
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 || value > limit {
		r.add(pipeline.CodeConfigRange, fmt.Sprintf("must be an integer from 0 to %d", limit))
		return 0
	}
	return value
}

func (r *jsonReader) uint() uint64 {
	text, ok := r.number("an integer")
	if !ok {
		return 0
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		r.add(pipeline.CodeConfigRange, "must be an integer from 0 to 18446744073709551615")
	}
	return value
}

func (r *jsonReader) duration() time.Duration {
	if !r.expect('"', `a duration such as "250ms"`) {
		return 0
	}
	value, err := time.ParseDuration(r.stringToken())
	if err != nil {
		r.add(pipeline.CodeConfigSyntax, `must be a duration such as "250ms"`)
	}
	return value
}

func (r *jsonReader) digest() (digest Digest) {
	if !r.expect('"', "a SHA-256 digest in hex") {
		return digest
	}
	if !decodeHex(digest[:], r.stringToken()) {
		r.add(pipeline.CodeConfigSyntax, "must be a SHA-256 digest: 64 lower-case hex digits")
	}
	return digest
}
