// Command outernames lists the names in the product's Go code that leave a
// process: a renaming must not change any of them.
//
//	go run -C tools ./outernames ..
//
// It prints one name a line, sorted, by kind. Test files are read for the names
// of tests that KNOWN-RED.txt lists and for fixed seeds only.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"unicode"
)

// The patterns of texts that name a header, an environment variable, a metric,
// a label, a JSON-RPC method or a URL path, and of an enum's text.
var (
	header      = regexp.MustCompile(`^[A-Z][A-Za-z0-9]*(-[A-Z][A-Za-z0-9]*)+$`)
	environment = regexp.MustCompile(`^[A-Z][A-Z0-9]*_[A-Z0-9_]+$`)
	metric      = regexp.MustCompile(`ragwortyard_[a-z0-9_]+`)
	label       = regexp.MustCompile(`[{,]([a-z_]+)=`)
	word        = regexp.MustCompile(`^[a-z][a-z0-9]*([-_./][a-z0-9]+)*/?$`)
	urlPath     = regexp.MustCompile(`^/[a-z0-9/_.-]+/?$`)
	flag        = regexp.MustCompile(`--[a-z][a-z0-9-]*`)
	envInHelp   = regexp.MustCompile(`\$[A-Z][A-Z0-9_]+`)
	redTest     = regexp.MustCompile(`(?m)^Test: *(\S+ \S+)`)
	goTest      = regexp.MustCompile(`\bTest[A-Z][A-Za-z0-9]*`)
)

// names holds the names found, by kind.
type names map[string]map[string]bool

func (n names) add(kind, name string) {
	if name == "" {
		return
	}
	if n[kind] == nil {
		n[kind] = map[string]bool{}
	}
	n[kind][name] = true
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: outernames REPOSITORY")
		os.Exit(2)
	}
	if err := os.Chdir(os.Args[1]); err != nil {
		fail(err)
	}
	found := names{}
	for _, name := range goFiles() {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			fail(err)
		}
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		found.readFile(file)
	}
	found.readDeployFiles()
	found.readKnownRed()
	found.readFlags()
	found.print()
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

func goFiles() []string {
	out, err := exec.Command("git", "ls-files", "*.go", ":!tools").Output()
	if err != nil {
		fail(err)
	}
	return strings.Fields(string(out))
}

func (n names) readFile(file *ast.File) {
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.TypeSpec:
			n.readType(node)
		case *ast.CallExpr:
			n.readCall(node)
		case *ast.FuncDecl:
			if encodesText(node.Name.Name) {
				n.readTexts("text of an enum", node)
			}
		case *ast.CompositeLit:
			n.readTable(node)
		case *ast.ValueSpec:
			n.readSeeds(node)
			n.readResultCodes(node)
		case *ast.BasicLit:
			n.readLiteral(node)
		}
		return true
	})
}

func encodesText(function string) bool {
	return function == "String" || function == "MarshalText" || function == "UnmarshalText"
}

// readType reads the tags of a struct, and the names of the exported fields
// without a tag where other fields have one: encoders derive a name from them.
func (n names) readType(spec *ast.TypeSpec) {
	s, ok := spec.Type.(*ast.StructType)
	if !ok {
		return
	}
	encoded := false
	for _, field := range s.Fields.List {
		if field.Tag == nil {
			continue
		}
		encoded = true
		text, _ := strconv.Unquote(field.Tag.Value)
		tag := reflect.StructTag(text)
		for _, key := range []string{"json", "cbor", "toml", "name", "env", "cmd", "enum", "default", "short", "prefix"} {
			if value, ok := tag.Lookup(key); ok {
				n.add("tag "+key, value)
			}
		}
	}
	if !encoded {
		return
	}
	for _, field := range s.Fields.List {
		if field.Tag != nil {
			continue
		}
		for _, name := range field.Names {
			if name.IsExported() {
				n.add("field without a tag", name.Name)
			}
		}
	}
}

// readCall reads the keys of log fields, the names of registered JSON-RPC
// methods and the texts that feed a hash.
func (n names) readCall(call *ast.CallExpr) {
	function := types(call.Fun)
	switch {
	case strings.HasPrefix(function, "zap.") && len(call.Args) > 0:
		n.readTexts("log field", call.Args[0])
	case strings.Contains(function, "Register") && len(call.Args) > 1:
		n.readTexts("JSON-RPC method", call.Args[1])
	case function == "rendezvous.Hash" || strings.HasPrefix(function, "xxhash."):
		n.readTexts("text that feeds a hash", call)
	}
}

