package soak

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// releaseTime is how long an address may stay in use after its listener was closed:
// a child process forked in the meantime holds the listener until its exec.
const releaseTime = 3 * time.Second

// listen listens on addr and retries while an earlier run still holds the address.
func listen(addr string) (net.Listener, error) {
	end := time.Now().Add(releaseTime)
	for {
		listener, err := net.Listen("tcp", addr)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return listener, err
		}
		time.Sleep(releaseTime / 100)
	}
}
