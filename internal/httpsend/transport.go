package httpsend

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/ragwortyard/ragwortyard/internal/httpconn"
)

// Connection timeouts. A connection whose state a middlebox has dropped stays open
// without delivering anything; TCP keep-alive, the TCP user timeout and the HTTP/2 ping
// detect it within about 2 s, whether idle or in use.
const (
	ConnectTimeout    = 500 * time.Millisecond // connecting takes about 1 ms, so a timeout means packet loss, not load
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	userTimeout       = 2 * time.Second // closes the connection if sent data stays unacknowledged
	pingInterval      = 500 * time.Millisecond
	pingTimeout       = 500 * time.Millisecond
)

// backendIdleTimeout closes idle connections to backend servers before common servers
// do (after 5 s or more), so that no request is sent on a connection that the backend
// server is closing.
const backendIdleTimeout = 2 * time.Second

// hopIdleTimeout is the time after which idle connections between processes are closed.
const hopIdleTimeout = 30 * time.Second

// maxIdleConnsPerHost is more than the slots of one backend server, which leaves room for
// health probes.
const maxIdleConnsPerHost = 64

// MaxBackendHeaderBytes limits the memory for a backend server that sends a header without
// end. The limit of net/http, 10 MB for each request, would add up to gigabytes.
const MaxBackendHeaderBytes = 64 << 10

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// NewBackendTransport returns the transport for the last hop: HTTP/1.1 to
// backend servers on the same host.
func NewBackendTransport() *http.Transport {
	return &http.Transport{
		DialContext:         newDialer().DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     backendIdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: MaxBackendHeaderBytes,
	}
}

// NewHopTransport returns the transport between processes: HTTP/2, over TLS
// when config is not nil, else with prior knowledge (h2c). HTTP/2 multiplexes
// bidirectional streams, cancels a request without closing the connection, and its ping
// detects dead connections.
func NewHopTransport(config *tls.Config) *http.Transport {
	protocols := new(http.Protocols)
	if config != nil {
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Transport{
		DialContext:        newDialer().DialContext,
		TLSClientConfig:    config,
		Protocols:          protocols,
		IdleConnTimeout:    hopIdleTimeout,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
}

// CheckHeads returns an HTTP/1.1 transport that refuses responses with an invalid head, some of
// which http.Transport accepts.
func CheckHeads(transport http.RoundTripper) http.RoundTripper { return checkedTransport{transport} }

type checkedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := httpconn.CheckResponse(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// Dial opens a TCP connection with the timeouts of the transports, for control messages.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	return newDialer().DialContext(ctx, "tcp", addr)
}

// DialTCP is Dial with the signature of http.Transport.DialContext.
func DialTCP(ctx context.Context, network, addr string) (net.Conn, error) {
	return newDialer().DialContext(ctx, network, addr)
}
