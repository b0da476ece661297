package main

import (
	"fmt"
	"runtime/debug"
)

// version is the release; the revision comes from the build.
const version = "0.1.0"

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the release and, where the build recorded it, the revision.
func (versionCommand) Run() error {
	revision := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
	}
	fmt.Printf("ragwortyard %s%s\n", version, revision)
	return nil
}
