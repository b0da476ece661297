package main

import (
	"fmt"
	"os"

	"github.com/ragwortyard/ragwortyard/config"
)

// checkCommand validates a directory of configuration values.
type checkCommand struct {
	Dir  string `arg:"" type:"existingdir" help:"Directory with manifest.json, fleet.json and the team values."`
	JSON bool   `help:"Print JSON instead of text."`
}

// Run prints all problems and returns an error if there are any.
func (c *checkCommand) Run() error {
	report, err := config.CheckDir(c.Dir)
	if err != nil {
		return err
	}
	write := report.WriteText
	if c.JSON {
		write = report.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return err
	}
	if !report.OK() {
		return fmt.Errorf("the configuration has %d problems", len(report.Problems))
	}
	return nil
}
