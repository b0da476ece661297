package config

import (
	"bytes"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/sebdah/goldie/v2"
)

// Guards against a report that omits a problem, its field or its code, and against
// changes of the output format that break scripts.
func TestCheckReports(t *testing.T) {
	replace := func(files fstest.MapFS, name, old, changed string) {
		text := strings.ReplaceAll(string(files[name].Data), old, changed)
		files[name] = &fstest.MapFile{Data: []byte(text)}
	}
	for name, edit := range map[string]func(fstest.MapFS){
		"valid": func(fstest.MapFS) {},
		"empty": func(files fstest.MapFS) { clear(files) },
		"many_problems": func(files fstest.MapFS) {
			replace(files, "manifest.json", "42", "0")
			replace(files, "fleet.json", `"worth": 8`, `"worth": -8, "weight": 3`)
			replace(files, "fleet.json", `"/invoices"`, `"/bookings"`)
			replace(files, "fleet.json", `"accounts", "dispatch"`, `"accounts", "nobody"`)
			replace(files, "teams-1.json", "12.5", `"12.5"`)
			replace(files, "teams-1.json", `"dispatch-2025"`, `"dispatch-2026"`)
			files["teams-0.json"], files["teams-7.json"] = files["teams-1.json"], files["teams-0.json"]
		},
		"syntax": func(files fstest.MapFS) {
			replace(files, "fleet.json", `"classes": [`, `"classes": {`)
			replace(files, "teams-0.json", "}\n", "")
			delete(files, "teams-1.json")
		},
	} {
		t.Run(name, func(t *testing.T) {
			files := exampleFiles(t)
			edit(files)
			report, err := CheckFS(files)
			if err != nil {
				t.Fatal(err)
			}
			var text, encoded bytes.Buffer
			if err := report.WriteText(&text); err != nil {
				t.Fatal(err)
			}
			if err := report.WriteJSON(&encoded); err != nil {
				t.Fatal(err)
			}
			golden := goldie.New(t)
			golden.Assert(t, "check_"+name+"_text", text.Bytes())
			golden.Assert(t, "check_"+name+"_json", encoded.Bytes())
		})
	}
}

// Guards against reporting an unreadable directory as valid.
func TestCheckDirNeedsADirectory(t *testing.T) {
	if report, err := CheckDir(t.TempDir() + "/none"); err == nil {
		t.Errorf("got %+v", report)
	}
}
