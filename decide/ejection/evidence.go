package ejection

import (
	"math"
	"sort"
	"time"
)

const (
	// neededFailures and neededSlow are the evidence that ejects, in nats. A
	// server just inside the limits passes one test with a probability of at
	// most e^-14 = 8e-7; the calls of healthy servers stay far inside. A server
	// that fails half its calls gives 1.3 nats a call, one that is 10 times
	// slower about 1.1.
	neededFailures = 16.0
	neededSlow     = 14.0
	// looksBad is the evidence from which a server counts for MassFailure: two
	// failed calls. It is low, so that a cause that hits the servers one after
	// the other is recognized before the first one is ejected. One failed call
	// looksWeak, which only postpones an ejection for the same reason while many
	// do: failures that come now and then say nothing about slowness.
	looksBad  = 5.0
	looksWeak = 2.0
	// badFailures and badSlow are the least numbers of bad calls that eject: a
	// burst of failures rarely takes as many at 9 calls/s, and a single pause
	// slows the calls of all slots, about 7.
	badFailures = 10
	badSlow     = 12
	// probationCalls replaces both for a server on its return, which gets few
	// calls and has failed before.
	probationCalls = 4
	// windowAge bounds the sliding windows. It must not exceed memory, or the
	// end of a failure shared by all would look like a failure of one.
	windowAge = 10 * time.Second
	// currentSpan and currentCalls delimit the newest part of a window, whichever
	// is longer. It must be bad, too, so that a server that has recovered is left
	// alone. A server on its return gets about one call a second, and one slow or
	// failed call beside old evidence says nothing about the present.
	currentSpan  = time.Second
	currentCalls = 4
	// lossBurst is the length of a burst of failures that is taken for noise:
	// evidence must remain beside the reports that the heaviest such burst can
	// touch: four at an interval of 100 ms, two at 300 ms and above.
	lossBurst = 300 * time.Millisecond
	// pauseSpan is the least time between the first and last slow interval: the
	// length of a pause that is taken for noise.
	pauseSpan = 500 * time.Millisecond
	// restShare is the share of the evidence, and restCalls the number of bad
	// calls, that must remain without the heaviest span.
	restShare = 1.0 / 3
	restCalls = 4
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
	// coldSteps raises the limits of a cold server by a factor of 16, in
	// buckets: a cold start of 12x may come on top of a load of others.
	coldSteps = 4 * subSize
	// slowSteps is SlowFactor in buckets; a factor of 4 is two octaves.
	slowSteps = 2 * subSize
)

// tailShares are the shares of the siblings' calls that are slower than the
// limits of rank 1, 2, 3 and 4.
var tailShares = [...]float64{0.5, 0.25, 0.1, 0.025}

// rankShares are the shares of calls of each rank on a server that is
// SlowFactor slower than its siblings throughout.
var rankShares = [...]float64{0.5, 0.25, 0.15, 0.075, 0.025}

// limits are the buckets from which a call has rank 1, 2, 3 and 4.
type limits [len(tailShares)]int

func (l *limits) rank(bucket int) uint32 {
	rank := 0
	for rank < len(l) && bucket >= l[rank] {
		rank++
	}
	return uint32(rank)
}

// reference is what the siblings of one class look like.
type reference struct {
	known    bool
	levels   limits // medians over the servers
	failures float64
}

// makeReference takes the median over the servers, which a minority of bad
// servers cannot move far. The scratch space is reused.
func makeReference(tracks []*track, scratch *[]float64) reference {
	if len(tracks) < 2 {
		return reference{}
	}
	ref := reference{known: true}
	middle := len(tracks) / 2
	*scratch = append((*scratch)[:0], make([]float64, len(tracks))...)
	sorted := *scratch
	for rank := range ref.levels {
		for i, t := range tracks {
			sorted[i] = float64(t.levels[rank])
		}
		sort.Float64s(sorted)
		ref.levels[rank] = int(sorted[middle])
	}
	for i, t := range tracks {
		sorted[i] = t.failures / max(t.count, 1)
	}
	sort.Float64s(sorted)
	ref.failures = sorted[middle]
	return ref
}

// limits returns the limits for a server: SlowFactor times the quantiles of
// the siblings. Only buckets that lie wholly above a limit count.
func (r reference) limits(cold bool) limits {
	steps := slowSteps + 1
	switch {
	case !r.known:
		steps = Buckets
	case cold:
		steps += coldSteps
	}
	lim := r.levels
	for rank := range lim {
		lim[rank] += steps
	}
	return lim
}

