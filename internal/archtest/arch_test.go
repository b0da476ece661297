package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

const module = "github.com/ragwortyard/ragwortyard/"

// sourceFile is one parsed file that is not a test.
type sourceFile struct {
	dir    string // relative to the module, with slashes
	name   string
	syntax *ast.File
}

func sourceFiles(t *testing.T) []sourceFile {
	t.Helper()
	var files []sourceFile
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		syntax, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		files = append(files, sourceFile{filepath.ToSlash(filepath.Dir(relative)), path, syntax})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(files) < 20 {
		t.Fatalf("found only %d source files", len(files))
	}
	return files
}

func (f sourceFile) imports() []string {
	var paths []string
	for _, spec := range f.syntax.Imports {
		paths = append(paths, strings.Trim(spec.Path.Value, `"`))
	}
	return paths
}

// uses tells whether the file selects one of the names of a package, such as
// time.Now.
func (f sourceFile) uses(pkg string, names ...string) string {
	found := ""
	ast.Inspect(f.syntax, func(n ast.Node) bool {
		selector, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		ident, ok := selector.X.(*ast.Ident)
		if !ok || ident.Name != pkg {
			return true
		}
		for _, name := range names {
			if selector.Sel.Name == name {
				found = pkg + "." + name
			}
		}
		return true
	})
	return found
}

// Guards against decisions that depend on a wire format, a transport or another
// process-wide facility, which would keep embedders and other front ends from
// using them.
func TestDecisionsImportNoCodecAndNoTransport(t *testing.T) {
	allowed := map[string]bool{
		"bytes": true, "cmp": true, "container/heap": true, "errors": true, "fmt": true, "maps": true,
		"math": true, "math/bits": true, "math/rand/v2": true, "slices": true, "sort": true,
		"strconv": true, "strings": true, "sync/atomic": true, "time": true, "encoding/binary": true,
		"github.com/cespare/xxhash/v2": true,
	}
	for _, f := range sourceFiles(t) {
		if !strings.HasPrefix(f.dir, "decide/") {
			continue
		}
		for _, path := range f.imports() {
			if !allowed[path] && !strings.HasPrefix(path, module+"decide/") {
				t.Errorf("%s imports %s", f.name, path)
			}
		}
	}
}

// Guards against decisions that read the clock or shared randomness, which no
// test in virtual time could control.
func TestDecisionsReadNoClockAndNoGlobalRandomness(t *testing.T) {
	for _, f := range sourceFiles(t) {
		if !strings.HasPrefix(f.dir, "decide/") {
			continue
		}
		clock := f.uses("time", "Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick")
		random := f.uses("rand", "Int", "IntN", "N", "Float64", "Perm", "Shuffle", "Uint64", "Uint32", "Int64N")
		if clock != "" || random != "" {
			t.Errorf("%s uses %s%s", f.name, clock, random)
		}
		ast.Inspect(f.syntax, func(n ast.Node) bool {
			if _, ok := n.(*ast.GoStmt); ok {
				t.Errorf("%s starts a goroutine", f.name)
			}
			return true
		})
	}
}

// Guards against a lock on control state: the loop alone owns it, and traffic
// reads snapshots.
func TestControlStateHasNoLock(t *testing.T) {
	for _, f := range sourceFiles(t) {
		traffic := strings.HasPrefix(f.dir, "filters/") && f.dir != "filters/observe"
		if f.dir != "control" && f.dir != "pipeline" && !traffic {
			continue
		}
		if lock := f.uses("sync", "Mutex", "RWMutex", "Cond", "Locker"); lock != "" {
			t.Errorf("%s uses %s", f.name, lock)
		}
	}
}

// Guards against I/O and sleeping in the control loop, which would delay every
// decision of the process.
func TestControlDoesNoIO(t *testing.T) {
	banned := map[string]bool{"net": true, "net/http": true, "os": true, "io": true, "encoding/json": true}
	for _, f := range sourceFiles(t) {
		if f.dir != "control" {
			continue
		}
		for _, path := range f.imports() {
			if banned[path] || strings.Contains(path, "jsonrpc2") {
				t.Errorf("%s imports %s", f.name, path)
			}
		}
		if wait := f.uses("time", "Sleep"); wait != "" {
			t.Errorf("%s uses %s", f.name, wait)
		}
	}
}

// layers lists the packages of the module that each layer may import, besides
// packages of its own folder. A package imports only what lies below it.
var layers = map[string][]string{
	"pipeline":  {},
	"decide":    {},
	"config":    {"pipeline"},
	"control":   {"pipeline", "config", "decide", "fleet/notice"},
	"source":    {"pipeline", "config", "control"},
	"httpfront": {"pipeline"},
	"fleet":     {"pipeline", "decide", "httpfront", "internal/httpsend", "internal/httpconn"},
	"filters": {
		"pipeline", "config", "control", "decide", "fleet", "internal/httpsend", "internal/httpconn", "internal/bootclock",
	},
	"platform": {
		"pipeline", "control", "decide", "httpfront", "filters/deliver",
		"internal/httpsend", "internal/httpconn", "internal/bootclock",
	},
	"node": {"pipeline", "config", "control", "decide", "source", "httpfront", "fleet", "filters", "internal/httpsend"},
	"sidecar": {
		"pipeline", "control", "decide", "platform", "fleet", "filters",
		"internal/httpsend", "internal/httpconn", "internal/bootclock",
	},
}

// Guards against packages that import upward, which ends in cycles and in
// parts that cannot be used alone.
func TestPackagesImportOnlyLowerLayers(t *testing.T) {
	for _, f := range sourceFiles(t) {
		layer, _, _ := strings.Cut(f.dir, "/")
		allowed, known := layers[layer]
		if !known {
			continue
		}
		for _, path := range f.imports() {
			local, ok := strings.CutPrefix(path, module)
			if ok && !within(local, layer) && !withinAny(local, allowed) {
				t.Errorf("%s imports %s", f.name, local)
			}
		}
	}
}

func withinAny(path string, folders []string) bool {
	for _, folder := range folders {
		if within(path, folder) {
			return true
		}
	}
	return false
}

func within(path, folder string) bool {
	return path == folder || strings.HasPrefix(path, folder+"/")
}

// Guards against the ready-made proxy of the standard library, which resends
// requests and copies headers by its own rules.
func TestNoReadyMadeProxy(t *testing.T) {
	for _, f := range sourceFiles(t) {
		for _, path := range f.imports() {
			if path == "net/http/httputil" {
				t.Errorf("%s imports %s", f.name, path)
			}
		}
	}
}

// Guards against names of the users' wire formats outside of the adapter: there
// the product's own names hold.
func TestWireNamesStayInTheAdapter(t *testing.T) {
	names := []string{
		"op/config", "servers/", "Attempt-Id", "Api-Key", "Tenant-Id", "Caller-Service", "Expected-Instance",
		"Response-Signature", "Not-Executed", "virtual_hosts", "kv-watch", "kv-range", "readiness_addr", "RAGWORTYARD_CONFIG",
	}
	for _, f := range sourceFiles(t) {
		if f.dir == "platform" || f.dir == "internal/fakestore" {
			continue
		}
		ast.Inspect(f.syntax, func(n ast.Node) bool {
			literal, ok := n.(*ast.BasicLit)
			if !ok || literal.Kind != token.STRING {
				return true
			}
			for _, name := range names {
				if strings.Contains(strings.ReplaceAll(literal.Value, "Ragwort-Attempt-Id", ""), name) {
					t.Errorf("%s contains %s", f.name, literal.Value)
				}
			}
			return true
		})
	}
}
