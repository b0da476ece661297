package ejection

import (
	"math"
	"sort"
	"time"
)

const (
	// needed is the evidence that ejects, in nats. A server just inside the
	// limits passes one test with a probability of at most e^-16 = 1e-7; the
	// failures and latencies of healthy servers stay far inside. A server that
	// fails half its calls gives 1.3 nats a call.
	needed = 16.0
	// looksBad is the evidence from which a server counts for MassFailure. It
	// is low, so that a cause that hits the servers one after the other is
	// recognized before the first one is ejected.
	looksBad = needed / 4
	// badCalls is the least number of failed or slow calls that eject.
	badCalls = 5
	// probationCalls replaces badCalls for a server on its return, which gets
	// few calls and has failed before.
	probationCalls = 3
	// badSpan is the least time between the first and last bad interval of the
	// evidence. A pause of the server or a burst of loss of 300 ms touches
	// intervals that are up to 400 ms apart at the shortest interval.
	badSpan = 500 * time.Millisecond
	// failureBase is the least failure ratio that is assumed of healthy
	// servers.
	failureBase = 0.02
	// failureFactor is the ratio to the siblings' failures up to which a
	// server is not an outlier.
	failureFactor = 2
	// failureRatio is the least failure ratio that ejects: half of the ratio
	// of a gray server.
	failureRatio = 0.25
	// slowShare is the share of calls that must be slow: if half are at least
	// SlowFactor times the siblings' median, so is the median.
	slowShare = 0.5
	// farShare is the share of calls that would be far on a server that is
	// SlowFactor slower than its siblings throughout.
	farShare = 0.25
	// coldSteps raises the limits of a cold server by a factor of 4.
	coldSteps = 2 * subSize
	// slowSteps is SlowFactor in buckets; a factor of 4 is two octaves.
	slowSteps = 2 * subSize
)

// limits are the buckets from which a call is slow and far.
type limits struct{ slow, far int }

var noLimits = limits{slow: Buckets, far: Buckets}

// reference is what the siblings of one class look like.
type reference struct {
	known    bool
	median   int // bucket, median of the servers' medians
	quartile int // bucket, median of the servers' upper quartiles
	failures float64
}

// makeReference takes the median over the servers, which a minority of bad
// servers cannot move far.
func makeReference(tracks []*track) reference {
	if len(tracks) < 2 {
		return reference{}
	}
	medians := make([]int, len(tracks))
	quartiles := make([]int, len(tracks))
	failures := make([]float64, len(tracks))
	for i, t := range tracks {
		medians[i], quartiles[i] = t.median, t.quartile
		failures[i] = t.failures / max(t.count, 1)
	}
	sort.Ints(medians)
	sort.Ints(quartiles)
	sort.Float64s(failures)
	middle := len(tracks) / 2
	return reference{known: true, median: medians[middle], quartile: quartiles[middle], failures: failures[middle]}
}

// limits returns the limits for a server. Only buckets that lie wholly above
// the limit count.
func (r reference) limits(cold bool) limits {
	if !r.known {
		return noLimits
	}
	steps := slowSteps + 1
	if cold {
		steps += coldSteps
	}
	return limits{slow: r.median + steps, far: r.quartile + steps}
}

// finding is the evidence against a server.
type finding struct {
	nats   float64 // strongest evidence
	reason Reason
	ejects bool
}

func stronger(a, b finding) finding {
	if a.ejects != b.ejects {
		if a.ejects {
			return a
		}
		return b
	}
	if b.nats > a.nats {
		return b
	}
	return a
}

// demand is what evidence must reach.
type demand struct {
	nats  float64
	calls uint32
}

// failureBaseOf returns the failure ratio up to which a server is like its
// siblings.
func (r reference) failureBaseOf() float64 {
	return min(max(failureBase, failureFactor*r.failures), 1)
}

// examine tests all sliding windows that end with the newest interval, the
// shortest first, for failures and for slowness.
func (h *history) examine(base float64, d demand) finding {
	if h.used == 0 {
		return finding{}
	}
	var found finding
	if h.back(0).failing() {
		found = h.scan(Failures, base, d)
	}
	if h.back(0).slowing() {
		found = stronger(found, h.scan(Slow, farShare, d))
	}
	return found
}

func (h *history) scan(reason Reason, base float64, d demand) finding {
	found := finding{reason: reason}
	w := window{reason: reason}
	for k := range h.used {
		in := h.back(k)
		counted := in.ended
		if k == 0 {
			// Calls in progress earlier have ended since or are among these.
			counted.add(in.running)
		}
		w.add(in, counted)
		nats := w.evidence(base)
		found.nats = max(found.nats, nats)
		if nats >= d.nats && w.hits >= d.calls && w.sustained(base, d.nats) {
			found.ejects = true
			return found
		}
	}
	return found
}

// window is one sliding window of the test for one reason.
type window struct {
	reason         Reason
	calls, hits    uint32 // hits are failed or far calls
	slow           uint32
	heaviestHits   uint32 // of the interval with the most hits
	heaviestCalls  uint32
	newest, oldest time.Time // receipt of bad intervals
}

func (w *window) add(in *interval, counted tally) {
	calls, hits, bad := counted.count, counted.failures, in.failing()
	if w.reason == Slow {
		calls, hits, bad = counted.timed, counted.far, in.slowing()
		w.slow += counted.slow
	}
	w.calls += calls
	w.hits += hits
	if hits > w.heaviestHits {
		w.heaviestHits, w.heaviestCalls = hits, calls
	}
	if !bad {
		return
	}
	if w.newest.IsZero() {
		w.newest = in.at
	}
	w.oldest = in.at
}

// evidence is the Chernoff bound on the binomial probability of as many hits.
func (w *window) evidence(base float64) float64 {
	if w.reason == Slow && float64(w.slow) <= slowShare*float64(w.calls) {
		return 0
	}
	if w.reason == Failures && float64(w.hits) < failureRatio*float64(w.calls) {
		return 0
	}
	return binomial(w.hits, w.calls, base)
}

// sustained tells whether the evidence covers enough time and holds, at half
// strength, without its heaviest interval. One burst is not a gray failure.
func (w *window) sustained(base, nats float64) bool {
	rest := binomial(w.hits-w.heaviestHits, w.calls-w.heaviestCalls, base)
	return rest >= nats/2 && w.newest.Sub(w.oldest) >= badSpan
}

// binomial returns calls times the Kullback-Leibler divergence of the observed
// ratio from the base: the probability of as many hits or more is at most
// exp(-result). It is 0 if the ratio is not above the base.
func binomial(hits, calls uint32, base float64) float64 {
	if calls == 0 {
		return 0
	}
	n, q := float64(calls), float64(hits)/float64(calls)
	if q <= base {
		return 0
	}
	nats := q * math.Log(q/base)
	if q < 1 {
		nats += (1 - q) * math.Log((1-q)/(1-base))
	}
	return n * nats
}
