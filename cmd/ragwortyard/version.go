package main

import (
	"fmt"
	"runtime/debug"
)

// version is the release version. The revision is read from the build information.
const version = "0.1.0"

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the release version and the VCS revision if the build recorded it.
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
