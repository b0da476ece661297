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

// sourceFile is a parsed Go file other than a test.
type sourceFile struct {
	dir    string // relative to the module root, with slashes
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

// usedSelector returns a selector expression in the file that refers to one of the
// given names of a package, such as time.Now, or "" if there is none.
func (f sourceFile) usedSelector(pkg string, names ...string) string {
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

// Guards against packages under decide/ that depend on a wire format, a transport or
// another process-wide facility: embedders and other front ends could not use them.
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

// Guards against packages under decide/ that read the clock, use global randomness or
// start goroutines, which tests in virtual time could not control.
func TestDecisionsReadNoClockAndNoGlobalRandomness(t *testing.T) {
	for _, f := range sourceFiles(t) {
		if !strings.HasPrefix(f.dir, "decide/") {
			continue
		}
		clock := f.usedSelector("time", "Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick")
		random := f.usedSelector("rand", "Int", "IntN", "N", "Float64", "Perm", "Shuffle", "Uint64", "Uint32", "Int64N")
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

// Guards against a lock on control state: only the control loop accesses it, and the
// request path reads snapshots.
func TestControlStateHasNoLock(t *testing.T) {
	for _, f := range sourceFiles(t) {
		requestPath := strings.HasPrefix(f.dir, "filters/") && f.dir != "filters/observe"
		if f.dir != "control" && f.dir != "pipeline" && !requestPath {
			continue
		}
		if lock := f.usedSelector("sync", "Mutex", "RWMutex", "Cond", "Locker"); lock != "" {
			t.Errorf("%s uses %s", f.name, lock)
		}
	}
}

// Guards against I/O and sleeping in the control loop, which would delay every decision
// of the process.
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
		if wait := f.usedSelector("time", "Sleep"); wait != "" {
			t.Errorf("%s uses %s", f.name, wait)
		}
	}
}

// layers lists the packages of the module that each layer may import, besides packages
// of its own folder. A layer may import only lower layers.
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
	"node": {"pipeline", "config", "control", "decide", "source", "httpfront", "fleet", "filters", "internal/httpsend", "internal/httpdrain"},
	"sidecar": {
		"pipeline", "control", "decide", "platform", "fleet", "filters",
		"internal/httpsend", "internal/httpconn", "internal/httpdrain", "internal/httpahead", "internal/bootclock",
	},
	"internal/httpdrain": {},
}

// Guards against packages that import a higher layer, which leads to import cycles and
// to packages that cannot be used on their own.
func TestPackagesImportOnlyLowerLayers(t *testing.T) {
	for _, f := range sourceFiles(t) {
		layer, _, _ := strings.Cut(f.dir, "/")
		allowed, known := layers[layer]
		if !known {
			continue
		}
		for _, path := range f.imports() {
			local, ok := strings.CutPrefix(path, module)
			if ok && !isInFolder(local, layer) && !isInAnyFolder(local, allowed) {
				t.Errorf("%s imports %s", f.name, local)
			}
		}
	}
}

func isInAnyFolder(path string, folders []string) bool {
	for _, folder := range folders {
		if isInFolder(path, folder) {
			return true
		}
	}
	return false
}

func isInFolder(path, folder string) bool {
	return path == folder || strings.HasPrefix(path, folder+"/")
}

// Guards against use of package httputil, whose ReverseProxy resends requests and copies
// headers by its own rules.
func TestNoReverseProxyFromStandardLibrary(t *testing.T) {
	for _, f := range sourceFiles(t) {
		for _, path := range f.imports() {
			if path == "net/http/httputil" {
				t.Errorf("%s imports %s", f.name, path)
			}
		}
	}
}

// Guards against names from the users' wire formats outside package platform, the
// adapter to them: all other packages use the product's own names.
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
