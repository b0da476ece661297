package fleet

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// uploadBytes is more than socket buffers and windows hold.
const uploadBytes = 16 << 20

type connKey struct{}

// sendUpload sends an upload to a peer that writes an answer before it reads the upload, and then
// ends its handler with end. It returns what the caller gets, and whether that is cut.
func sendUpload(t *testing.T, end func(conn *net.TCPConn)) (outcome pipeline.Outcome, body string, cut bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewHopServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		encodeResult(w.Header(), &pipeline.Result{Outcome: pipeline.Answered}, r.Header.Get(headerAttemptID), Load{})
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		end(r.Context().Value(connKey{}).(*net.TCPConn))
	}))
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	client := NewHopClient(nil)
	defer client.Close()
	req := &pipeline.Request{
		ID: "a-1", Method: http.MethodPut, Path: "/", Service: "roster", Deadline: time.Now().Add(30 * time.Second),
		Body: bytes.NewReader(make([]byte, uploadBytes)), ContentLength: uploadBytes,
	}
	result := client.Do(t.Context(), req, listener.Addr().String(), "roster-1").Result
	if result.Body == nil {
		return result.Outcome, "", false
	}
	defer result.Body.Close()
	read, err := io.ReadAll(result.Body)
	return result.Outcome, string(read), err != nil
}

// Guards against part of an answer taken for the whole, if its connection or stream is reset
// during the upload, and against whole answers that are lost because they came before its end.
func TestResetDuringAnUploadDoesNotEndAnAnswer(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"connection": func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() },
		"stream":     func(*net.TCPConn) { panic(http.ErrAbortHandler) },
	} {
		if outcome, body, cut := sendUpload(t, end); outcome == pipeline.Answered && !cut {
			t.Errorf("%s: body %q as a whole answer", name, body)
		}
	}
	if outcome, body, cut := sendUpload(t, func(*net.TCPConn) {}); outcome != pipeline.Answered || body != "part" || cut {
		t.Errorf("whole answer: outcome %v, body %q, cut %t", outcome, body, cut)
	}
}
