package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/ragwortyard/ragwortyard/internal/measure"
)

// measureCommand runs the measurements in virtual time with a fixed seed.
type measureCommand struct {
	Cases []string `arg:"" optional:"" help:"Names of the cases; all by default."`
	Seed  uint64   `default:"1" help:"Seed; the same seed gives the same results."`
	JSON  bool     `help:"Print JSON lines instead of a table."`
	List  bool     `help:"Print the names of the cases and exit."`

	Report string `type:"path" help:"Directory to write MEASURES.md and its plots to."`
}

// Run prints the results and returns an error if a target is missed.
func (c *measureCommand) Run() error {
	if c.List {
		for _, known := range measure.Cases() {
			fmt.Println(known.Name)
		}
		return nil
	}
	rows, err := measure.Run(c.Cases, c.Seed)
	if err != nil {
		return err
	}
	if err := c.write(os.Stdout, rows); err != nil {
		return err
	}
	if c.Report != "" {
		if err := measure.WriteReport(c.Report, c.Seed, rows); err != nil {
			return err
		}
	}
	if missed := measure.Missed(rows); missed > 0 {
		return fmt.Errorf("%d targets missed", missed)
	}
	return nil
}

func (c *measureCommand) write(w io.Writer, rows []measure.Row) error {
	if c.JSON {
		encoder := json.NewEncoder(w)
		for _, r := range rows {
			if err := encoder.Encode(r); err != nil {
				return err
			}
		}
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CASE\tDEPLOYMENT\tFAULT\tPOLICY\tMETRIC\tVALUE\tUNIT\tTARGET\tRESULT")
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.6g\t%s\t%s\t%s\n",
			r.Case, r.Deployment, r.Fault, r.Policy, r.Metric, r.Value, r.Unit, r.Target, r.Result())
	}
	return table.Flush()
}
