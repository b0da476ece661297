package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"

	"github.com/ragwortyard/ragwortyard/control"
)

// statusCommand prints the status that the operator listener of a proxy serves.
type statusCommand struct {
	URL  string `default:"http://127.0.0.1:8083" help:"Base URL of the operator listener of the proxy."`
	JSON bool   `help:"Print JSON instead of a table."`
}

// statusTimeout limits the wait for a proxy that does not respond.
const statusTimeout = 5 * time.Second

// Run prints the status.
func (c *statusCommand) Run() error {
	var status control.Status
	client := &http.Client{Timeout: statusTimeout}
	resp, err := sling.New().Client(client).Base(c.URL).Get("/status").ReceiveSuccess(&status)
	if err != nil {
		return fmt.Errorf("read the status from %s: %w", c.URL, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("read the status from %s: HTTP status %s", c.URL, resp.Status)
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(status)
	}
	return writeStatus(os.Stdout, &status)
}

func writeStatus(w io.Writer, s *control.Status) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "host\t%s\n", s.Host)
	fmt.Fprintf(table, "availability zone\t%s\n", s.Zone)
	fmt.Fprintf(table, "configuration version\t%d\n", s.ConfigVersion)
	fmt.Fprintf(table, "keys trusted\t%t\n", s.KeysTrusted)
	fmt.Fprintf(table, "host list version\t%d\n", s.HostVersion)
	fmt.Fprintf(table, "members\t%d\n", s.Members)
	fmt.Fprintf(table, "stopping\t%t\n", s.Stopping)
	for _, r := range s.Refusals {
		fmt.Fprintf(table, "refused configuration %d\t%s\n", r.Version, r.Reason)
	}
	for _, p := range s.Peers {
		fmt.Fprintf(table, "peer %s\tsuspect=%t leaving=%t path=%s\n", p.ID, p.Suspect, p.Leaving, p.Path)
	}
	return table.Flush()
}
