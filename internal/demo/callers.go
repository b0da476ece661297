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

// callResult is what a caller saw of one request.
type callResult struct {
	At       time.Time // when it was sent
	Took     time.Duration
	Team     string
	Service  string
	Status   int
	Code     string // of the header Ragwort-Code
	Outcome  string // of the header Ragwort-Outcome
	Whole    bool   // the answer is whole and belongs to the request
	NoAnswer bool   // no answer, for example a reset connection
	ID       string // sent as X-Request-Id
}

// ok tells whether the caller got what it asked for.
func (c callResult) ok() bool { return !c.NoAnswer && c.Whole && c.Status == http.StatusOK }

// requestStream sends requests of one team to one service at a steady rate, through
// all entries in turn, whether or not earlier ones were answered.
type requestStream struct {
	Team    string
	Key     string
	Service string
	Rate    float64 // requests per second
	Seed    uint64
}

// callers runs streams and collects their calls.
type callers struct {
	fleet  *Fleet
	client *http.Client
	ids    atomic.Uint64

	mu    sync.Mutex // guards calls
	calls []callResult
	wg    sync.WaitGroup
}

// callerTimeout is longer than any deadline, so that a caller that gives up
// shows a fault of the fleet.
const callerTimeout = 5 * time.Second

func newCallers(f *Fleet) *callers {
	return &callers{
		fleet: f,
		client: &http.Client{
			Timeout:   callerTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 100, MaxIdleConns: 10_000},
		},
	}
}

// start runs a stream until ctx is done.
func (c *callers) start(ctx context.Context, s requestStream) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.run(ctx, s)
	}()
}

func (c *callers) run(ctx context.Context, s requestStream) {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	next := time.Now()
	for {
		gap := time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		next = next.Add(gap)
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

func (c *callers) record(result callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, result)
}

// send sends one request and reads the whole answer.
func (c *callers) send(s requestStream, entry string) callResult {
	id := fmt.Sprintf("%s-%s-%d", s.Team, s.Service, c.ids.Add(1))
	result := callResult{At: time.Now(), Team: s.Team, Service: s.Service, ID: id}
	req, err := http.NewRequest(http.MethodPost, entry+"/"+s.Service+"/item", strings.NewReader(id))
	if err != nil {
		result.NoAnswer = true
		return result
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	req.Header.Set("X-Request-Id", id)
	resp, err := c.client.Do(req)
	if err != nil {
		result.NoAnswer, result.Took = true, time.Since(result.At)
		return result
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	result.Took = time.Since(result.At)
	result.Status = resp.StatusCode
	result.Code = resp.Header.Get("Ragwort-Code")
	result.Outcome = resp.Header.Get("Ragwort-Outcome")
	result.NoAnswer = err != nil
	result.Whole = err == nil && (result.Status != http.StatusOK || strings.Contains(string(body), id))
	return result
}

// wait returns all calls once every stream and every request has ended.
func (c *callers) wait() []callResult {
	c.wg.Wait()
	c.client.CloseIdleConnections()
	return c.calls
}

// entry returns the address of a process that callers may connect to.
func (f *Fleet) entry(random *rand.Rand) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[random.IntN(len(f.entries))]
}

// removeEntry makes callers connect elsewhere, as a name service would once a
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
