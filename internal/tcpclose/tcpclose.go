// Package tcpclose tells how the peer of a TCP connection ended it. Test clients use it to
// distinguish requests that a server dropped from those that it never read.
package tcpclose

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// resetWait is how long a reset may take to arrive after the end of the stream.
const resetWait = 200 * time.Millisecond

// PeerHadRead reports whether the peer had read all that was sent when it closed the
// connection. readErr is the error of the read that failed. The kernel of the peer resets a
// connection that is closed with unread bytes, or on which bytes arrive afterwards.
func PeerHadRead(conn *net.TCPConn, readErr error) bool {
	if !errors.Is(readErr, io.EOF) && !errors.Is(readErr, io.ErrUnexpectedEOF) {
		return false
	}
	timer := time.NewTimer(resetWait)
	defer timer.Stop()
	<-timer.C
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	pending := 0
	controlErr := raw.Control(func(fd uintptr) {
		pending, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return controlErr == nil && err == nil && pending == 0
}
