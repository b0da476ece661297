package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy carries TCP connections to one address and makes them fail. Faults set by
// its fields hold for all bytes that pass while they are set.
type proxy struct {
	target   string
	delay    atomic.Int64 // added to each chunk, in nanoseconds
	cutIn    atomic.Bool  // bytes to the target are lost
	cutOut   atomic.Bool  // bytes of the target are lost
	listener net.Listener
	accepted chan struct{} // closed once the listener is released

	mu    sync.Mutex
	links map[*link]bool
}

// link is one connection with its other half.
type link struct {
	client, server net.Conn
	silent         atomic.Bool // nothing passes any more
}

func newProxy(addr, target string) (*proxy, error) {
	listener, err := listen(addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, accepted: make(chan struct{}), links: make(map[*link]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	defer close(p.accepted)
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.carry(client)
	}
}

func (p *proxy) carry(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client) // a port without a listener resets the connection
		return
	}
	l := &link{client: client, server: server}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.pump(l, server, client, &p.cutIn); done <- struct{}{} }()
	go func() { p.pump(l, client, server, &p.cutOut); done <- struct{}{} }()
	<-done
	if !l.silent.Load() {
		_, _ = client.Close(), server.Close()
	}
	<-done
	_, _ = client.Close(), server.Close()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// pump copies until one side closes. A connection from which bytes were lost
// passes nothing any more in that direction.
func (p *proxy) pump(l *link, to, from net.Conn, cut *atomic.Bool) {
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		if d := time.Duration(p.delay.Load()); d > 0 {
			time.Sleep(d)
		}
		lost = lost || (n > 0 && (cut.Load() || l.silent.Load()))
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

// silence makes the open connections go silent; new ones work.
func (p *proxy) silence() { p.each(func(l *link) { l.silent.Store(true) }) }

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.each(func(l *link) { reset(l.client); reset(l.server) })
}

func (p *proxy) each(do func(*link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		do(l)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	<-p.accepted // the address is free for the next run
	p.resetAll()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// datagrams carries the datagrams of the fleet: each host has a public address
// that the others send to, and gets them from the public address of the sender.
type datagrams struct {
	sockets []*net.UDPConn // by host, at the public addresses
	targets []*net.UDPAddr // private addresses by host
	hosts   map[string]int // by private IP number
	lost    []atomic.Bool  // by host: it gets none
	readers sync.WaitGroup
}

func newDatagrams(public, private []string) (*datagrams, error) {
	d := &datagrams{hosts: make(map[string]int), lost: make([]atomic.Bool, len(public))}
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

// start carries datagrams until close.
func (d *datagrams) start() {
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

func (d *datagrams) close() {
	for _, socket := range d.sockets {
		_ = socket.Close()
	}
	d.readers.Wait()
}
