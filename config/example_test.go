package config

import (
	"bytes"
	"os"
	"regexp"
	"testing"
	"testing/fstest"
)

// exampleFiles returns the files of the complete example in
// docs/CONFIGURATION.md.
func exampleFiles(t *testing.T) fstest.MapFS {
	t.Helper()
	page, err := os.ReadFile("../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := regexp.MustCompile("(?s)`([a-z0-9-]+\\.json)`:\n\n```json\n(.*?)```\n")
	files := make(fstest.MapFS)
	for _, block := range blocks.FindAllSubmatch(page, -1) {
		files[string(block[1])] = &fstest.MapFile{Data: bytes.Clone(block[2])}
	}
	return files
}

// Guards against a documented example that is invalid or behaves differently from
// its description.
func TestDocumentedExampleLoads(t *testing.T) {
	report, err := CheckFS(exampleFiles(t))
	if err != nil || !report.OK() {
		t.Fatalf("%v, %v", err, report.Problems)
	}
	values, _ := readValues(exampleFiles(t))
	cfg, _ := Parse(values[ManifestName], values)
	for _, key := range []string{"accounts-2026", "dispatch-2025", "dispatch-2026", "hotels-2026", "schools-2026"} {
		if ref, ok := cfg.KeyByDigest(keyDigest("example-" + key)); !ok || ref.KeyID != key {
			t.Errorf("example-%s: got %+v, %t", key, ref, ok)
		}
	}
	hours, _ := cfg.Route("GET", "/hours")
	bill, _ := cfg.Route("POST", "/invoices/2026-17")
	if !hours.Open || !bill.Allows("accounts") || bill.Allows("dispatch") || bill.Class != "invoice" {
		t.Errorf("routes %+v and %+v", hours, bill)
	}
}
