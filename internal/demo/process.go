package demo

import (
	"context"
	"net/http"
	"os"
	"os/exec"

	"github.com/rotisserie/eris"

	"github.com/ragwortyard/ragwortyard/node"
)

// startProcess runs a member as a separate process. It first closes the listeners of
// the member, since the process opens the ports itself.
func (f *Fleet) startProcess(ctx context.Context, m *Member) error {
	closeListeners(m.open)
	ctx, m.cancel = context.WithCancel(ctx)
	cmd := exec.CommandContext(ctx, f.spec.Binary, serveArgs(m.Settings)...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "cannot start %s", m.ID)
	}
	m.done = make(chan error, 1)
	go func() { m.done <- cmd.Wait() }()
	m.ready = func() bool { return reportsReady(ctx, m.OperatorURL()) }
	return nil
}

func closeListeners(l *node.Listeners) {
	_ = l.Callers.Close()
	_ = l.Traffic.Close()
	_ = l.Control.Close()
	_ = l.Operator.Close()
}

func serveArgs(s node.Settings) []string {
	return []string{
		"serve",
		"--id", s.ID, "--zone", s.Zone,
		"--callers-addr", s.CallersAddr, "--traffic-addr", s.TrafficAddr,
		"--control-addr", s.ControlAddr, "--operator-addr", s.OperatorAddr,
		"--config-url", s.ConfigURL, "--hosts-url", s.HostsURL,
		"--hosts-interval", s.HostsInterval.String(), "--drain-time", s.DrainTime.String(),
		"--stop-timeout", s.StopTimeout.String(), "--ledger-window", s.LedgerWindow.String(),
		"--fleet-plain", "--log-level", s.LogLevel,
	}
}

func reportsReady(ctx context.Context, operator string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, operator+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitProcesses waits for the processes that Close has stopped.
func (f *Fleet) waitProcesses() {
	if f.spec.Binary == "" {
		return
	}
	for _, m := range f.Members {
		if m.done != nil {
			<-m.done
		}
	}
}
