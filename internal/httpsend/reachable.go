package httpsend

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// A process that dies closes its connections and its listener in no fixed
// order, so that one new connection may still be accepted a moment after the
// others were reset.
const (
	reachableTries = 3
	reachablePause = 5 * time.Millisecond
)

// Reachable tells whether a server on this host accepts connections. It tries a
// few times and returns false at the first refusal. A connection that only takes
// too long shows a busy host, not a dead server.
func Reachable(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), ConnectTimeout)
	defer cancel()
	for try := range reachableTries {
		if try > 0 {
			pause(reachablePause)
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

func pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}
