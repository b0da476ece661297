package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// faultProxy forwards TCP connections to one address and injects faults. The faults
// set in its fields apply to all bytes forwarded while they are set.
type faultProxy struct {
	target   string
	delay    atomic.Int64 // nanoseconds added to each read
	cutIn    atomic.Bool  // drop bytes to the target
	cutOut   atomic.Bool  // drop bytes from the target
	listener net.Listener
	accepted chan struct{} // closed when accept has returned

	mu    sync.Mutex
	conns map[*proxiedConn]bool
}

// proxiedConn is a client connection and the matching connection to the target.
type proxiedConn struct {
	client, server net.Conn
	silent         atomic.Bool // drop all bytes in both directions
}

func newFaultProxy(addr, target string) (*faultProxy, error) {
	listener, err := listen(addr)
	if err != nil {
		return nil, err
	}
	p := &faultProxy{target: target, listener: listener, accepted: make(chan struct{}), conns: make(map[*proxiedConn]bool)}
	go p.accept()
	return p, nil
}

func (p *faultProxy) accept() {
	defer close(p.accepted)
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.forward(client)
	}
}

func (p *faultProxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client) // a port without a listener resets the connection
		return
	}
	conn := &proxiedConn{client: client, server: server}
	p.mu.Lock()
	p.conns[conn] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copyBytes(conn, server, client, &p.cutIn); done <- struct{}{} }()
	go func() { p.copyBytes(conn, client, server, &p.cutOut); done <- struct{}{} }()
	<-done
	if !conn.silent.Load() {
		_, _ = client.Close(), server.Close()
	}
	<-done
	_, _ = client.Close(), server.Close()
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
}

// copyBytes copies until one side closes. After bytes were dropped it forwards
// nothing more in that direction, since the stream would have a gap.
func (p *faultProxy) copyBytes(conn *proxiedConn, to, from net.Conn, cut *atomic.Bool) {
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		if d := time.Duration(p.delay.Load()); d > 0 {
			time.Sleep(d)
		}
		lost = lost || (n > 0 && (cut.Load() || conn.silent.Load()))
		if n > 0 && !lost {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && !lost:
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		default:
			return
		}
	}
}

// silenceOpenConns makes the open connections drop all bytes; new ones work.
func (p *faultProxy) silenceOpenConns() { p.each(func(conn *proxiedConn) { conn.silent.Store(true) }) }

// resetAll resets the open connections.
func (p *faultProxy) resetAll() {
	p.each(func(conn *proxiedConn) { reset(conn.client); reset(conn.server) })
}

func (p *faultProxy) each(do func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		do(conn)
	}
}

func (p *faultProxy) close() {
	_ = p.listener.Close()
	<-p.accepted // so that the next run can listen on the address
	p.resetAll()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// datagramRelay forwards the datagrams between the hosts. Hosts send to the public
// address of a peer and receive from the public address of the sender.
type datagramRelay struct {
	sockets []*net.UDPConn // by host, bound to the public addresses
	targets []*net.UDPAddr // by host: private address
	hosts   map[string]int // host by private IP address
	lost    []atomic.Bool  // by host: drop all datagrams to it
	readers sync.WaitGroup
}

func newDatagramRelay(public, private []string) (*datagramRelay, error) {
	d := &datagramRelay{hosts: make(map[string]int), lost: make([]atomic.Bool, len(public))}
	for i := range public {
		at, err := net.ResolveUDPAddr("udp4", public[i])
		if err != nil {
			return nil, err
		}
		target, err := net.ResolveUDPAddr("udp4", private[i])
		if err != nil {
			return nil, err
		}
		socket, err := net.ListenUDP("udp4", at)
		if err != nil {
			d.close()
			return nil, err
		}
		d.sockets, d.targets = append(d.sockets, socket), append(d.targets, target)
		d.hosts[target.IP.String()] = i
	}
	return d, nil
}

// start forwards datagrams until close.
func (d *datagramRelay) start() {
	for to := range d.sockets {
		d.readers.Go(func() {
			buf := make([]byte, 64<<10)
			for {
				n, from, err := d.sockets[to].ReadFromUDP(buf)
				if err != nil {
					return // closed
				}
				sender, known := d.hosts[from.IP.String()]
				if known && !d.lost[to].Load() {
					_, _ = d.sockets[sender].WriteToUDP(buf[:n], d.targets[to])
				}
			}
		})
	}
}

func (d *datagramRelay) close() {
	for _, socket := range d.sockets {
		_ = socket.Close()
	}
	d.readers.Wait()
}
