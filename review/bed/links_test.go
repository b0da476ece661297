//go:build review

package bed

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// links carries what the processes send each other, between the addresses that the platform
// lists and those on which the processes listen.
type links struct {
	mu      sync.Mutex
	open    map[*link]bool
	sockets map[string]*net.UDPConn // by the private address of the host
	mute    atomic.Pointer[host]    // the machine whose datagrams are lost
	deaf    atomic.Pointer[host]    // the machine to which datagrams are lost
	watches chan struct{}           // receives a value when a process asks the store for changes of backend servers
}

// link is one channel between two machines.
type link struct {
	client, server net.Conn
	silent         atomic.Bool
}

// interpose gives each host a private address for its channels and datagrams.
func (b *bed) interpose() {
	b.links = &links{watches: make(chan struct{}, 1), open: make(map[*link]bool), sockets: make(map[string]*net.UDPConn)}
	for i, h := range b.hosts {
		h.private = fmt.Sprintf("127.%d.2.%d", b.octet, i+1)
		listener, err := net.Listen("tcp", net.JoinHostPort(h.ip, strconv.Itoa(b.peersPort)))
		must(err)
		go b.links.accept(listener, net.JoinHostPort(h.private, strconv.Itoa(b.peersPort)), func([]byte) {})
		toStore, err := net.Listen("tcp", net.JoinHostPort(h.private, strconv.Itoa(b.storePort)))
		must(err)
		go b.links.accept(toStore, b.storeAt, func(sent []byte) { b.links.storeCalled(h, sent) })
		h.storeAt = toStore.Addr().String()
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(h.ip), Port: b.datagramPort})
		must(err)
		b.links.sockets[h.private] = socket
	}
	for _, h := range b.hosts {
		target := &net.UDPAddr{IP: net.ParseIP(h.private), Port: b.datagramPort}
		go b.links.relay(h, b.links.sockets[h.private], target)
	}
}

// relay passes the datagrams to a host on, from the listed address of their sender.
func (l *links) relay(to *host, socket *net.UDPConn, target *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if sender := l.sockets[from.IP.String()]; sender != nil && l.deaf.Load() != to && !l.isMute(from) {
			_, _ = sender.WriteToUDP(buf[:n], target)
		}
	}
}

// accept passes the channels of a listener on. sent is called when the client sends bytes.
func (l *links) accept(listener net.Listener, target string, sent func([]byte)) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.(*net.TCPConn).SetLinger(0)
				_ = client.Close()
				return
			}
			channel := &link{client: client, server: server}
			l.mu.Lock()
			l.open[channel] = true
			l.mu.Unlock()
			go channel.copy(server, client, sent)
			channel.copy(client, server, func([]byte) {})
			l.mu.Lock()
			delete(l.open, channel)
			l.mu.Unlock()
		}()
	}
}

// copy passes bytes on until one side closes, and calls read for each. A silent channel loses
// them.
func (c *link) copy(to, from net.Conn, read func([]byte)) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			read(buf[:n])
		}
		if n > 0 && !c.silent.Load() {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			if !c.silent.Load() {
				if err != io.EOF {
					_ = to.(*net.TCPConn).SetLinger(0)
				}
				_ = to.Close()
			}
			return
		}
	}
}

// silence makes all open channels go silent for good; new ones work.
func (l *links) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for channel := range l.open {
		channel.silent.Store(true)
	}
	return len(l.open)
}

// storeCalled records what a process sends to the store.
func (l *links) storeCalled(h *host, sent []byte) {
	h.storeCalledAt.Store(time.Now().UnixNano())
	if bytes.Contains(sent, []byte("/api/kv-watch?")) && bytes.Contains(sent, []byte("servers")) {
		select {
		case l.watches <- struct{}{}:
		default:
		}
	}
}

// isMute reports whether the datagrams of a sender are lost.
func (l *links) isMute(from *net.UDPAddr) bool {
	mute := l.mute.Load()
	return mute != nil && mute.private == from.IP.String()
}
