package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/belief"
	"github.com/ragwortyard/ragwortyard/decide/room"
	"github.com/ragwortyard/ragwortyard/decide/selection"
	"github.com/ragwortyard/ragwortyard/decide/slotqueue"
	"github.com/ragwortyard/ragwortyard/fleet/hop"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// updateTarget records what an attempt showed about the network path to its exit
// proxy and the load there.
func (r *requestState) updateTarget(ctx context.Context, target *mesh.Target, answer hop.Answer) {
	switch {
	case answer.Result.Code == pipeline.CodeWrongExit:
		target.Live.RecordPathFailure(time.Now()) // a different backend server has the address
	case answer.Reached:
		target.Live.ClearPathFailure()
	case ctx.Err() == nil:
		target.Live.RecordPathFailure(time.Now())
	}
	if answer.ServiceTime > 0 && isSuccess(answer.Result) { // failures often end early
		r.times.observe(time.Now(), answer.ServiceTime)
	}
	if answer.Result.Code == pipeline.CodeOK {
		r.filter.Sizes.Observe(r.req.Route, answer.Result.ContentLength)
	}
	if answer.HasLoad {
		target.Live.SetLoad(time.Now(), &answer.Load)
		target.Live.SetLimit(time.Now(), &answer.Load)
		if answer.Load.Leaving {
			target.Live.MarkLeaving()
		}
	}
}

// logAttempt logs the result of an attempt and the data on which its backend server
// was chosen.
func (r *requestState) logAttempt(target *mesh.Target, candidate *selection.Candidate, attempt *pipeline.Request, answer hop.Answer, took time.Duration) {
	r.filter.Log.Info("attempt ended",
		zap.String("request", r.req.ID), zap.String("attempt", attempt.ID),
		zap.String("backend", target.ID), zap.String("host", target.Host),
		zap.Float64("bad", candidate.GrayFailureProbability), zap.Int64("evidence_ms", candidate.EvidenceAge.Milliseconds()),
		zap.Int("running", candidate.Running), zap.Int("waiting", candidate.QueuedAhead), zap.Int64("expected_wait_ms", candidate.EstimatedWait().Milliseconds()), zap.Bool("same_zone", candidate.SameZone), zap.Float64("leave_cost", candidate.LeaveCost),
		zap.Uint16("code", uint16(answer.Result.Code)), zap.Int("status", answer.Result.Status),
		zap.Int64("took_ms", took.Milliseconds()), zap.Int64("service_ms", answer.ServiceTime.Milliseconds()))
}

// choose returns the backend server with the lowest expected cost, or nil if none
// is left. Servers that refused for lack of a free slot are excluded only until the
// request may wait in a queue.
func (r *requestState) choose() (*mesh.Target, selection.Candidate) {
	now, snap := time.Now(), r.filter.Snapshot()
	targets, candidates := r.candidates(now, snap)
	properties := r.properties(now)
	index := selection.Choose(properties, candidates, newRand())
	if index < 0 && len(r.queueFull) > 0 && r.queueFullRefusals < maxQueueFullRefusals {
		r.queueFullRefusals = maxQueueFullRefusals
		return r.choose()
	}
	if index < 0 && r.becomeProbe(now) {
		return r.choose()
	}
	if index < 0 {
		return nil, selection.Candidate{}
	}
	return targets[index], candidates[index]
}

// candidates describes the backend servers of the service for the selection.
func (r *requestState) candidates(now time.Time, snap *mesh.Snapshot) ([]*mesh.Target, []selection.Candidate) {
	targets := snap.Services[r.req.Service]
	candidates := make([]selection.Candidate, len(targets))
	for i, target := range targets {
		candidates[i] = r.candidate(now, snap, target)
	}
	return targets, candidates
}

// properties describes the next attempt for the selection.
func (r *requestState) properties(now time.Time) selection.Request {
	return selection.Request{
		Idempotent:    r.req.Class.Idempotent,
		TargetLatency: r.req.Class.TargetLatency,
		TimeLeft:      time.Until(r.req.Deadline),
		Retryable:     r.possiblyExecuted+1 < r.req.MaxAttempts && r.budget.retryLikelyAvailable(now),
	}
}

// leaveCost returns what the request has to gain by leaving the zone for a server.
func (r *requestState) leaveCost(snap *mesh.Snapshot, target *mesh.Target) float64 {
	if target.SameZone {
		return 0
	}
	service := r.req.Service
	return room.LeaveCost(snap.Rooms.Utilization(service, r.filter.Zone), snap.Rooms.Utilization(service, target.Zone),
		r.requestBytes+r.filter.Sizes.Expected(r.req.Route))
}

// isFull reports whether the queue of a server's exit proxy had no place for the request when
// it last reported. Less urgent requests have places of their own, and short ones need none. An old report
// does not count: if no further one arrives, only an answer tells that there is room again.
func (r *requestState) isFull(now time.Time, snap *mesh.Snapshot, target *mesh.Target) bool {
	health := target.Live.Health()
	if r.isProbe || r.passesOthers(&health) {
		return false
	}
	return r.queueRoom(target) <= 0 && target.Live.LoadReportedWithin(now, snap.PeerTimeout)
}