// readTable reads the keys of map literals: metric names, wire values and
// setting names stand in such tables.
func (n names) readTable(literal *ast.CompositeLit) {
	m, ok := literal.Type.(*ast.MapType)
	if !ok {
		return
	}
	for _, element := range literal.Elts {
		pair, ok := element.(*ast.KeyValueExpr)
		if !ok {
			continue
		}
		n.readTexts("key of a table", pair.Key)
		if types(m.Value) == "string" {
			n.readTexts("value of a table", pair.Value)
		}
	}
}

// readSeeds reads the numbers of the recorded runs in a variable of regressions.
func (n names) readSeeds(spec *ast.ValueSpec) {
	if spec.Names[0].Name != "Regressions" {
		return
	}
	ast.Inspect(spec, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.INT {
			n.add("seed of a regression", literal.Value)
		}
		return true
	})
}

// readResultCodes reads the numbers of the constants of type Code.
func (n names) readResultCodes(spec *ast.ValueSpec) {
	if spec.Type == nil || types(spec.Type) != "Code" {
		return
	}
	for _, value := range spec.Values {
		n.add("result code", types(value))
	}
}

func (n names) readTexts(kind string, node ast.Node) {
	ast.Inspect(node, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			text, _ := strconv.Unquote(literal.Value)
			n.add(kind, text)
		}
		return true
	})
}

func (n names) readLiteral(literal *ast.BasicLit) {
	if literal.Kind != token.STRING {
		return
	}
	text, err := strconv.Unquote(literal.Value)
	if err != nil {
		return
	}
	switch {
	case header.MatchString(text):
		n.add("header", text)
	case environment.MatchString(text):
		n.add("environment variable", text)
	case urlPath.MatchString(text):
		n.add("URL path", text)
	case word.MatchString(text):
		n.add("word", text)
	}
	for _, name := range metric.FindAllString(text, -1) {
		n.add("metric", name)
		for _, l := range label.FindAllStringSubmatch(text, -1) {
			n.add("metric label", l[1])
		}
	}
}

func types(node ast.Node) string {
	switch node := node.(type) {
	case *ast.Ident:
		return node.Name
	case *ast.BasicLit:
		return node.Value
	case *ast.SelectorExpr:
		return types(node.X) + "." + node.Sel.Name
	case *ast.IndexExpr:
		return types(node.X)
	case *ast.IndexListExpr:
		return types(node.X)
	}
	return ""
}

func (n names) readDeployFiles() {
	files, _ := filepath.Glob("deploy/*.toml")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			fail(err)
		}
		for _, line := range strings.Split(string(data), "\n") {
			if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
				n.add("deploy file", line)
			}
		}
	}
}

func (n names) readKnownRed() {
	for _, file := range []string{"KNOWN-RED.txt", ".ci/run"} {
		data, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		for _, match := range redTest.FindAllStringSubmatch(string(data), -1) {
			n.add("listed test", match[1])
		}
		for _, name := range goTest.FindAllString(string(data), -1) {
			n.add("listed test", name)
		}
	}
}

// readFlags reads flags and environment variables from the program's help,
// since the parser derives them from the names of Go fields.
func (n names) readFlags() {
	dir, err := os.MkdirTemp("", "outernames")
	if err != nil {
		fail(err)
	}
	defer os.RemoveAll(dir)
	program := filepath.Join(dir, "ragwortyard")
	if out, err := exec.Command("go", "build", "-o", program, "./cmd/ragwortyard").CombinedOutput(); err != nil {
		fail(fmt.Errorf("build: %w: %s", err, out))
	}
	command := regexp.MustCompile(`(?m)^  ([a-z][a-z0-9-]*)(?: |$)`)
	top, _ := exec.Command(program, "--help").CombinedOutput()
	for _, match := range command.FindAllStringSubmatch(string(top), -1) {
		n.add("command", match[1])
		help, _ := exec.Command(program, match[1], "--help").CombinedOutput()
		for _, name := range flag.FindAllString(string(help), -1) {
			n.add("flag", match[1]+" "+name)
		}
		for _, name := range envInHelp.FindAllString(string(help), -1) {
			n.add("flag", match[1]+" "+name)
		}
	}
}

func (n names) print() {
	var kinds []string
	for kind := range n {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		var list []string
		for name := range n[kind] {
			if strings.ContainsFunc(name, unicode.IsControl) {
				name = strconv.Quote(name)
			}
			list = append(list, name)
		}
		sort.Strings(list)
		for _, name := range list {
			fmt.Printf("%s: %s\n", kind, name)
		}
	}
}
