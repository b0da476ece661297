package httpsend

import (
	"context"
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
// few times and returns false at the first refusal.
func Reachable(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), ConnectTimeout)
	defer cancel()
	for try := range reachableTries {
		if try > 0 {
			pause(reachablePause)
		}
		conn, err := Dial(ctx, addr)
		if err != nil {
			return false
		}
		_ = conn.Close()
	}
	return true
}

func pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}
