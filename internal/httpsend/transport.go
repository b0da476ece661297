package httpsend

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts for connections. A connection that something between its ends has
// forgotten stays open and silent; the kernel and the HTTP/2 ping find it
// within about 2 s, idle or busy.
const (
	ConnectTimeout = 500 * time.Millisecond // a connection opens in about 1 ms, so this is loss, not load
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
	userTimeout    = 2 * time.Second // unacknowledged data for so long closes the connection
	pingInterval   = 500 * time.Millisecond
	pingTimeout    = 500 * time.Millisecond
)

// backendIdleTimeout closes idle connections to backend servers before common
// servers do (5 s and more), which keeps a request from meeting a connection
// that the backend server is just closing.
const backendIdleTimeout = 2 * time.Second

// hopIdleTimeout closes idle connections between processes.
const hopIdleTimeout = 30 * time.Second

// maxIdlePerHost covers the slots of one backend server with room for probes.
const maxIdlePerHost = 64

func dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
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
		DialContext:         dialer().DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     backendIdleTimeout,
		DisableCompression:  true,
	}
}

// NewHopTransport returns the transport between processes: HTTP/2, over TLS
// when config is not nil, else with prior knowledge. HTTP/2 carries streams both
// ways at once, cancels a request without closing the connection, and its ping
// finds silent connections.
func NewHopTransport(config *tls.Config) *http.Transport {
	protocols := new(http.Protocols)
	if config != nil {
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Transport{
		DialContext:        dialer().DialContext,
		TLSClientConfig:    config,
		Protocols:          protocols,
		IdleConnTimeout:    hopIdleTimeout,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
}

// Dial opens a TCP connection with the same timeouts, for control messages.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	return dialer().DialContext(ctx, "tcp", addr)
}

// DialTCP is Dial in the form that http.Transport takes.
func DialTCP(ctx context.Context, network, addr string) (net.Conn, error) {
	return dialer().DialContext(ctx, network, addr)
}