// finding is the evidence against a server.
type finding struct {
	nats   float64 // strongest evidence
	reason Reason
	ejects bool
	weak   symptoms
	// mostlySlow is true when most calls are slow now, by however little.
	mostlySlow bool
}

// symptoms tells for which reasons a server looks weak.
type symptoms struct{ failing, slow bool }

func (s symptoms) or(o symptoms) symptoms {
	return symptoms{failing: s.failing || o.failing, slow: s.slow || o.slow}
}

// stronger returns the stronger finding with the symptoms of both.
func stronger(a, b finding) finding {
	best := a
	if b.ejects && !a.ejects || b.ejects == a.ejects && b.nats > a.nats {
		best = b
	}
	best.weak = a.weak.or(b.weak)
	best.mostlySlow = a.mostlySlow || b.mostlySlow
	return best
}

// demand is what evidence must reach.
type demand struct {
	nats  float64
	calls uint32
}

// demandOf returns the demand of a test. Suspicion halves the evidence.
func demandOf(reason Reason, suspect, probation bool) demand {
	d := demand{nats: neededFailures, calls: badFailures}
	if reason == Slow {
		d = demand{nats: neededSlow, calls: badSlow}
	}
	if suspect || probation {
		d.nats /= 2
	}
	if probation {
		d.calls = probationCalls
	}
	return d
}

// failureBaseOf returns the failure ratio up to which a server is like its
// siblings.
func (r reference) failureBaseOf() float64 {
	return min(max(failureBase, failureFactor*r.failures), 1)
}

// scope is what a judge tells the test of a server.
type scope struct {
	from      time.Time     // intervals received before are left out
	burstSpan time.Duration // see burstSpanOf
}

// burstSpanOf returns the time between the first and the last report that a burst
// of failures can touch: lossBurst, rounded up to whole report intervals.
func burstSpanOf(reportInterval time.Duration) time.Duration {
	intervals := (lossBurst + reportInterval - 1) / reportInterval
	return intervals * reportInterval
}

// examine tests all sliding windows that end with the newest interval, the
// shortest first, for failures and for slowness.
func (h *history) examine(now time.Time, sc scope, base float64, suspect, probation bool) finding {
	if h.used == 0 || now.Sub(h.back(0).at) > currentSpan {
		return finding{}
	}
	var found finding
	if h.back(0).failing() {
		found = h.scan(sc, base, Failures, demandOf(Failures, suspect, probation))
	}
	if h.back(0).slowing() {
		found = stronger(found, h.scan(sc, 0, Slow, demandOf(Slow, suspect, probation)))
	}
	return found
}

func (h *history) scan(sc scope, base float64, reason Reason, d demand) finding {
	found := finding{reason: reason}
	w := window{reason: reason}
	if reason == Failures {
		w.burstSpan = sc.burstSpan
	}
	current := true // the newest part is bad too
	for k := range h.used {
		in := h.back(k)
		age := h.back(0).at.Sub(in.at)
		isCurrent := age <= currentSpan || w.all.calls < currentCalls
		if age > windowAge || in.at.Before(sc.from) || (!isCurrent && !current) {
			break
		}
		counted := in.ended
		if k == 0 {
			// Calls in progress earlier have ended since or are among these.
			counted.add(in.running)
		}
		w.add(in, counted)
		nats := w.evidence(base)
		if isCurrent {
			current = nats >= looksWeak || w.mostlySlow()
			found.noteWeak(current)
			found.mostlySlow = found.mostlySlow || w.mostlySlow()
		}
		found.nats = max(found.nats, nats)
		if current && nats >= d.nats && w.all.bad >= d.calls && w.sustained(base, d.nats) {
			found.ejects = true
			return found
		}
	}
	return found
}

func (f *finding) noteWeak(weak bool) {
	if weak {
		f.weak = f.weak.or(symptoms{failing: f.reason == Failures, slow: f.reason == Slow})
	}
}

// part is a sum of intervals.
type part struct {
	calls  uint32
	bad    uint32 // failed or slow calls
	weight uint32 // failed calls, or the ranks of slow ones
}

func (p *part) add(o part) {
	p.calls += o.calls
	p.bad += o.bad
	p.weight += o.weight
}

func (p *part) subtract(o part) {
	p.calls -= o.calls
	p.bad -= o.bad
	p.weight -= o.weight
}

