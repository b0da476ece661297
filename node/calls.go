package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/ejection"
	"github.com/ragwortyard/ragwortyard/decide/quarantine"
	"github.com/ragwortyard/ragwortyard/filters/queue"
	"github.com/ragwortyard/ragwortyard/filters/send"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// dispatcherOptions connects the dispatcher of a local backend server to the control
// loop.
func (n *Node) dispatcherOptions(local control.LocalBackend) queue.Options {
	return queue.Options{
		Slots: local.Slots,
		FingerprintStatus: func(now time.Time, f quarantine.Fingerprint) quarantine.FingerprintStatus {
			return n.loop.Snapshot().Quarantine.Lookup(now, f)
		},
		Report: func(reports []quarantine.Report) {
			n.loop.Post(control.QuarantineReported{Backend: local.ID, Reports: reports})
		},
	}
}

// callStartHook returns the function that reports each call sent to a local backend
// server to the control loop.
func (n *Node) callStartHook(local control.LocalBackend) func(uint64, string, time.Time) {
	return func(call uint64, class string, at time.Time) {
		n.loop.Post(control.CallStarted{Backend: local.ID, Call: call, Class: class, At: at})
	}
}

// callEndHook returns the function that reports each finished call to a local backend
// server to the control loop.
func (n *Node) callEndHook(local control.LocalBackend) func(send.Observation) {
	return func(o send.Observation) {
		n.logCrashedRequest(local, o.Request)
		n.loop.Post(control.CallEnded{
			Backend: local.ID,
			Call:    o.Call,
			Class:   o.Request.Class.Name,
			Outcome: ejectionOutcome(o),
			Latency: o.Latency,
		})
	}
}

// logCrashedRequest logs a request that was in flight when the backend server crashed,
// so that operators can find the request behind a blocked fingerprint. The query is
// left out because it may contain personal data.
func (n *Node) logCrashedRequest(local control.LocalBackend, req *pipeline.Request) {
	if req.RunResult != pipeline.RunBackendCrashed {
		return
	}
	n.log.Warn("request was in flight when the backend server crashed",
		zap.String("backend", local.ID),
		zap.String("fingerprint", formatFingerprint(quarantine.Fingerprint(req.Fingerprint))),
		zap.String("team", req.Principal.Team),
		zap.String("route", req.Route),
		zap.String("method", req.Method),
		zap.String("path", req.Path),
		zap.Bool("alone", req.CrashSuspect))
}

// ejectionOutcome maps the end of a call to its outcome for outlier ejection. A crash
// while a suspect request ran alone is attributed to that request, not to the backend
// server.
func ejectionOutcome(o send.Observation) ejection.Outcome {
	if o.Request.CrashSuspect && o.Request.RunResult == pipeline.RunBackendCrashed {
		return ejection.Ignored
	}
	switch o.Outcome {
	case send.Served:
		return ejection.Success
	case send.Shed:
		return ejection.Ignored
	case send.Inconclusive:
		return ejection.Abandoned
	default:
		return ejection.Failure
	}
}
