package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/sebdah/goldie/v2"
)

// Guards against a docs/SETTINGS.md that does not match the command-line flags.
func TestSettingsPageEqualsTheCommandLine(t *testing.T) {
	var cli commands
	parser, err := newParser(&cli)
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	page.WriteString("# Settings\n\nWritten from the command line: `go test ./cmd/ragwortyard -update`.\n")
	for _, command := range parser.Model.Children {
		fmt.Fprintf(&page, "\n## %s\n\n%s\n", command.Name, command.Help)
		writeFlags(&page, command)
	}
	golden := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	golden.Assert(t, "SETTINGS", page.Bytes())
}

func writeFlags(page *bytes.Buffer, command *kong.Node) {
	if len(command.Flags) == 0 {
		return
	}
	page.WriteString("\n| flag | environment variable | default | meaning |\n|---|---|---|---|\n")
	for _, flag := range command.Flags {
		fallback := flag.Default
		if flag.Required {
			fallback = "required"
		}
		fmt.Fprintf(page, "| `--%s` | `%s` | %s | %s |\n", flag.Name, strings.Join(flag.Envs, ", "), fallback, flag.Help)
	}
}
