// Package tcpclose tells how the peer of a TCP connection ended it. Test clients use it to
// distinguish requests that a server dropped from those that it never read.
package tcpclose

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
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

// Counts are the outcomes of requests on new connections.
type Counts struct {
	Answered int
	Dropped  int // read and not answered
	Unread   int // not read, or not sent since the connection failed
}

// Timing of the clients of SendOnNewConnections.
const (
	connectInterval   = 5 * time.Millisecond
	pauseAfterConnect = 60 * time.Millisecond
)

// SendOnNewConnections opens a connection every few milliseconds until done is closed, and
// sends a request on each a little later, as clients on busy hosts do.
func SendOnNewConnections(addr, request string, done <-chan struct{}) Counts {
	var counts Counts
	var mu sync.Mutex
	var clients sync.WaitGroup
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			clients.Wait()
			return counts
		case <-ticker.C:
		}
		clients.Go(func() {
			answered, dropped := sendOnNewConnection(addr, request)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case answered:
				counts.Answered++
			case dropped:
				counts.Dropped++
			default:
				counts.Unread++
			}
		})
	}
}

func sendOnNewConnection(addr, request string) (answered, dropped bool) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false, false
	}
	defer conn.Close()
	timer := time.NewTimer(pauseAfterConnect)
	defer timer.Stop()
	<-timer.C
	if _, err := io.WriteString(conn, request); err != nil {
		return false, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false, PeerHadRead(conn.(*net.TCPConn), err)
	}
	_ = resp.Body.Close() // the answer has no body of interest
	return true, false
}
