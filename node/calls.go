package node

import (
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/ejection"
	"github.com/ragwortyard/ragwortyard/filters/send"
)

// callStarted returns the function that takes the calls sent to a local backend
// server.
func (n *Node) callStarted(local control.Local) func(uint64, string, time.Time) {
	return func(call uint64, class string, at time.Time) {
		n.loop.Post(control.CallStarted{Backend: local.ID, Call: call, Class: class, At: at})
	}
}

// callEnded returns the function that takes the ends of the calls to a local
// backend server.
func (n *Node) callEnded(local control.Local) func(send.Observation) {
	return func(o send.Observation) {
		n.loop.Post(control.CallEnded{
			Backend: local.ID,
			Call:    o.Call,
			Class:   o.Request.Class.Name,
			Outcome: ejectionOutcome(o.Ending),
			Latency: o.Latency,
		})
	}
}

// ejectionOutcome maps the end of a call to what it says of the health of the
// backend server.
func ejectionOutcome(e send.Ending) ejection.Outcome {
	switch e {
	case send.Served:
		return ejection.Success
	case send.Shed:
		return ejection.Excused
	case send.CallerLeft:
		return ejection.Abandoned
	default:
		return ejection.Failure
	}
}
