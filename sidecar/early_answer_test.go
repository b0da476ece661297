package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/pipeline"
	"github.com/ragwortyard/ragwortyard/platform"
)

// uploadBytes is more than socket buffers hold, so that a backend server that does not read
// it can answer or reset the connection while it is being sent.
const uploadBytes = 16 << 20

// runEarlyAnswer runs an attempt with an upload whose answer the backend server sends before it
// reads the upload. The server ends the connection with end. It returns the result with its body.
func runEarlyAnswer(t *testing.T, framing, body string, end func(conn *net.TCPConn)) (*pipeline.Result, string) {
	t.Helper()
	exit := exitBeside(t, func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s\r\n%s", platform.HeaderAttemptID,
			r.Header.Get(platform.HeaderAttemptID), platform.HeaderResponseSignature, framing, body)
		end(conn.(*net.TCPConn))
	})
	req := attempt("1")
	req.Method, req.Payload, req.Deadline = http.MethodPut, make([]byte, uploadBytes), time.Now().Add(30*time.Second)
	result := exit.run(t.Context(), req)
	if result.Body == nil {
		return result, ""
	}
	var got bytes.Buffer
	if _, err := got.ReadFrom(result.Body); err != nil {
		t.Fatal(err)
	}
	return result, got.String()
}

func resetConnection(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// endAnswer ends the server's side of the connection and reads the rest of the upload.
func endAnswer(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// crash ends the connection like a process that is killed after it has read what had arrived.
func crash(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	resetConnection(conn)
}

// Guards against part of an answer passed on as the whole: if a reset fails the write of an
// upload, the next read reports an orderly end.
func TestResetDuringAnUploadDoesNotEndAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name, framing, body string
		end                 func(conn *net.TCPConn)
	}{
		{"no length, reset", "", "part", resetConnection},
		{"no length, crash", "", "part", crash},
		{"closing, reset", "Connection: close\r\n", "part", resetConnection},
		{"length, reset", "Content-Length: 8\r\n", "part", resetConnection},
		{"chunks, reset", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n", resetConnection},
		{"chunks without the last line, reset", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n", resetConnection},
	} {
		result, got := runEarlyAnswer(t, c.framing, c.body, c.end)
		if result.Outcome != pipeline.Unknown || result.Status != http.StatusBadGateway {
			t.Errorf("%s: status %d, outcome %v, body %q", c.name, result.Status, result.Outcome, got)
		}
	}
}

// Guards against whole answers that are lost because the server sent them before it read the upload.
func TestWholeAnswersBeforeTheEndOfAnUploadAreDelivered(t *testing.T) {
	for _, c := range []struct {
		name, framing, body string
		end                 func(conn *net.TCPConn)
	}{
		{"length, read on", "Content-Length: 5\r\n", "whole", endAnswer},
		{"length, reset", "Content-Length: 5\r\n", "whole", resetConnection},
		{"chunks, read on", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n", endAnswer},
		{"chunks, reset", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n", resetConnection},
		{"no length, read on", "", "whole", endAnswer},
	} {
		if result, got := runEarlyAnswer(t, c.framing, c.body, c.end); result.Status != http.StatusOK || got != "whole" {
			t.Errorf("%s: status %d, outcome %v, body %q", c.name, result.Status, result.Outcome, got)
		}
	}
}
