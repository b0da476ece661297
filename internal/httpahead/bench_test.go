package httpahead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/ragwortyard/ragwortyard/internal/httpdrain"
)

// BenchmarkOneRequestAtATime compares connections with one request at a time with and without a Layer.
func BenchmarkOneRequestAtATime(b *testing.B) {
	for name, opts := range map[string]Options{"without": {}, "with": testOptions} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := httpdrain.NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })})
			defer server.Close()
			if opts.MayRunAhead == nil {
				go func() { _ = server.Serve(l) }()
			} else {
				go func() { _ = New(opts).Serve(server, l) }()
			}
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			request := "GET /path/of/usual/length HTTP/1.1\r\nHost: a.example\r\nAttempt: 9c41d07be2a35f68\r\nDeadline: 15000\r\nKey: 89anu6wsjnbanfqasnmg\r\n\r\n"
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(conn, request); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
}
