package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/dghubble/sling"

	"github.com/ragwortyard/ragwortyard/sidecar/explain"
)

// explainCommand prints where a running sidecar would send a request, and why. Nothing is
// sent to a backend server.
type explainCommand struct {
	Addr   string `required:"" help:"Operator address of the sidecar, which serves its metrics, as HOST:PORT."`
	Host   string `required:"" help:"Host of the request."`
	Path   string `required:"" help:"Path of the request."`
	Method string `default:"GET" help:"Method of the request."`
	Team   string `help:"Name of the team whose key the request has; without a key if empty."`
	Bytes  int    `help:"Size of the body."`
	JSON   bool   `help:"Print JSON instead of text."`
}

// maxErrorBytes limits the part of an error response that is printed.
const maxErrorBytes = 1 << 10

// Run prints the report.
func (c *explainCommand) Run() error { return c.write(os.Stdout) }

func (c *explainCommand) write(w io.Writer) error {
	query := url.Values{
		explain.ParamMethod: {c.Method}, explain.ParamHost: {c.Host}, explain.ParamPath: {c.Path},
		explain.ParamTeam: {c.Team}, explain.ParamBytes: {strconv.Itoa(c.Bytes)},
	}
	req, err := sling.New().Base("http://" + c.Addr).Get(explain.Path + "?" + query.Encode()).Request()
	if err != nil {
		return fmt.Errorf("address %q: %w", c.Addr, err)
	}
	client := &http.Client{Timeout: statusTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("no process answers at %s: %w", c.Addr, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		reason, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		if err != nil {
			return fmt.Errorf("%s answered with HTTP status %s: %w", c.Addr, resp.Status, err)
		}
		return fmt.Errorf("%s answered with HTTP status %s: %s", c.Addr, resp.Status, strings.TrimSpace(string(reason)))
	}
	var report explain.Report
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return fmt.Errorf("%s sent no report; it may be no sidecar: %w", c.Addr, err)
	}
	if c.JSON {
		return json.NewEncoder(w).Encode(report)
	}
	return report.WriteText(w)
}
