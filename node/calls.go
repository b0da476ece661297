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

// dispatcherOptions connects the dispatcher of a local backend server with the
// control loop.
func (n *Node) dispatcherOptions(local control.LocalBackend) queue.Options {
	return queue.Options{
		Slots: local.Slots,
		Standing: func(now time.Time, f quarantine.Fingerprint) quarantine.FingerprintStatus {
			return n.loop.Snapshot().Quarantine.Lookup(now, f)
		},
		Report: func(reports []quarantine.Report) {
			n.loop.Post(control.QuarantineReported{Backend: local.ID, Reports: reports})
		},
	}
}

// callStarted returns the function that takes the calls sent to a local backend
// server.
func (n *Node) callStarted(local control.LocalBackend) func(uint64, string, time.Time) {
	return func(call uint64, class string, at time.Time) {
		n.loop.Post(control.CallStarted{Backend: local.ID, Call: call, Class: class, At: at})
	}
}

// callEnded returns the function that takes the ends of the calls to a local
// backend server.
func (n *Node) callEnded(local control.LocalBackend) func(send.Observation) {
	return func(o send.Observation) {
		n.logVictim(local, o.Request)
		n.loop.Post(control.CallEnded{
			Backend: local.ID,
			Call:    o.Call,
			Class:   o.Request.Class.Name,
			Outcome: ejectionOutcome(o),
			Latency: o.Latency,
		})
	}
}

// logVictim names a request that was in flight when the backend server died, so
// that operators find the one behind a condemned fingerprint. The query may hold
// personal data and is left out.
func (n *Node) logVictim(local control.LocalBackend, req *pipeline.Request) {
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

// ejectionOutcome maps the end of a call to what it says of the health of the
// backend server. A crash under a suspect counts against the suspect.
func ejectionOutcome(o send.Observation) ejection.Outcome {
	if o.Request.CrashSuspect && o.Request.RunResult == pipeline.RunBackendCrashed {
		return ejection.Ignored
	}
	switch o.Ending {
	case send.Served:
		return ejection.Success
	case send.Shed:
		return ejection.Ignored
	case send.CallerLeft:
		return ejection.Abandoned
	default:
		return ejection.Failure
	}
}
