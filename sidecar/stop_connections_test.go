package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	var clients sync.WaitGroup
	var answered, dropped atomic.Int64
	stop()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for sending := true; sending; {
		select {
		case <-stopped:
			sending = false
		case <-ticker.C:
			clients.Go(func() { f.sendOnNewConnection(t, &answered, &dropped) })
		}
	}
	clients.Wait()
	if answered.Load() == 0 || dropped.Load() > 0 {
		t.Errorf("%d requests answered, %d read and dropped", answered.Load(), dropped.Load())
	}
}

// sendOnNewConnection connects and sends a request a little later, as a client does whose
// host is busy. It counts an answer, or a request that the process dropped after it had
// read it.
func (f *stopFixture) sendOnNewConnection(t *testing.T, answered, dropped *atomic.Int64) {
	const pauseAfterConnect = 60 * time.Millisecond
	conn, err := net.Dial("tcp", f.settings.CallersAddr)
	if err != nil {
		return // the process listens no more
	}
	defer conn.Close()
	<-time.After(pauseAfterConnect)
	if _, err = fmt.Fprintf(conn, "GET /x HTTP/1.1\r\nHost: a.example\r\n%s: 15000\r\n\r\n", platform.HeaderDeadline); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	switch {
	case err == nil:
		resp.Body.Close()
		answered.Add(1)
	case tcpclose.PeerHadRead(conn.(*net.TCPConn), err):
		dropped.Add(1)
		t.Log("dropped:", err)
	}
}
