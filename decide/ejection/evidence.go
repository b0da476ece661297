package ejection

import (
	"math"
	"sort"
	"time"
)

const (
	// minFailureEvidenceNats and minSlowEvidenceNats are the evidence, in nats,
	// that an ejection needs. A server at the limit of normal behavior reaches
	// them in one test with a probability of at most e^-14 = 8e-7; healthy
	// servers stay far below that limit. A server that fails half its calls
	// yields 1.3 nats per call, one that is 10 times slower about 1.1.
	minFailureEvidenceNats = 16.0
	minSlowEvidenceNats    = 14.0
	// massFailureNats is the evidence from which a server counts toward
	// MassFailureShare, about two failed calls. It is low so that a common cause
	// that hits the servers one after the other is detected before the first
	// ejection. weakEvidenceNats is about one failed call. Weak evidence on many
	// servers only delays ejections for the same reason, since occasional
	// failures say nothing about slowness.
	massFailureNats  = 5.0
	weakEvidenceNats = 2.0
	// minFailedCalls and minSlowCalls are the numbers of bad calls that an
	// ejection needs. At 9 calls/s a failure burst rarely hits that many, and a
	// single pause slows the calls in all slots, about 7.
	minFailedCalls = 10
	minSlowCalls   = 12
	// minProbationBadCalls replaces both for a returning server, which gets few
	// calls and has failed before.
	minProbationBadCalls = 4
	// maxWindowAge limits the sliding windows. It must not exceed
	// referenceTimeConstant, or the end of a mass failure would look like the
	// failure of a single server.
	maxWindowAge = 10 * time.Second
	// recentAge and minRecentCalls delimit the recent part of a window, whichever
	// is longer. The recent part must be bad as well, so that a recovered server
	// is not ejected. minRecentCalls is needed because a returning server gets
	// about one call per second, and a single slow or failed call after old
	// evidence does not show that it is still bad.
	recentAge      = time.Second
	minRecentCalls = 4
	// noiseBurstDuration is the length of a failure burst that is treated as
	// noise. Evidence must remain without the reports that the heaviest such
	// burst can affect: four at an interval of 100 ms, two at 300 ms and above.
	noiseBurstDuration = 300 * time.Millisecond
	// noisePauseDuration is the length of a pause that is treated as noise, and so
	// the minimum time between the first and the last slow interval.
	noisePauseDuration = 500 * time.Millisecond
	// minRemainingEvidenceShare is the share of the required evidence, and
	// minRemainingBadCalls the number of bad calls, that must remain without the
	// heaviest burst.
	minRemainingEvidenceShare = 1.0 / 3
	minRemainingBadCalls      = 4
	// minBaseFailureRatio is the lowest failure ratio assumed for healthy
	// servers.
	minBaseFailureRatio = 0.02
	// siblingFailureFactor is the ratio to the siblings' failure ratio up to
	// which a server is not an outlier.
	siblingFailureFactor = 2
	// minFailureRatio is the lowest failure ratio that causes an ejection, half
	// of that of a typical gray failure.
	minFailureRatio = 0.25
	// minSlowShare is the lowest share of slow calls that causes an ejection. If
	// half of the calls take at least SlowFactor times the siblings' median, so
	// does the server's median.
	minSlowShare = 0.5
	// coldStartBuckets raises the latency thresholds of a cold server by a
	// factor of 16, in buckets: a cold start of 12x can coincide with other load
	// on the machine.
	coldStartBuckets = 4 * bucketsPerOctave
	// slowFactorBuckets is SlowFactor in buckets; a factor of 4 is two octaves.
	slowFactorBuckets = 2 * bucketsPerOctave
)

// rankTailShares are the shares of the siblings' calls above the latency quantiles
// that define rank 1, 2, 3 and 4. A server's thresholds are these quantiles,
// raised by SlowFactor.
var rankTailShares = [...]float64{0.5, 0.25, 0.1, 0.025}

// thresholdRankShares are the shares of calls of rank 0 to 4 on a server that is
// slower than its siblings by exactly SlowFactor.
var thresholdRankShares = [...]float64{0.5, 0.25, 0.15, 0.075, 0.025}

// rankThresholds are the buckets from which a call has rank 1, 2, 3 and 4.
type rankThresholds [len(rankTailShares)]int

