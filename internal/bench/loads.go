package bench

import (
	"fmt"
	"sync"
	"time"
)

// load is one way of sending calls on both paths.
type load struct {
	name string
	run  func(time.Duration) samples
}

// samples are the latencies of the calls that succeeded.
type samples struct {
	direct, through []time.Duration
	throughTime     time.Duration  // for which calls were sent through the processes
	failures        map[string]int // by reason
}

func (b *bench) loads() []load {
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

// outcome is one call of the open loop.
type outcome struct {
	through bool
	took    time.Duration
	failure string
}

// openLoop sends calls at a fixed rate on each path, whether or not earlier ones
// were answered. Calls come in pairs, one for each path in random order, so that
// noise of the machine and late timers meet both alike.
func (b *bench) openLoop(rate float64, d time.Duration) samples {
	outcomes := make([]outcome, 2*max(int(rate*d.Seconds()), 1))
	gap := time.Duration(float64(time.Second) / rate / 2)
	began := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var running sync.WaitGroup
	firstThrough := false
	for i := range outcomes {
		if i%2 == 0 {
			firstThrough = b.random.IntN(2) == 0
		}
		if !b.waitUntil(timer, began.Add(time.Duration(i)*gap)) {
			break
		}
		o := &outcomes[i]
		o.through = firstThrough == (i%2 == 0)
		running.Add(1)
		go func() {
			defer running.Done()
			o.took, o.failure = b.path(o.through).call()
		}()
	}
	running.Wait()
	return collect(outcomes, d)
}

// waitUntil returns false when the run was interrupted.
func (b *bench) waitUntil(timer *time.Timer, at time.Time) bool {
	timer.Reset(time.Until(at))
	select {
	case <-timer.C:
		return true
	case <-b.ctx.Done():
		return false
	}
}

func (b *bench) path(through bool) *caller {
	if through {
		return b.through
	}
	return b.direct
}

func collect(outcomes []outcome, throughTime time.Duration) samples {
	s := samples{throughTime: throughTime, failures: make(map[string]int)}
	for _, o := range outcomes {
		switch {
		case o.failure != "":
			s.failures[o.failure]++
		case o.through:
			s.through = append(s.through, o.took)
		default:
			s.direct = append(s.direct, o.took)
		}
	}
	return s
}

// sliceTime is how long the closed loop stays on one path: short against changes
// of the load of the machine, long against the start of the workers.
const sliceTime = 100 * time.Millisecond

// closedLoop keeps all workers calling, on one path after the other.
func (b *bench) closedLoop(d time.Duration) samples {
	s := samples{failures: make(map[string]int)}
	for end := time.Now().Add(d); time.Now().Before(end) && b.ctx.Err() == nil; {
		s.direct = b.slice(b.direct, s.direct, s.failures)
		began := time.Now()
		s.through = b.slice(b.through, s.through, s.failures)
		s.throughTime += time.Since(began)
	}
	return s
}

func (b *bench) slice(c *caller, into []time.Duration, failures map[string]int) []time.Duration {
	results := make([]workerResult, b.options.Workers)
	var workers sync.WaitGroup
	end := time.Now().Add(sliceTime)
	for w := range results {
		workers.Add(1)
		go func() {
			defer workers.Done()
			results[w] = work(c, end)
		}()
	}
	workers.Wait()
	for _, r := range results {
		into = append(into, r.took...)
		for reason, n := range r.failures {
			failures[reason] += n
		}
	}
	return into
}

// workerResult is what one worker saw in one slice.
type workerResult struct {
	took     []time.Duration
	failures map[string]int
}

func work(c *caller, end time.Time) workerResult {
	r := workerResult{failures: make(map[string]int)}
	for time.Now().Before(end) {
		took, failure := c.call()
		if failure != "" {
			r.failures[failure]++
			continue
		}
		r.took = append(r.took, took)
	}
	return r
}
