//go:build review

package bed

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// backend is a sound backend server: it runs at most as many requests at once as it has
// slots, refuses the rest as not executed, and stops work when the channel closes or at the
// deadline.
type backend struct {
	record  *recorder
	service string
	addr    string
	slots   int
	work    time.Duration
	// crashes reports whether a request crashes the server that begins to run it.
	crashes func(r *run) bool
	// downTime is how long a crashed server is away.
	downTime time.Duration

	mu       sync.Mutex
	id       string
	born     int64
	starts   int
	running  int
	listener net.Listener
	conns    map[net.Conn]bool
	leaving  bool // it has left the list and serves on
	changed  chan struct{}
	runs     []run
}

// run is a request that a backend server began to work on.
type run struct {
	at                                        time.Time
	backend, service, attempt, method, target string
	host, team, caller                        string
	body                                      uint64 // hash
	length                                    int
}

func newBackend(record *recorder, service, addr string, slots int, work time.Duration) *backend {
	return &backend{record: record, service: service, addr: addr, slots: slots, work: work, downTime: 2 * time.Second, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
}

// start listens under a new identifier.
func (b *backend) start() {
	listener, err := net.Listen("tcp", b.addr)
	for range 50 {
		if err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
		listener, err = net.Listen("tcp", b.addr)
	}
	must(err)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	b.id = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "-", ":", "-").Replace(b.addr), b.starts)
	b.born, b.listener, b.running = time.Now().UnixMilli(), listener, 0
	b.notify()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[conn] = true
			b.mu.Unlock()
			go b.serve(conn)
		}
	}()
}

// notify wakes wait. The caller holds the lock.
func (b *backend) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// wait returns after d, or when the server starts or crashes.
func (b *backend) wait(d time.Duration) {
	b.mu.Lock()
	changed := b.changed
	b.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(d):
	}
}

func (b *backend) state() (id string, born int64, alive bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.id, b.born, b.listener != nil
}

// leave makes the server leave without a notice, and returns its identifier. It serves on.
func (b *backend) leave() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
	return b.id
}

func (b *backend) left() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving
}

// crash ends the server as a crash does, and starts it again later.
func (b *backend) crash() {
	b.mu.Lock()
	if b.listener == nil {
		b.mu.Unlock()
		return
	}
	_ = b.listener.Close()
	b.listener = nil
	for conn := range b.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	clear(b.conns)
	b.mu.Unlock()
	time.AfterFunc(b.downTime, b.start)
}

// serve serves the requests of a connection one after the other.
func (b *backend) serve(conn net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		digest := fnv.New64a()
		length, err := io.Copy(digest, r.Body)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if !b.answer(conn, r, int(length), digest.Sum64()) {
			return
		}
	}
}

// answer runs one request and writes its answer. It returns false if the connection ends.
func (b *backend) answer(conn net.Conn, r *http.Request, length int, body uint64) bool {
	attempt := r.Header.Get("Attempt-Id")
	write := func(status int, text string, fields ...string) bool {
		b.mu.Lock()
		load := fmt.Sprintf("%d,0,%d", b.running, b.slots)
		b.mu.Unlock()
		head := fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nBackend-Load: %s\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), attempt, load)
		for _, field := range fields {
			head += field + "\r\n"
		}
		_, err := io.WriteString(conn, head+"Content-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)
		return err == nil
	}
	b.mu.Lock()
	id := b.id
	expected := r.Header.Get("Expected-Instance")
	switch {
	case r.URL.Path == "/health" && attempt == "":
		b.mu.Unlock()
		return write(http.StatusOK, "", "Instance-Id: "+id)
	case expected != "" && expected != id:
		b.mu.Unlock()
		return write(http.StatusMisdirectedRequest, "", "Instance-Id: "+id)
	case b.running >= b.slots:
		b.mu.Unlock()
		return write(http.StatusServiceUnavailable, "", "Not-Executed: 1")
	}
	b.running++
	begun := run{
		at: time.Now(), backend: id, service: b.service, attempt: attempt, method: r.Method, target: r.RequestURI, host: r.Host,
		team: r.Header.Get("Tenant-Id"), caller: r.Header.Get("Caller-Service"), body: body, length: length,
	}
	b.runs = append(b.runs, begun)
	b.mu.Unlock()
	b.record.printf("%s: runs %s: %s %s (Host %s, %d bytes) of tenant %q from service %q", id, attempt, r.Method, r.RequestURI, r.Host, length, begun.team, begun.caller)
	if b.crashes != nil && b.crashes(&begun) {
		b.record.printf("%s: crashes", id)
		b.crash()
		return false
	}
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	if !b.workFor(conn, r) {
		b.record.printf("%s: stops work on %s, the channel was closed", id, attempt)
		return false
	}
	text := answerText(attempt)
	b.record.printf("%s: answers %s with 200", id, attempt)
	return write(http.StatusOK, text, "Response-Signature: "+signature(id, text))
}

// workFor works on a request. It returns false if the channel closes meanwhile.
func (b *backend) workFor(conn net.Conn, r *http.Request) bool {
	work := b.work
	if millis, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		work = min(work, time.Duration(millis)*time.Millisecond)
	}
	_ = conn.SetReadDeadline(time.Now().Add(work))
	_, err := conn.Read(make([]byte, 1)) // nothing is sent before the answer
	_ = conn.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

func answerText(attempt string) string { return "answer to " + attempt + "\n" }

func signature(id, text string) string {
	digest := fnv.New64a()
	_, _ = io.WriteString(digest, id+"|"+text)
	return fmt.Sprintf("%s.%x", id, digest.Sum64())
}

// allRuns returns the runs of all backend servers.
func (b *bed) allRuns() []run {
	var all []run
	for _, h := range b.hosts {
		h.backend.mu.Lock()
		all = append(all, h.backend.runs...)
		h.backend.mu.Unlock()
	}
	return all
}
