package pipeline

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against a docs/RESULT-CODES.md that differs from the codes.
func TestDocumentationListsAllCodes(t *testing.T) {
	var page bytes.Buffer
	page.WriteString("# Result codes\n\n")
	page.WriteString("Callers find the code in the header `Ragwort-Code` and the outcome in `Ragwort-Outcome`.\n")
	page.WriteString("`not-run` means that the request was certainly not run. A code without an HTTP status never\n")
	page.WriteString("reaches a caller. This page is written from the code: `go test ./pipeline -update`.\n\n")
	page.WriteString("| code | name | outcome | HTTP status | meaning |\n|---|---|---|---|---|\n")
	for _, c := range Codes() {
		status := "-"
		if c.Status != 0 {
			status = fmt.Sprint(c.Status)
		}
		fmt.Fprintf(&page, "| %d | %s | %s | %s | %s |\n", c.Code, c.Name, c.Outcome, status, c.Meaning)
	}
	golden := goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md"))
	golden.Assert(t, "RESULT-CODES", page.Bytes())
}

// Guards against codes that are listed twice or out of order, and against two codes
// with the same name in metrics and logs.
func TestCodesAreUniqueAndAscending(t *testing.T) {
	names := make(map[string]bool)
	last := -1
	for _, c := range Codes() {
		if int(c.Code) <= last {
			t.Errorf("code %d follows %d", c.Code, last)
		}
		if names[c.Name] {
			t.Errorf("name %q appears twice", c.Name)
		}
		names[c.Name] = true
		last = int(c.Code)
	}
}
