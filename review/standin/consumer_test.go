//go:build review

package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// request is one consumer attempt and what became of it.
type request struct {
	id, machine  string
	method, path string
	host, key    string
	deadline     time.Duration
	body         []byte
	sent         time.Time // when its last byte was sent
	ended        time.Time // when the answer was complete or the channel ended
	status       int       // 0 without a complete head
	signature    string
	answer       string
	retryAfter   time.Duration
	err          error // the channel ended without a complete answer
	kept         bool  // the channel had carried an answer before
}

// consumerGroup sends requests to the processes and remembers them.
type consumerGroup struct {
	fleet  *fleet
	record *recorder
	nextID atomic.Int64

	mu       sync.Mutex
	requests []*request
}

func (g *consumerGroup) newRequest(m *machine, method, path, key string, deadline time.Duration, body []byte) *request {
	r := &request{
		id: fmt.Sprintf("%016x", g.nextID.Add(1)), machine: m.name, method: method, path: path, host: routeHost, key: key, deadline: deadline, body: body,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests = append(g.requests, r)
	return r
}

// all returns the requests that have ended, and the others.
func (g *consumerGroup) all() []*request {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*request(nil), g.requests...)
}

// runsOf returns the runs of a request at all backend servers.
func (g *consumerGroup) runsOf(r *request) []run {
	var runs []run
	for _, m := range g.fleet.machines {
		runs = append(runs, m.backend.runsOf(r.id)...)
	}
	return runs
}

// channel is a consumer's channel to the process of its machine.
type channel struct {
	net.Conn
	reader *bufio.Reader
	used   bool // it has carried an answer
}

func (f *fleet) dial(m *machine) (*channel, error) {
	conn, err := net.DialTimeout("tcp", f.addr(m.ip, portOutbound), time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send writes a whole request.
func (g *consumerGroup) send(c *channel, r *request) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&head, "Api-Key: %s\r\n", r.key)
	}
	if len(r.body) > 0 || r.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.body))
	}
	head.WriteString("\r\n")
	_ = c.SetDeadline(time.Now().Add(r.deadline + time.Second))
	parts := net.Buffers{head.Bytes(), r.body}
	_, err := parts.WriteTo(c.Conn)
	r.sent = time.Now()
	g.record.printf("sent: %s to %s: %s %s, %d bytes", r.id, r.machine, r.method, r.path, len(r.body))
	return err
}

// receive reads the answer. It reports whether the channel can be used again.
func (g *consumerGroup) receive(c *channel, r *request) bool {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err == nil {
		r.status, r.signature = resp.StatusCode, resp.Header.Get("Response-Signature")
		if seconds, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); parseErr == nil {
			r.retryAfter = time.Duration(seconds * float64(time.Second))
		}
		var text []byte
		text, err = io.ReadAll(resp.Body)
		r.answer = string(text)
	}
	r.err, r.ended = err, time.Now()
	if err != nil {
		g.record.printf("cut: %s at %s after %d ms: %v", r.id, r.machine, r.ended.Sub(r.sent).Milliseconds(), err)
		return false
	}
	g.record.printf("answered: %s at %s after %d ms: %d, signature %q, %d bytes", r.id, r.machine, r.ended.Sub(r.sent).Milliseconds(), r.status, r.signature, len(r.answer))
	c.used = true
	return !resp.Close
}

// loop sends requests one after the other on a kept channel until the end, while the
// machine is ready.
func (g *consumerGroup) loop(m *machine, end time.Time, next func() *request) {
	var c *channel
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for time.Now().Before(end) {
		if !m.isReady() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if c == nil {
			var err error
			if c, err = g.fleet.dial(m); err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		r := next()
		r.kept = c.used
		err := g.send(c, r)
		keep := g.receive(c, r)
		if err != nil || !keep {
			_ = c.Close()
			c = nil
		}
		if r.status != http.StatusOK {
			time.Sleep(max(r.retryAfter, 200*time.Millisecond))
		}
	}
}