// window is one sliding window of the test for one reason. It grows from the
// newest interval backward.
type window struct {
	reason    Reason
	burstSpan time.Duration // between the first and last report that a burst touches
	all       part
	heaviest  part // the span of one burst with the most weight
	burst     part // the span of one burst that ends with the oldest interval
	recent    [burstKept]part
	times     [burstKept]time.Time
	first     int // index of the newest interval in burst
	next      int

	newest, oldest time.Time // receipt of bad intervals
}

// burstKept bounds the intervals in the span of a burst: four at the shortest
// interval, and some more when reports bunch up.
const burstKept = 16

func (w *window) add(in *interval, counted tally) {
	p, bad := part{counted.count, counted.failures, counted.failures}, in.failing()
	if w.reason == Slow {
		p, bad = part{counted.timed, counted.slow, counted.ranks}, in.slowing()
	}
	w.all.add(p)
	w.slideBurst(in.at, p)
	if !bad {
		return
	}
	if w.newest.IsZero() {
		w.newest = in.at
	}
	w.oldest = in.at
}

// slideBurst moves the span of a burst to the next older interval.
func (w *window) slideBurst(at time.Time, p part) {
	span := w.burstSpan
	for w.first < w.next && (w.times[w.first%burstKept].Sub(at) > span || w.next-w.first == burstKept) {
		w.burst.subtract(w.recent[w.first%burstKept])
		w.first++
	}
	w.recent[w.next%burstKept], w.times[w.next%burstKept] = p, at
	w.next++
	w.burst.add(p)
	if w.burst.weight > w.heaviest.weight {
		w.heaviest = w.burst
	}
}

// mostlySlow tells whether most of several calls are slow, even where the
// evidence for a factor above SlowFactor is small: the siblings of a slow server
// that are nearly as slow speak for a shared cause.
func (w *window) mostlySlow() bool {
	return w.reason == Slow && w.all.bad >= currentCalls && w.badShare() >= slowShare
}

// evidence is 0 while too small a share of the calls is bad.
func (w *window) evidence(base float64) float64 {
	if w.badShare() < w.leastShare() {
		return 0
	}
	return w.nats(w.all, base)
}

func (w *window) badShare() float64 {
	return float64(w.all.bad) / float64(max(w.all.calls, 1))
}

// leastShare is the share of bad calls that ejects.
func (w *window) leastShare() float64 {
	if w.reason == Slow {
		return slowShare
	}
	return failureRatio
}

func (w *window) nats(p part, base float64) float64 {
	if w.reason == Slow {
		return rankEvidence(p.weight, p.calls)
	}
	return binomial(p.weight, p.calls, base)
}

// sustained tells whether evidence remains beside the heaviest span. One burst
// of failures or one pause is not a gray failure.
func (w *window) sustained(base, nats float64) bool {
	rest := w.all
	rest.subtract(w.heaviest)
	if rest.bad < restCalls || w.nats(rest, base) < restShare*nats {
		return false
	}
	return w.reason == Failures || w.newest.Sub(w.oldest) >= pauseSpan
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

// rankSteps is the resolution of rankRates between two ranks.
const rankSteps = 64

// rankRates are the values of rankRate at mean ranks in steps of 1/rankSteps.
var rankRates = makeRankRates()

func makeRankRates() [rankSteps*len(tailShares) + 1]float64 {
	var rates [rankSteps*len(tailShares) + 1]float64
	for i := range rates {
		rates[i] = rankRate(float64(i) / rankSteps)
	}
	return rates
}

// rankRate is the Cramer rate function of the mean rank: with calls that are
// SlowFactor slower or less, the probability that n calls have this mean rank
// or a higher one is at most exp(-n*rate).
func rankRate(mean float64) float64 {
	const largest, step = 12.0, 0.01
	best := 0.0
	for tilt := 0.0; tilt <= largest; tilt += step {
		var moment float64
		for rank, share := range rankShares {
			moment += share * math.Exp(tilt*float64(rank))
		}
		best = max(best, tilt*mean-math.Log(moment))
	}
	return best
}

// rankEvidence returns the evidence in the ranks of a number of calls.
func rankEvidence(ranks, calls uint32) float64 {
	if calls == 0 {
		return 0
	}
	step := min(int(ranks)*rankSteps/int(calls), len(rankRates)-1)
	return float64(calls) * rankRates[step]
}
