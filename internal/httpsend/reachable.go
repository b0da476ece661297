package httpsend

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// A crashing process closes its connections and its listener in no fixed order, so a
// new connection may still be accepted shortly after the others were reset. Therefore
// AcceptsConnections connects several times.
const (
	connectAttempts = 3
	connectPause    = 5 * time.Millisecond
)

// AcceptsConnections reports whether a server on this host accepts connections. It
// connects a few times and returns false at the first refusal. A timeout counts as
// reachable: it is a sign of a busy host, not of a crashed server.
func AcceptsConnections(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), ConnectTimeout)
	defer cancel()
	for attempt := range connectAttempts {
		if attempt > 0 {
			sleep(connectPause)
		}
		conn, err := Dial(ctx, addr)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return false
		case err == nil:
			_ = conn.Close()
		}
	}
	return true
}

func sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}
