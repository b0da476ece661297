package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// callResult is what a caller observed of one request.
type callResult struct {
	SentAt   time.Time
	Latency  time.Duration
	Team     string
	Service  string
	Status   int
	Code     string // value of the header Ragwort-Code
	Outcome  string // value of the header Ragwort-Outcome
	Intact   bool   // the answer is complete and belongs to the request
	NoAnswer bool   // no complete answer, for example because of a reset connection
	ID       string // sent as X-Request-Id
}

// ok reports whether the caller got a successful, intact answer.
func (c callResult) ok() bool { return !c.NoAnswer && c.Intact && c.Status == http.StatusOK }

// requestStream describes the requests of one team to one service: they are sent at a
// steady average rate through randomly chosen entries, without waiting for answers.
type requestStream struct {
	Team    string
	Key     string
	Service string
	Rate    float64 // requests per second
	Seed    uint64
}

// loadGenerator sends request streams and records their results.
type loadGenerator struct {
	fleet  *Fleet
	client *http.Client
	ids    atomic.Uint64

	mu    sync.Mutex // guards calls
	calls []callResult
	wg    sync.WaitGroup
}

// callerTimeout exceeds every deadline, so that a call that runs into it reveals a
// fault of the fleet.
const callerTimeout = 5 * time.Second

func newLoadGenerator(f *Fleet) *loadGenerator {
	return &loadGenerator{
		fleet: f,
		client: &http.Client{
			Timeout:   callerTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 100, MaxIdleConns: 10_000},
		},
	}
}

// start sends a stream until ctx is done.
func (c *loadGenerator) start(ctx context.Context, s requestStream) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.run(ctx, s)
	}()
}

func (c *loadGenerator) run(ctx context.Context, s requestStream) {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	next := time.Now()
	for {
		interval := time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		next = next.Add(interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		entry := c.fleet.entry(random)
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.record(c.send(s, entry))
		}()
	}
}

func (c *loadGenerator) record(result callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, result)
}

// send sends one request and reads the whole answer.
func (c *loadGenerator) send(s requestStream, entry string) callResult {
	id := fmt.Sprintf("%s-%s-%d", s.Team, s.Service, c.ids.Add(1))
	result := callResult{SentAt: time.Now(), Team: s.Team, Service: s.Service, ID: id}
	req, err := http.NewRequest(http.MethodPost, entry+"/"+s.Service+"/item", strings.NewReader(id))
	if err != nil {
		result.NoAnswer = true
		return result
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	req.Header.Set("X-Request-Id", id)
	resp, err := c.client.Do(req)
	if err != nil {
		result.NoAnswer, result.Latency = true, time.Since(result.SentAt)
		return result
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	result.Latency = time.Since(result.SentAt)
	result.Status = resp.StatusCode
	result.Code = resp.Header.Get("Ragwort-Code")
	result.Outcome = resp.Header.Get("Ragwort-Outcome")
	result.NoAnswer = err != nil
	result.Intact = err == nil && (result.Status != http.StatusOK || strings.Contains(string(body), id))
	return result
}

// wait returns the results of all calls after every stream and request has ended.
func (c *loadGenerator) wait() []callResult {
	c.wg.Wait()
	c.client.CloseIdleConnections()
	return c.calls
}

// entry returns the URL of a random process that accepts callers.
func (f *Fleet) entry(random *rand.Rand) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[random.IntN(len(f.entries))]
}

// removeEntry makes callers connect to other processes, as a name service would once a
// host is listed as leaving.
func (f *Fleet) removeEntry(url string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := make([]string, 0, len(f.entries))
	for _, e := range f.entries {
		if e != url {
			kept = append(kept, e)
		}
	}
	f.entries = kept
}
