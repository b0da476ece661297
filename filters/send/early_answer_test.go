package send

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/httpsend"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// uploadBytes is more than socket buffers hold.
const uploadBytes = 16 << 20

// sendUpload sends an upload to a backend server that answers before it reads the upload, and
// then reads it or resets the connection. It returns what a caller gets, and whether that is cut.
func sendUpload(t *testing.T, answer string, reset bool) (status int, body string, cut bool) {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s", answer)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}))
	defer backend.Close()
	transport := httpsend.NewBackendTransport()
	defer transport.CloseIdleConnections()
	filter := &Filter{
		Addr: strings.TrimPrefix(backend.URL, "http://"), Transport: transport, Reachable: func(string) bool { return true },
		Started: func(uint64, string, time.Time) {}, Observe: func(Observation) {},
	}
	req := &pipeline.Request{
		ID: "1", Method: http.MethodPut, Path: "/", Deadline: time.Now().Add(30 * time.Second),
		Body: bytes.NewReader(make([]byte, uploadBytes)), ContentLength: uploadBytes,
	}
	result := filter.Handle(t.Context(), req)
	defer req.Complete(pipeline.Completion{Outcome: result.Outcome, Code: result.Code, Status: result.Status})
	if result.Body == nil {
		return result.Status, "", false
	}
	defer result.Body.Close()
	read, err := io.ReadAll(result.Body)
	return result.Status, string(read), err != nil
}

// Guards against part of an answer passed on as the whole, because the reset that cut it failed
// the write of the upload and is not seen by the next read.
func TestResetDuringAnUploadDoesNotEndAnAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"no length":                    "\r\npart",
		"length":                       "Content-Length: 8\r\n\r\npart",
		"chunks":                       "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"chunks without the last line": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
	} {
		if status, body, cut := sendUpload(t, answer, true); status == http.StatusOK && !cut {
			t.Errorf("%s: body %q as a whole answer", name, body)
		}
	}
}

// Guards against whole answers that are lost because the server sent them before it read the upload.
func TestWholeAnswersBeforeTheEndOfAnUploadAreDelivered(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "Content-Length: 5\r\n\r\nwhole",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		if status, body, cut := sendUpload(t, answer, false); status != http.StatusOK || body != "whole" || cut {
			t.Errorf("%s: status %d, body %q, cut %t", name, status, body, cut)
		}
	}
}
