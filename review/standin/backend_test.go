//go:build review

package standin

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that a backend server began to work on.
type run struct {
	attempt, method, target, host string
	service, backend              string // of the server
	callerService, tenant         string
	bodyBytes                     int
	began                         time.Time
	ended                         time.Time // zero while the server works
	completed                     bool      // the answer was written
}

// backend is a sound backend server as PROTOCOL.md describes it.
type backend struct {
	slots   int
	queue   int
	work    func(path string) time.Duration
	service string
	record  *recorder

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	running  chan struct{} // a place for each slot
	waiting  int
	runs     []*run
	server   *http.Server
	stopped  chan struct{}
}

func newBackend(slots int, work func(path string) time.Duration) *backend {
	return &backend{slots: slots, queue: 72, work: work, running: make(chan struct{}, slots)}
}

func (b *backend) start(addr, id string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.id, b.born, b.sequence = id, time.Now().UnixMilli(), 0
	b.server, b.stopped = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}, make(chan struct{})
	server, stopped := b.server, b.stopped
	b.mu.Unlock()
	go func() {
		defer close(stopped)
		_ = server.Serve(listener)
	}()
	return nil
}

func (b *backend) close() {
	b.mu.Lock()
	server, stopped := b.server, b.stopped
	b.mu.Unlock()
	_ = server.Close()
	<-stopped
}

// identity returns the identifier, the start and the next sequence number.
func (b *backend) identity() (string, int64, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return b.id, b.born, b.sequence
}

// runsOf returns copies of the runs of an attempt.
func (b *backend) runsOf(attempt string) []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []run
	for _, r := range b.runs {
		if r.attempt == attempt {
			found = append(found, *r)
		}
	}
	return found
}

// signature proves that an answer is this server's.
func signature(id, body string) string {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, id+"|"+body)
	return fmt.Sprintf("%s.%x", id, sum.Sum64())
}

func answerBody(attempt string) string { return "answer to " + attempt + "\n" }

// ServeHTTP runs one request, or says that it has not run it.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	id := b.id
	b.mu.Unlock()
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Instance-Id", id)
	if r.URL.Path == "/health" {
		return
	}
	if attempt == "" {
		refuse(w, http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ctx := r.Context()
	if millis, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(millis)*time.Millisecond)
		defer cancel()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the channel ended before the request was whole
	}
	if !b.acquire(ctx) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.running }()
	b.execute(ctx, w, r, id, attempt, len(body))
}

// refuse states that the server has not run the request.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// acquire waits for a slot.
func (b *backend) acquire(ctx context.Context) bool {
	b.mu.Lock()
	if b.waiting >= b.queue {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	select {
	case b.running <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *backend) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, id, attempt string, bodyBytes int) {
	done := &run{
		attempt: attempt, method: r.Method, target: r.RequestURI, host: r.Host, service: b.service, backend: id,
		callerService: r.Header.Get("Caller-Service"), tenant: r.Header.Get("Tenant-Id"), bodyBytes: bodyBytes, began: time.Now(),
	}
	b.mu.Lock()
	b.runs = append(b.runs, done)
	b.mu.Unlock()
	b.record.printf("run: %s of service %s begins %s: %s %s, host %s, %d bytes, Caller-Service %s, Tenant-Id %s",
		id, b.service, attempt, r.Method, r.RequestURI, r.Host, bodyBytes, done.callerService, done.tenant)
	timer := time.NewTimer(b.work(r.URL.Path))
	defer timer.Stop()
	completed := false
	select {
	case <-timer.C:
		completed = true
	case <-ctx.Done():
	}
	b.mu.Lock()
	done.ended, done.completed = time.Now(), completed
	b.mu.Unlock()
	b.record.printf("run: %s ends %s, completed: %v", id, attempt, completed)
	if !completed {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	text := answerBody(attempt)
	w.Header().Set("Response-Signature", signature(id, text))
	w.Header().Set("Backend-Load", fmt.Sprintf("%d,%d,%d", len(b.running), 0, b.slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}
