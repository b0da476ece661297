package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/decide/belief"
	"github.com/ragwortyard/ragwortyard/filters/deliver"
	"github.com/ragwortyard/ragwortyard/filters/slots"
	"github.com/ragwortyard/ragwortyard/pipeline"
	"github.com/ragwortyard/ragwortyard/platform"
)

// Guards against a status that is none passed on as an answer, counted as a success of the
// backend server, or taken for its promise that the request did not run.
func TestInvalidStatusIsAFailureWithUnknownOutcome(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		for _, field := range []string{platform.HeaderResponseSignature, platform.HeaderNotExecuted} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s \r\n%s: %s\r\n%s: s\r\nContent-Length: 2\r\n\r\nab",
					status, platform.HeaderAttemptID, req.Header.Get(platform.HeaderAttemptID), field)
				_, _ = io.Copy(io.Discard, conn)
			}()
			s := settings()
			s.BackendAddr = listener.Addr().String()
			exit := New(s, zap.NewNop())
			go exit.queue.Run(t.Context(), func() slots.Backend { return slots.Backend{Slots: 1} })
			var outcomes []belief.Outcome
			exit.exit[len(exit.exit)-1].(*deliver.Filter).Observe = func(_ string, outcome belief.Outcome) { outcomes = append(outcomes, outcome) }
			result := exit.run(t.Context(), attempt("1"))
			if result.Outcome != pipeline.Unknown || result.Status != http.StatusBadGateway || len(outcomes) != 1 || outcomes[0] != belief.Failed {
				t.Errorf("status %s with %s: %+v, outcomes %v", status, field, result, outcomes)
			}
		}
	}
}
