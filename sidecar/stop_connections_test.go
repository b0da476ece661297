package sidecar

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/tcpclose"
	"github.com/ragwortyard/ragwortyard/platform"
)

// Guards against requests that are read and dropped because their connections were new when a planned stop closed them.
func TestPlannedStopDropsNoRequestOnNewConnections(t *testing.T) {
	f := newStopFixture(t)
	f.addBackend(t, "i-1", f.settings.BackendAddr, 400, 100*time.Millisecond)
	ctx, stop := context.WithCancel(t.Context())
	stopped := run(ctx, t, f.settings)
	stop()
	request := fmt.Sprintf("GET /x HTTP/1.1\r\nHost: a.example\r\n%s: 15000\r\n\r\n", platform.HeaderDeadline)
	if counts := tcpclose.SendOnNewConnections(f.settings.CallersAddr, request, stopped); counts.Answered == 0 || counts.Dropped > 0 {
		t.Errorf("%+v", counts)
	}
}
