package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/internal/httpconn"
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
	requestTimeout = 4 * time.Second
	// connectTimeout is how long a caller waits for a connection.
	connectTimeout = time.Second
	// idleConnTimeout is how long callers keep an idle connection.
	idleConnTimeout = 5 * time.Second
)

// loadGenerator sends the requests of all callers to one host. It keeps using its
// open connections until the process closes them, also during a shutdown.
type loadGenerator struct {
	testbed  *testbed
	host     int
	random   *rand.Rand
	client   *httpconn.Client
	inFlight sync.WaitGroup
}

func newLoadGenerator(tb *testbed, host int, seed uint64) *loadGenerator {
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	}
	return &loadGenerator{
		testbed: tb, host: host, random: rand.New(rand.NewPCG(seed, uint64(host)+1)),
		client: httpconn.NewClient(httpconn.Options{Dial: dial, MaxIdle: idleConnTimeout, MaxIdlePerAddr: 16}),
	}
}

// run sends requests until ctx is done and waits for the last ones.
func (g *loadGenerator) run(ctx context.Context) {
	for n := 0; ; n++ {
		pause := time.Duration(g.random.ExpFloat64() / requestsPerSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			g.inFlight.Wait()
			g.client.Close()
			return
		case <-time.After(pause):
		}
		team := g.random.IntN(teamCount)
		r := &request{
			id: fmt.Sprintf("%x.%x", g.host, n), host: g.host, idempotent: g.random.IntN(2) == 0,
			team: teamName(team), key: g.testbed.key(team),
		}
		if g.random.IntN(oldKeyOneIn) == 0 {
			r.key = g.testbed.oldKey(team) // withdrawn already, or by the next withdrawal
		}
		g.inFlight.Go(func() { g.send(r) })
	}
}

// send sends one request and reports its result to the invariant checker.
func (g *loadGenerator) send(r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	header := http.Header{}
	header.Set(platform.HeaderAttemptID, r.id)
	header.Set(platform.HeaderAPIKey, r.key)
	header.Set(platform.HeaderDeadline, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	method, path := http.MethodPost, pathOnce
	var payload []byte
	if r.idempotent {
		method, path = http.MethodGet, pathRepeatable
	} else {
		payload = []byte("body of " + r.id)
	}
	addr := g.testbed.hosts[g.host].callerAddr
	g.testbed.checker.recordSent(r)
	resp, err := g.client.Do(ctx, &httpconn.Exchange{
		Addr: addr, Body: payload,
		Request: httpconn.NewRequest(method, addr, routeHost, path+r.id, "", header),
	})
	if err != nil {
		var failure *httpconn.Error
		connected := errors.As(err, &failure) && failure.Kind != httpconn.NotConnected
		g.testbed.checker.recordFailure(r, connected && ctx.Err() == nil)
		return
	}
	g.testbed.checker.recordResponse(r, resp.Status, string(resp.Body), resp.Header.Get(platform.HeaderResponseSignature))
}
