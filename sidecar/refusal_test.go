package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/filters/slots"
	"github.com/ragwortyard/ragwortyard/platform"
)

// Guards against a request that is reported as not run, and may run a second time, because
// the backend server wrote the refusal of an earlier request once more.
func TestRepeatedRefusalIsNotTakenForTheNextRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + platform.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		answers := []string{refusal, refusal + "HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": 2\r\n" + platform.HeaderResponseSignature + ": s\r\nContent-Length: 3\r\n\r\nran"}
		for _, answer := range answers {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, answer)
		}
		_, _ = reader.ReadByte() // until the client closes
	}()
	s := settings()
	s.BackendAddr = listener.Addr().String()
	exit := New(s, zap.NewNop())
	go exit.queue.Run(t.Context(), func() slots.Backend { return slots.Backend{Slots: 1} })
	first := exit.run(t.Context(), attempt("1"))
	second := exit.run(t.Context(), attempt("2"))
	if first.Status != http.StatusServiceUnavailable || second.Status != http.StatusOK {
		t.Errorf("first %+v, second %+v, want the second one answered", first, second)
	}
}
