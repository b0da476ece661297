package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/ragwortyard/ragwortyard/internal/capacity"
)

// capacityCommand measures the slopes in docs/CAPACITY.md: how resource use grows with
// size.
type capacityCommand struct {
	JSON bool `help:"Print JSON lines instead of a table."`
}

// Run prints each slope with the values measured at each size.
func (c *capacityCommand) Run() error {
	slopes, err := capacity.Run()
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		for _, s := range slopes {
			if err := encoder.Encode(s); err != nil {
				return err
			}
		}
		return nil
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SLOPE\tPER\tSIZE\tVALUE\tUNIT")
	for _, s := range slopes {
		for _, p := range s.Points {
			fmt.Fprintf(table, "%s\t%s\t%d\t%.4g\t%s\n", s.Name, s.Per, p.Size, p.Value, s.Unit)
		}
	}
	return table.Flush()
}
