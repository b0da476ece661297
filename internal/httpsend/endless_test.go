package httpsend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against a process that runs out of memory because a backend server sends a header
// without end.
func TestEndlessHeaderIsCut(t *testing.T) {
	for name, start := range map[string]string{"no response": "", "one header line": "HTTP/1.1 200 OK\r\nLong: "} {
		var sent atomic.Int64
		transport := NewBackendTransport()
		transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe() // without buffers: a byte counts when the client has read it
			go func() {
				defer server.Close()
				if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
					return
				}
				_, err := io.WriteString(server, start)
				for chunk := make([]byte, 4096); err == nil; {
					for i := range chunk {
						chunk[i] = 'x'
					}
					var n int
					n, err = server.Write(chunk)
					sent.Add(int64(n))
				}
			}()
			return client, nil
		}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://backend/", nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp, err := transport.RoundTrip(req); err == nil {
			resp.Body.Close()
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
		const readBuffers = 16 << 10
		if sent.Load() > MaxBackendHeaderBytes+readBuffers {
			t.Errorf("%s: %d bytes were read", name, sent.Load())
		}
	}
}
