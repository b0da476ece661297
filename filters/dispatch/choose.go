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
	if answer.Result.Code == pipeline.CodeOK {
		r.filter.Sizes.Observe(r.req.Route, answer.Result.ContentLength)
	}
	if answer.HasLoad {
		target.Live.SetLoad(&answer.Load)
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
		zap.Int("running", candidate.Running), zap.Int("waiting", candidate.QueuedAhead), zap.Bool("same_zone", candidate.SameZone), zap.Float64("leave_cost", candidate.LeaveCost),
		zap.Uint16("code", uint16(answer.Result.Code)), zap.Int("status", answer.Result.Status),
		zap.Int64("took_ms", took.Milliseconds()))
}

// choose returns the backend server with the lowest expected cost, or nil if none
// is left. Servers that refused for lack of a free slot are excluded only until the
// request may wait in a queue.
func (r *requestState) choose() (*mesh.Target, selection.Candidate) {
	now := time.Now()
	targets, candidates := r.candidates(now)
	properties := r.properties(now)
	index := selection.Choose(properties, candidates, newRand())
	if index < 0 && len(r.queueFull) > 0 && r.queueFullRefusals < maxQueueFullRefusals {
		r.queueFullRefusals = maxQueueFullRefusals
		return r.choose()
	}
	if index < 0 {
		return nil, selection.Candidate{}
	}
	return targets[index], candidates[index]
}

// candidates describes the backend servers of the service for the selection.
func (r *requestState) candidates(now time.Time) ([]*mesh.Target, []selection.Candidate) {
	snap := r.filter.Snapshot()
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

// isFull reports whether the queue of a server's exit proxy was full when it last reported.
// waiting is the number of waiting requests that a request would not go before.
func isFull(target *mesh.Target, waiting int) bool {
	return waiting >= slotqueue.MaxWaitingPerSlot*target.Slots
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

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// candidate describes a backend server for the selection.
func (r *requestState) candidate(now time.Time, snap *mesh.Snapshot, target *mesh.Target) selection.Candidate {
	health := target.Live.Health()
	running, waiting, urgent := target.Live.Load()
	// Urgent requests, calls of backend servers among them, go before others in the queue.
	if r.req.Rank <= pipeline.MaxUrgentRank {
		waiting = urgent
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
		Excluded:               r.exclusion(target, &health, waiting) != notExcluded,
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

func (r *requestState) exclusion(target *mesh.Target, health *mesh.Health, waiting int) exclusion {
	switch {
	case target.Evacuated:
		return zoneEvacuated
	case target.Draining:
		return draining
	case target.Live.Leaving():
		return leaving
	case health.RefusesAttempts:
		return refusesAttempts
	case isFull(target, waiting), r.queueFull[target.ID] && r.queueFullRefusals < maxQueueFullRefusals:
		return queueIsFull
	case r.excluded[target.ID]:
		return alreadyTried
	}
	return notExcluded
}