// queueRoom returns how many places for requests of this urgency the queue of a server's exit
// proxy had when it last reported.
func (r *requestState) queueRoom(target *mesh.Target) int {
	_, waiting, urgent := target.Live.Load()
	if r.req.Rank <= pipeline.MaxUrgentRank {
		return slotqueue.MaxWaiting - urgent
	}
	return max(slotqueue.MaxWaiting-waiting, slotqueue.MinOthers-(waiting-urgent))
}

// timeUntilRoom estimates when a server can accept the request: the shortest wait at those
// that it may be sent to. It is jittered by a quarter, so that refused requests do not all
// return at the same time. It returns 0 if no server accepts requests at all.
func (r *requestState) timeUntilRoom() time.Duration {
	snap, now := r.filter.Snapshot(), time.Now()
	var shortest time.Duration
	for _, target := range snap.Services[r.req.Service] {
		if target.Evacuated || target.Draining || target.Live.Leaving() || target.Live.Health().RefusesAttempts {
			continue
		}
		candidate := r.candidate(now, snap, target)
		wait := max(candidate.EstimatedWait(), candidate.MeanServiceTime/time.Duration(max(candidate.Slots, 1)), time.Millisecond)
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return time.Duration((0.75 + 0.5*rand.Float64()) * float64(shortest))
}

// logNoRoom logs the refusal of a request for lack of room, with what was known of it.
func (r *requestState) logNoRoom(result *pipeline.Result) {
	snap, now := r.filter.Snapshot(), time.Now()
	servers, full := 0, 0
	for _, target := range snap.Services[r.req.Service] {
		servers++
		if r.isFull(now, snap, target) {
			full++
		}
	}
	r.filter.Log.Info("request refused: no server has room",
		zap.String("request", r.req.ID), zap.String("service", r.req.Service), zap.Int("rank", r.req.Rank),
		zap.Int("attempts", r.attemptsSent), zap.Int("servers", servers), zap.Int("full", full),
		zap.Float64("zone_utilization", snap.Rooms.Utilization(r.req.Service, r.filter.Zone)),
		zap.Int64("retry_after_ms", result.RetryAfter.Milliseconds()))
}

// countZone counts an attempt by the zone of its backend server.
func (r *requestState) countZone(target *mesh.Target) {
	counter := r.filter.AttemptsLeavingZone
	if target.SameZone {
		counter = r.filter.AttemptsInZone
	}
	if counter != nil {
		counter.Inc()
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// candidate describes a backend server for the selection.
func (r *requestState) candidate(now time.Time, snap *mesh.Snapshot, target *mesh.Target) selection.Candidate {
	health := target.Live.Health()
	running, waiting, urgent := target.Live.Load()
	// Urgent requests, calls of backend servers among them, go before others in the queue.
	if r.req.Rank <= pipeline.MaxUrgentRank {
		waiting = urgent
	}
	if r.passesOthers(&health) {
		waiting = 0
	}
	limit, startWait := target.Live.Limit(now)
	return selection.Candidate{
		GrayFailureProbability: belief.DecayToPrior(health.BadProbability, now.Sub(health.LastOutcomeAt)),
		EvidenceAge:            now.Sub(health.LastOutcomeAt),
		Running:                running,
		QueuedAhead:            waiting,
		Slots:                  target.Slots,
		MeanServiceTime:        health.MeanServiceTime,
		RateLimited:            limit.Limited,
		StartWait:              startWait,
		WarmUpLeft:             target.WarmUpUntil.Sub(now),
		SameZone:               target.SameZone,
		LeaveCost:              r.leaveCost(snap, target),
		Stopping:               health.Stopping,
		PathSuspect:            target.Live.PathFailedWithin(now, pathSuspectDuration) || (!target.Local && !target.Live.HeardDirectlyWithin(now, snap.PeerTimeout)),
		Excluded:               r.exclusion(now, snap, target, &health) != notExcluded,
	}
}

// exclusion is why a backend server is not a candidate for a request.
type exclusion string

const (
	notExcluded     exclusion = ""
	zoneEvacuated   exclusion = "zone evacuated"
	queueIsFull     exclusion = "queue full"
	draining        exclusion = "draining"
	leaving         exclusion = "leaving"
	refusesAttempts exclusion = "refuses attempts"
	alreadyTried    exclusion = "already tried"
)

func (r *requestState) exclusion(now time.Time, snap *mesh.Snapshot, target *mesh.Target, health *mesh.Health) exclusion {
	switch {
	case target.Evacuated:
		return zoneEvacuated
	case target.Draining:
		return draining
	case target.Live.Leaving():
		return leaving
	case health.RefusesAttempts:
		return refusesAttempts
	case r.isFull(now, snap, target), r.queueFull[target.ID] && r.queueFullRefusals < maxQueueFullRefusals:
		return queueIsFull
	case r.excluded[target.ID]:
		return alreadyTried
	}
	return notExcluded
}
