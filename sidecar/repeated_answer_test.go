package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/filters/slots"
	"github.com/ragwortyard/ragwortyard/platform"
)

// listenRepeating returns the address of a backend server that writes each answer again
// after a delay.
func listenRepeating(t *testing.T, delay time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			id := req.Header.Get(platform.HeaderAttemptID)
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 2\r\n\r\n%2s",
				platform.HeaderAttemptID, id, platform.HeaderResponseSignature, id)
			_, _ = io.WriteString(conn, answer)
			time.AfterFunc(delay, func() { _, _ = io.WriteString(conn, answer) })
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// Guards against a late second copy of an answer, on a connection in use again, that is
// taken for the answer to the next request.
func TestSecondCopyOfAnAnswerIsNotTakenForTheNext(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 100 * time.Millisecond} {
		for _, idle := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond} {
			s := settings()
			s.BackendAddr = listenRepeating(t, delay)
			exit := New(s, zap.NewNop())
			go exit.queue.Run(t.Context(), func() slots.Backend { return slots.Backend{Slots: 1} })
			for n := range 5 {
				id := fmt.Sprint(n)
				result := exit.run(t.Context(), attempt(id))
				if result.Body == nil {
					t.Fatalf("copies after %v, idle for %v: request %s got %+v", delay, idle, id, result)
				}
				body, err := io.ReadAll(result.Body)
				if err != nil || string(body) != fmt.Sprintf("%2s", id) {
					t.Errorf("copies after %v, idle for %v: request %s got %q, %v", delay, idle, id, body, err)
				}
				<-time.After(idle)
			}
		}
	}
}
