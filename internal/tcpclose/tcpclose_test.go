package tcpclose

import (
	"io"
	"net"
	"testing"
)

// Guards against unread requests that are taken for dropped ones, and the reverse.
func TestPeerHadRead(t *testing.T) {
	for name, c := range map[string]struct {
		read, sendAfterClose bool
		want                 bool
	}{
		"read":                     {read: true, want: true},
		"closed with unread bytes": {},
		"sent after the close":     {read: true, sendAfterClose: true},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		server, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, 4)
		if _, err := client.Write([]byte("ping")); err != nil {
			t.Fatal(err)
		}
		if c.read {
			if _, err := io.ReadFull(server, buf); err != nil {
				t.Fatal(err)
			}
		}
		server.Close()
		if c.sendAfterClose {
			_, _ = client.Write([]byte("late"))
		}
		_, readErr := client.Read(buf)
		if got := PeerHadRead(client.(*net.TCPConn), readErr); got != c.want {
			t.Errorf("%s: %v after %v", name, got, readErr)
		}
		client.Close()
		listener.Close()
	}
}
