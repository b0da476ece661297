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

// note keeps what the attempt says about the path and the load.
func (r *run) note(ctx context.Context, target *mesh.Target, answer hop.Answer) {
	switch {
	case answer.Result.Code == pipeline.CodeWrongExit:
		target.Live.PathFailed(time.Now()) // another server has the address
	case answer.Reached:
		target.Live.PathWorked()
	case ctx.Err() == nil:
		target.Live.PathFailed(time.Now())
	}
	if answer.HasLoad {
		target.Live.SetLoad(&answer.Load)
	}
}

// log writes what decided the choice and how the attempt ended.
func (r *run) log(target *mesh.Target, known *selection.Candidate, attempt *pipeline.Request, answer hop.Answer, took time.Duration) {
	r.filter.Log.Info("attempt ended",
		zap.String("request", r.req.ID), zap.String("attempt", attempt.ID),
		zap.String("backend", target.ID), zap.String("host", target.Host),
		zap.Float64("bad", known.GrayFailureProbability), zap.Int64("evidence_ms", known.EvidenceAge.Milliseconds()),
		zap.Int("running", known.Running), zap.Int("waiting", known.QueuedAhead), zap.Bool("same_zone", known.SameZone),
		zap.Uint16("code", uint16(answer.Result.Code)), zap.Int("status", answer.Result.Status),
		zap.Int64("took_ms", took.Milliseconds()))
}

// choose returns the server with the lowest expected cost, nil when none is
// left. Servers without a free slot are barred only until the request waits.
func (r *run) choose() (*mesh.Target, selection.Candidate) {
	snap := r.filter.Snapshot()
	targets := snap.Services[r.req.Service]
	now := time.Now()
	candidates := make([]selection.Candidate, len(targets))
	for i, target := range targets {
		candidates[i] = r.candidate(now, snap, target)
	}
	want := selection.Request{
		Idempotent:    r.req.Class.Idempotent,
		TargetLatency: r.req.Class.TargetLatency,
		TimeLeft:      time.Until(r.req.Deadline),
		Retryable:     r.ran+1 < r.req.MaxAttempts && r.budget.retryLeft(now),
		Bytes:         len(r.req.Payload) + usualAnswer,
	}
	at := selection.Choose(want, candidates, random())
	if at < 0 && len(r.full) > 0 && r.refusals < maxRefusals {
		r.refusals = maxRefusals
		return r.choose()
	}
	if at < 0 {
		return nil, selection.Candidate{}
	}
	return targets[at], candidates[at]
}

func random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (r *run) candidate(now time.Time, snap *mesh.Snapshot, target *mesh.Target) selection.Candidate {
	health := target.Live.Health()
	running, waiting, urgent := target.Live.Load()
	// The others let an urgent request pass. Calls count the whole queue all the
	// same: the request that makes one holds a slot elsewhere while it waits.
	if r.req.Rank <= pipeline.MaxUrgentRank && r.req.ParentID == "" {
		waiting = urgent
	}
	return selection.Candidate{
		GrayFailureProbability: belief.DecayToPrior(health.Bad, now.Sub(health.Evidence)),
		EvidenceAge:            now.Sub(health.Evidence),
		Running:                running,
		QueuedAhead:            waiting,
		Slots:                  target.Slots,
		MeanServiceTime:        health.Held,
		WarmUpLeft:             target.ColdUntil.Sub(now),
		SameZone:               target.SameZone,
		Stopping:               health.Stopping,
		PathSuspect:            target.Live.PathFailedWithin(now, pathMemory) || (!target.Local && !target.Live.HeardWithin(now, snap.Silence)),
		Excluded: target.Draining || health.Closed || r.barred[target.ID] ||
			(r.full[target.ID] && r.refusals < maxRefusals),
	}
}
