package bench

import (
	"fmt"
	"sync"
	"time"
)

// load is one traffic pattern that is run on both paths.
type load struct {
	name string
	run  func(time.Duration) samples
}

// samples holds the latencies of the successful calls of a load.
type samples struct {
	direct, proxied []time.Duration
	proxiedTime     time.Duration  // time during which calls were sent through the processes
	failures        map[string]int // by reason
}

func (b *runner) loads() []load {
	var loads []load
	for _, rate := range b.options.Rates {
		loads = append(loads, load{
			name: fmt.Sprintf("%g/s open loop", rate),
			run:  func(d time.Duration) samples { return b.openLoop(rate, d) },
		})
	}
	return append(loads, load{
		name: fmt.Sprintf("full speed, %d workers", b.options.Workers),
		run:  b.closedLoop,
	})
}

// callOutcome is the result of one call of the open loop.
type callOutcome struct {
	proxied bool
	latency time.Duration
	failure string
}

// openLoop sends calls at a fixed rate on each path without waiting for earlier
// answers. Calls are sent in pairs, one on each path in random order, so that machine
// noise and late timers affect both paths equally.
func (b *runner) openLoop(rate float64, d time.Duration) samples {
	outcomes := make([]callOutcome, 2*max(int(rate*d.Seconds()), 1))
	interval := time.Duration(float64(time.Second) / rate / 2)
	started := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var running sync.WaitGroup
	firstProxied := false
	for i := range outcomes {
		if i%2 == 0 {
			firstProxied = b.random.IntN(2) == 0
		}
		if !b.waitUntil(timer, started.Add(time.Duration(i)*interval)) {
			break
		}
		o := &outcomes[i]
		o.proxied = firstProxied == (i%2 == 0)
		running.Add(1)
		go func() {
			defer running.Done()
			o.latency, o.failure = b.callerFor(o.proxied).call()
		}()
	}
	running.Wait()
	return groupSamples(outcomes, d)
}

// waitUntil waits until the given time and returns false if the run was interrupted.
func (b *runner) waitUntil(timer *time.Timer, at time.Time) bool {
	timer.Reset(time.Until(at))
	select {
	case <-timer.C:
		return true
	case <-b.ctx.Done():
		return false
	}
}

func (b *runner) callerFor(proxied bool) *caller {
	if proxied {
		return b.proxied
	}
	return b.direct
}

func groupSamples(outcomes []callOutcome, proxiedTime time.Duration) samples {
	s := samples{proxiedTime: proxiedTime, failures: make(map[string]int)}
	for _, o := range outcomes {
		switch {
		case o.failure != "":
			s.failures[o.failure]++
		case o.proxied:
			s.proxied = append(s.proxied, o.latency)
		default:
			s.direct = append(s.direct, o.latency)
		}
	}
	return s
}

// sliceDuration is how long the closed loop stays on one path: short compared with
// changes in the machine's load, long compared with the start of the workers.
const sliceDuration = 100 * time.Millisecond

// closedLoop runs all workers at full speed, alternating between the paths.
func (b *runner) closedLoop(d time.Duration) samples {
	s := samples{failures: make(map[string]int)}
	for end := time.Now().Add(d); time.Now().Before(end) && b.ctx.Err() == nil; {
		s.direct = b.runSlice(b.direct, s.direct, s.failures)
		started := time.Now()
		s.proxied = b.runSlice(b.proxied, s.proxied, s.failures)
		s.proxiedTime += time.Since(started)
	}
	return s
}

// runSlice runs all workers on one path for sliceDuration, appends their latencies to
// into and adds their failures to failures.
func (b *runner) runSlice(c *caller, into []time.Duration, failures map[string]int) []time.Duration {
	results := make([]workerSamples, b.options.Workers)
	var workers sync.WaitGroup
	end := time.Now().Add(sliceDuration)
	for w := range results {
		workers.Add(1)
		go func() {
			defer workers.Done()
			results[w] = runWorker(c, end)
		}()
	}
	workers.Wait()
	for _, r := range results {
		into = append(into, r.latencies...)
		for reason, n := range r.failures {
			failures[reason] += n
		}
	}
	return into
}

// workerSamples holds the results of one worker in one slice.
type workerSamples struct {
	latencies []time.Duration
	failures  map[string]int
}

func runWorker(c *caller, end time.Time) workerSamples {
	r := workerSamples{failures: make(map[string]int)}
	for time.Now().Before(end) {
		latency, failure := c.call()
		if failure != "" {
			r.failures[failure]++
			continue
		}
		r.latencies = append(r.latencies, latency)
	}
	return r
}
