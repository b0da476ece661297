package httpfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// refuseUnread refuses requests before their body was read.
type refuseUnread struct{}

func (refuseUnread) Name() string { return "refuse" }

func (refuseUnread) Handle(context.Context, *pipeline.Request) *pipeline.Result {
	return pipeline.Refuse(pipeline.CodeKeysUnconfirmed, "")
}

// pipeListener accepts the connections that are sent to it.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	if conn, ok := <-l; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l pipeListener) Close() error {
	close(l)
	return nil
}

func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testRefusals runs a test with a connection to a server that refuses all requests, in
// virtual time. The server must log nothing.
func testRefusals(t *testing.T, test func(t *testing.T, conn net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		listener := make(pipeListener)
		server := NewServer(t.Context(), &Handler{Chain: pipeline.Chain{refuseUnread{}}})
		var serverLog strings.Builder
		server.ErrorLog = log.New(&serverLog, "", 0)
		go func() { _ = server.Serve(listener) }()
		client, accepted := net.Pipe()
		listener <- accepted
		test(t, client)
		client.Close()
		if err := server.Shutdown(t.Context()); err != nil || serverLog.Len() > 0 {
			t.Errorf("error %v, log of the server: %s", err, &serverLog)
		}
	})
}

func readRefusal(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("status %d, error %v", resp.StatusCode, err)
	}
}

// Guards against a refusal of a request with an unread body that ends the connection.
func TestRefusedBodiesKeepTheConnection(t *testing.T) {
	testRefusals(t, func(t *testing.T, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for _, body := range []string{"a", strings.Repeat("a", 100<<10), strings.Repeat("a", 400<<10)} {
			for _, text := range []string{
				fmt.Sprintf("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
				fmt.Sprintf("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
			} {
				go func() { _, _ = io.WriteString(conn, text) }()
				readRefusal(t, reader)
			}
		}
	})
}

// Guards against a refusal that waits for the body, and a connection that stays open for
// a body that does not arrive.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	for _, header := range []string{"", "Expect: 100-continue\r\n"} {
		testRefusals(t, func(t *testing.T, conn net.Conn) {
			began := time.Now()
			reader := bufio.NewReader(conn)
			fmt.Fprintf(conn, "POST /a HTTP/1.1\r\nHost: a\r\n%sContent-Length: 5\r\n\r\n", header)
			readRefusal(t, reader)
			if took := time.Since(began); took > 0 {
				t.Errorf("%q: refused after %v", header, took)
			}
			rest, err := io.ReadAll(reader)
			if took := time.Since(began); err != nil || len(rest) > 0 || took > time.Second {
				t.Errorf("%q: after the refusal: %q, error %v, closed after %v", header, rest, err, took)
			}
		})
	}
}
