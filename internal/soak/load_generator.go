package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/platform"
)

const (
	// requestsPerSecond is the request rate at each host, an eighth of the capacity
	// of its backend server.
	requestsPerSecond = 12.0
	// oldKeyOneIn is the share of requests that carry the previous key, as one in
	// oldKeyOneIn. It is large enough that a host isolated for 2 s longer than
	// keyRevocationTime receives a request whose key was withdrawn in the meantime.
	oldKeyOneIn = 8
	// requestTimeout is how long a caller waits for a response.
	requestTimeout = 8 * time.Second
	// shortTimeout is how long the callers of one in shortTimeoutOneIn requests wait, like
	// those that return late after a refusal, and backend servers that make a call.
	shortTimeout      = 2 * time.Second
	shortTimeoutOneIn = 3
	// callOneIn is the share of requests during which a backend server makes a call, as one
	// in callOneIn.
	callOneIn = 2
)

// loadGenerator sends the requests of all callers to one host.
type loadGenerator struct {
	testbed  *testbed
	host     int
	random   *rand.Rand
	pool     *callerPool
	inFlight sync.WaitGroup
}

func newLoadGenerator(tb *testbed, host int, seed uint64) *loadGenerator {
	return &loadGenerator{
		testbed: tb, host: host, random: rand.New(rand.NewPCG(seed, uint64(host)+1)),
		pool: &callerPool{addr: tb.hosts[host].callerAddr},
	}
}

// run sends requests until ctx is done and waits for the last ones.
func (g *loadGenerator) run(ctx context.Context) {
	for n := 0; ; n++ {
		pause := time.Duration(g.random.ExpFloat64() / requestsPerSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			g.inFlight.Wait()
			g.pool.close()
			return
		case <-time.After(pause):
		}
		team := g.random.IntN(teamCount)
		r := &request{
			id: fmt.Sprintf("%x-%x", g.host, n), host: g.host, idempotent: g.random.IntN(2) == 0,
			team: teamName(team), key: g.testbed.key(team), timeout: requestTimeout,
		}
		if g.random.IntN(oldKeyOneIn) == 0 {
			r.key = g.testbed.oldKey(team) // withdrawn already, or by the next withdrawal
		}
		if g.random.IntN(shortTimeoutOneIn) == 0 {
			r.timeout = shortTimeout
		}
		path := pathOnce
		if r.idempotent {
			path = pathRepeatable
		}
		g.inFlight.Go(func() { g.testbed.checker.send(context.Background(), g.pool, r, path) })
	}
}

// send sends one request and records its result. It reports whether the request succeeded.
func (c *invariantChecker) send(ctx context.Context, pool *callerPool, r *request, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	method, payload := http.MethodPost, "body of "+r.id
	if r.idempotent {
		method, payload = http.MethodGet, ""
	}
	req, err := http.NewRequest(method, "http://"+pool.addr+path+r.id, strings.NewReader(payload))
	if err != nil {
		panic(err) // the address and the path are constant
	}
	req.Host = routeHost
	req.Header.Set(platform.HeaderAttemptID, r.id)
	if r.key != "" {
		req.Header.Set(platform.HeaderAPIKey, r.key)
	}
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(r.timeout.Milliseconds(), 10))
	c.recordSent(r)
	resp, err := pool.exchange(ctx, req)
	if err != nil {
		var ended *connEndedError
		if errors.As(err, &ended) {
			c.recordConnEnd(r, ended.at, ended.read)
		} else {
			c.recordFailure(r)
		}
		return false
	}
	c.recordResponse(r, resp.status, resp.body, resp.signature)
	return resp.status == http.StatusOK
}

func signatureOf(resp *http.Response) string {
	return resp.Header.Get(platform.HeaderResponseSignature)
}

// backendCaller makes the calls of the backend server of one host, through the process of
// that host.
type backendCaller struct {
	checker *invariantChecker
	host    int
	pool    *callerPool
	count   atomic.Int64
}

// call makes a call for one in callOneIn requests of callers. It reports false if the call
// failed.
func (b *backendCaller) call(ctx context.Context, attempt string) bool {
	n := b.count.Add(1)
	if strings.Contains(attempt, ".") || n%callOneIn != 0 {
		return true
	}
	r := &request{id: fmt.Sprintf("%s.%x-%x", attempt, b.host, n), host: b.host, idempotent: true, timeout: shortTimeout}
	if deadline, ok := ctx.Deadline(); ok {
		r.timeout = min(r.timeout, time.Until(deadline))
	}
	return b.checker.send(ctx, b.pool, r, pathCall)
}