func (t *rankThresholds) rankOf(bucket int) uint32 {
	rank := 0
	for rank < len(t) && bucket >= t[rank] {
		rank++
	}
	return uint32(rank)
}

// reference describes the usual behavior of a service's servers for one class.
type reference struct {
	known        bool
	quantiles    rankThresholds // median over the servers of each quantile
	failureRatio float64        // median over the servers
}

// newReference computes medians over the servers, which a minority of bad servers
// cannot move far. It reuses the scratch space.
func newReference(stats []*classStats, scratch *[]float64) reference {
	if len(stats) < 2 {
		return reference{}
	}
	ref := reference{known: true}
	median := len(stats) / 2
	*scratch = append((*scratch)[:0], make([]float64, len(stats))...)
	sorted := *scratch
	for rank := range ref.quantiles {
		for i, t := range stats {
			sorted[i] = float64(t.quantileBuckets[rank])
		}
		sort.Float64s(sorted)
		ref.quantiles[rank] = int(sorted[median])
	}
	for i, t := range stats {
		sorted[i] = t.failures / max(t.count, 1)
	}
	sort.Float64s(sorted)
	ref.failureRatio = sorted[median]
	return ref
}

// thresholds returns the rank thresholds for a server: SlowFactor times the
// siblings' quantiles. They are one bucket higher, so that only buckets entirely
// above a limit count.
func (r reference) thresholds(cold bool) rankThresholds {
	offset := slowFactorBuckets + 1
	switch {
	case !r.known:
		offset = NumBuckets
	case cold:
		offset += coldStartBuckets
	}
	thresholds := r.quantiles
	for rank := range thresholds {
		thresholds[rank] += offset
	}
	return thresholds
}

// finding is the result of testing a server.
type finding struct {
	nats       float64 // strongest evidence
	reason     Reason
	sufficient bool // the evidence suffices for an ejection
	symptoms   symptoms
	// mostlySlow is true if most recent calls are slow, even just above the
	// threshold.
	mostlySlow bool
}

// symptoms are the reasons for which there is at least weak evidence.
type symptoms struct{ failing, slow bool }

func (s symptoms) union(o symptoms) symptoms {
	return symptoms{failing: s.failing || o.failing, slow: s.slow || o.slow}
}

// stronger returns the stronger finding with the symptoms of both.
func stronger(a, b finding) finding {
	best := a
	if b.sufficient && !a.sufficient || b.sufficient == a.sufficient && b.nats > a.nats {
		best = b
	}
	best.symptoms = a.symptoms.union(b.symptoms)
	best.mostlySlow = a.mostlySlow || b.mostlySlow
	return best
}

// requirement is the evidence that an ejection needs.
type requirement struct {
	nats     float64
	badCalls uint32
}

// requirementFor returns the requirement of a test. A bad health check or load
// report (suspect) or a preceding ejection (probation) halves the needed evidence.
func requirementFor(reason Reason, suspect, probation bool) requirement {
	req := requirement{nats: minFailureEvidenceNats, badCalls: minFailedCalls}
	if reason == Slow {
		req = requirement{nats: minSlowEvidenceNats, badCalls: minSlowCalls}
	}
	if suspect || probation {
		req.nats /= 2
	}
	if probation {
		req.badCalls = minProbationBadCalls
	}
	return req
}

// baseFailureRatio returns the failure ratio up to which a server is not an
// outlier.
func (r reference) baseFailureRatio() float64 {
	return min(max(minBaseFailureRatio, siblingFailureFactor*r.failureRatio), 1)
}

// examineOptions restrict the test of a server.
type examineOptions struct {
	notBefore time.Time     // intervals received earlier are excluded
	burstSpan time.Duration // see burstSpanFor
}

// burstSpanFor returns the time between the first and the last report that a
// failure burst can affect: noiseBurstDuration, rounded up to whole report
// intervals.
func burstSpanFor(reportInterval time.Duration) time.Duration {
	intervals := (noiseBurstDuration + reportInterval - 1) / reportInterval
	return intervals * reportInterval
}

