package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/belief"
	"github.com/ragwortyard/ragwortyard/decide/selection"
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
		zap.Int("running", candidate.Running), zap.Int("waiting", candidate.QueuedAhead), zap.Bool("same_zone", candidate.SameZone),
		zap.Uint16("code", uint16(answer.Result.Code)), zap.Int("status", answer.Result.Status),
		zap.Int64("took_ms", took.Milliseconds()))
}

// choose returns the backend server with the lowest expected cost, or nil if none
// is left. Servers that refused for lack of a free slot are excluded only until the
// request may wait in a queue.
func (r *requestState) choose() (*mesh.Target, selection.Candidate) {
	snap := r.filter.Snapshot()
	targets := snap.Services[r.req.Service]
	now := time.Now()
	candidates := make([]selection.Candidate, len(targets))
	for i, target := range targets {
		candidates[i] = r.candidate(now, snap, target)
	}
	properties := selection.Request{
		Idempotent:    r.req.Class.Idempotent,
		TargetLatency: r.req.Class.TargetLatency,
		TimeLeft:      time.Until(r.req.Deadline),
		Retryable:     r.possiblyExecuted+1 < r.req.MaxAttempts && r.budget.retryLikelyAvailable(now),
		Bytes:         len(r.req.Payload) + typicalResponseBytes,
	}
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

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// candidate describes a backend server for the selection.
func (r *requestState) candidate(now time.Time, snap *mesh.Snapshot, target *mesh.Target) selection.Candidate {
	health := target.Live.Health()
	running, waiting, urgent := target.Live.Load()
	// Urgent requests go before others in the queue. For calls by backend servers the
	// whole queue counts nevertheless, since the request that makes the call holds a
	// slot elsewhere while the call waits.
	if r.req.Rank <= pipeline.MaxUrgentRank && r.req.ParentID == "" {
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
		Stopping:               health.Stopping,
		PathSuspect:            target.Live.PathFailedWithin(now, pathSuspectDuration) || (!target.Local && !target.Live.HeardDirectlyWithin(now, snap.PeerTimeout)),
		Excluded: target.Evacuated || target.Draining || target.Live.Leaving() || health.RefusesAttempts || r.excluded[target.ID] ||
			(r.queueFull[target.ID] && r.queueFullRefusals < maxQueueFullRefusals),
	}
}