// examine tests the windows that end with the newest interval for failures and
// for slowness.
func (h *intervalHistory) examine(now time.Time, opts examineOptions, baseRatio float64, suspect, probation bool) finding {
	if h.used == 0 || now.Sub(h.fromNewest(0).received) > recentAge {
		return finding{}
	}
	var found finding
	if h.fromNewest(0).hasFailures() {
		found = h.scanWindows(opts, baseRatio, Failures, requirementFor(Failures, suspect, probation))
	}
	if h.fromNewest(0).isMostlySlow() {
		found = stronger(found, h.scanWindows(opts, 0, Slow, requirementFor(Slow, suspect, probation)))
	}
	return found
}

// scanWindows tests all windows that end with the newest interval for one reason,
// the shortest first.
func (h *intervalHistory) scanWindows(opts examineOptions, baseRatio float64, reason Reason, required requirement) finding {
	found := finding{reason: reason}
	w := evidenceWindow{reason: reason}
	if reason == Failures {
		w.burstSpan = opts.burstSpan
	}
	recentBad := true // the recent part of the window is bad
	for k := range h.used {
		in := h.fromNewest(k)
		age := h.fromNewest(0).received.Sub(in.received)
		isRecent := age <= recentAge || w.total.calls < minRecentCalls
		if age > maxWindowAge || in.received.Before(opts.notBefore) || (!isRecent && !recentBad) {
			break
		}
		counted := in.ended
		if k == 0 {
			// Only the newest interval adds its calls in progress. Those of
			// earlier intervals have ended since or are included here.
			counted.add(in.inFlight)
		}
		w.add(in, counted)
		nats := w.evidence(baseRatio)
		if isRecent {
			recentBad = nats >= weakEvidenceNats || w.mostlySlow()
			found.recordSymptom(recentBad)
			found.mostlySlow = found.mostlySlow || w.mostlySlow()
		}
		found.nats = max(found.nats, nats)
		if recentBad && nats >= required.nats && w.total.bad >= required.badCalls && w.sustained(baseRatio, required.nats) {
			found.sufficient = true
			return found
		}
	}
	return found
}

func (f *finding) recordSymptom(weak bool) {
	if weak {
		f.symptoms = f.symptoms.union(symptoms{failing: f.reason == Failures, slow: f.reason == Slow})
	}
}

// callSums are the call counts of one or several intervals.
type callSums struct {
	calls  uint32
	bad    uint32 // failed or slow calls
	weight uint32 // number of failed calls, or sum of the ranks of slow calls
}

func (s *callSums) add(o callSums) {
	s.calls += o.calls
	s.bad += o.bad
	s.weight += o.weight
}

func (s *callSums) subtract(o callSums) {
	s.calls -= o.calls
	s.bad -= o.bad
	s.weight -= o.weight
}

// evidenceWindow accumulates the intervals of a test for one reason. It grows
// backward from the newest interval.
type evidenceWindow struct {
	reason        Reason
	burstSpan     time.Duration // see burstSpanFor
	total         callSums
	heaviestBurst callSums                    // the largest weight within burstSpan
	burst         callSums                    // sums of the oldest intervals within burstSpan
	ring          [maxBurstIntervals]callSums // the intervals in burst
	ringTimes     [maxBurstIntervals]time.Time
	burstStart    int // index in ring, modulo its size, of the newest interval in burst
	next          int

	newestBad, oldestBad time.Time // receipt times of bad intervals
}

// maxBurstIntervals limits the intervals within a burst: four at the shortest
// interval, and some more if delayed reports arrive together.
const maxBurstIntervals = 16

func (w *evidenceWindow) add(in *interval, counted callCounts) {
	sums, bad := callSums{counted.count, counted.failures, counted.failures}, in.hasFailures()
	if w.reason == Slow {
		sums, bad = callSums{counted.timed, counted.slow, counted.rankSum}, in.isMostlySlow()
	}
	w.total.add(sums)
	w.advanceBurst(in.received, sums)
	if !bad {
		return
	}
	if w.newestBad.IsZero() {
		w.newestBad = in.received
	}
	w.oldestBad = in.received
}

// advanceBurst adds the next older interval to the burst and drops intervals that
// are now out of its span.
func (w *evidenceWindow) advanceBurst(at time.Time, sums callSums) {
	span := w.burstSpan
	for w.burstStart < w.next && (w.ringTimes[w.burstStart%maxBurstIntervals].Sub(at) > span || w.next-w.burstStart == maxBurstIntervals) {
		w.burst.subtract(w.ring[w.burstStart%maxBurstIntervals])
		w.burstStart++
	}
	w.ring[w.next%maxBurstIntervals], w.ringTimes[w.next%maxBurstIntervals] = sums, at
	w.next++
	w.burst.add(sums)
	if w.burst.weight > w.heaviestBurst.weight {
		w.heaviestBurst = w.burst
	}
}

// mostlySlow reports whether most of at least minRecentCalls calls are slow, even
// if there is little evidence of a factor above SlowFactor. Siblings that are
// nearly as slow as a slow server indicate a common cause.
func (w *evidenceWindow) mostlySlow() bool {
	return w.reason == Slow && w.total.bad >= minRecentCalls && w.badShare() >= minSlowShare
}

// evidence returns the evidence in nats, or 0 if the share of bad calls is below
// minBadShare.
func (w *evidenceWindow) evidence(baseRatio float64) float64 {
	if w.badShare() < w.minBadShare() {
		return 0
	}
	return w.natsOf(w.total, baseRatio)
}

func (w *evidenceWindow) badShare() float64 {
	return float64(w.total.bad) / float64(max(w.total.calls, 1))
}

// minBadShare returns the lowest share of bad calls that causes an ejection.
func (w *evidenceWindow) minBadShare() float64 {
	if w.reason == Slow {
		return minSlowShare
	}
	return minFailureRatio
}

func (w *evidenceWindow) natsOf(sums callSums, baseRatio float64) float64 {
	if w.reason == Slow {
		return rankEvidence(sums.weight, sums.calls)
	}
	return binomialEvidence(sums.weight, sums.calls, baseRatio)
}

// sustained reports whether enough evidence remains without the heaviest burst. A
// single failure burst or pause is not a gray failure.
func (w *evidenceWindow) sustained(baseRatio, nats float64) bool {
	rest := w.total
	rest.subtract(w.heaviestBurst)
	if rest.bad < minRemainingBadCalls || w.natsOf(rest, baseRatio) < minRemainingEvidenceShare*nats {
		return false
	}
	return w.reason == Failures || w.newestBad.Sub(w.oldestBad) >= noisePauseDuration
}

// binomialEvidence returns the number of calls times the Kullback-Leibler
// divergence of the observed ratio from baseRatio. By the Chernoff bound, the
// probability of at least that many hits is at most exp(-result). It is 0 if the
// observed ratio is not above baseRatio.
func binomialEvidence(hits, calls uint32, baseRatio float64) float64 {
	if calls == 0 {
		return 0
	}
	n, q := float64(calls), float64(hits)/float64(calls)
	if q <= baseRatio {
		return 0
	}
	nats := q * math.Log(q/baseRatio)
	if q < 1 {
		nats += (1 - q) * math.Log((1-q)/(1-baseRatio))
	}
	return n * nats
}

// rankRateResolution is the number of entries of rankRates per rank.
const rankRateResolution = 64

// rankRates are the values of rankRate at mean ranks in steps of
// 1/rankRateResolution.
var rankRates = newRankRates()

func newRankRates() [rankRateResolution*len(rankTailShares) + 1]float64 {
	var rates [rankRateResolution*len(rankTailShares) + 1]float64
	for i := range rates {
		rates[i] = rankRate(float64(i) / rankRateResolution)
	}
	return rates
}

// rankRate is the Cramer rate function of the mean rank. If a server is slower by
// at most SlowFactor, the probability that n calls have at least this mean rank is
// at most exp(-n*rate).
func rankRate(mean float64) float64 {
	const largest, step = 12.0, 0.01
	best := 0.0
	for tilt := 0.0; tilt <= largest; tilt += step {
		var moment float64
		for rank, share := range thresholdRankShares {
			moment += share * math.Exp(tilt*float64(rank))
		}
		best = max(best, tilt*mean-math.Log(moment))
	}
	return best
}

// rankEvidence returns the evidence of slowness in nats from the sum of the ranks
// of a number of calls.
func rankEvidence(ranks, calls uint32) float64 {
	if calls == 0 {
		return 0
	}
	step := min(int(ranks)*rankRateResolution/int(calls), len(rankRates)-1)
	return float64(calls) * rankRates[step]
}
