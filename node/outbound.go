package node

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/path"
	"github.com/ragwortyard/ragwortyard/decide/quarantine"
	"github.com/ragwortyard/ragwortyard/decide/spread"
)

// maxConcurrentCommands limits the commands of the control loop that run at the same
// time. Each takes at most 500 ms, so the limit is reached only if hundreds of peers do
// not respond at once.
const maxConcurrentCommands = 512

// platformReadTimeout limits a read from the platform, which normally takes milliseconds.
const platformReadTimeout = time.Second

// outbound executes the commands of the control loop, each in its own goroutine, so that
// an unresponsive peer does not delay commands to others.
type outbound struct {
	node  *Node
	slots chan struct{} // limits the running commands
	ctx   context.Context
}

func newOutbound(n *Node) *outbound {
	return &outbound{node: n, slots: make(chan struct{}, maxConcurrentCommands), ctx: context.Background()}
}

// Send starts a command. It returns false if too many commands are running.
func (o *outbound) Send(cmd control.Command) bool {
	if locals, ok := cmd.(control.SyncBackends); ok {
		return o.syncBackends(locals)
	}
	select {
	case o.slots <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-o.slots }()
		o.execute(cmd)
	}()
	return true
}

// syncBackends queues an update of the exit table. It returns false if the queue is full.
func (o *outbound) syncBackends(cmd control.SyncBackends) bool {
	select {
	case o.node.exitProxies.updates <- cmd.Backends:
		return true
	default:
		return false
	}
}

func (o *outbound) execute(cmd control.Command) {
	switch c := cmd.(type) {
	case control.Call:
		o.call(c)
	case control.ReadService:
		o.readService(c)
	case control.ReadServiceParts:
		o.readParts(c)
	case control.ProbePath:
		o.probePath(c)
	case control.EjectionLog:
		o.logEjection(c)
	case control.ConfigLog:
		o.logConfig(c)
	case control.CrashLog:
		o.logCrash(c)
	case control.StandingLog:
		o.logStanding(c)
	}
}

func (o *outbound) call(c control.Call) {
	sent := time.Now()
	reply, err := o.node.callPeer(o.ctx, c)
	o.node.loop.Post(control.PeerResponse{Peer: c.Peer, Message: c.Message, Reply: reply, Err: err, Sent: sent})
}

func (o *outbound) readService(c control.ReadService) {
	ctx, cancel := context.WithTimeout(o.ctx, platformReadTimeout)
	defer cancel()
	manifest, err := o.node.configSource.read(ctx, c.Action.Have)
	if err != nil {
		o.node.log.Debug("cannot read the configuration service", zap.Error(err))
		return
	}
	o.node.loop.Post(control.ServiceRead{Read: spread.ServiceReadResult{Seq: c.Action.Seq, Manifest: manifest}})
}

func (o *outbound) readParts(c control.ReadServiceParts) {
	o.node.loop.Post(control.ServicePartsRead{Parts: o.node.configSource.parts(c.Names)})
}

func (o *outbound) probePath(c control.ProbePath) {
	ctx, cancel := context.WithTimeout(o.ctx, path.ProbeTimeout)
	defer cancel()
	event := path.ProbeSucceeded
	if err := o.node.hopClient.Probe(ctx, c.Addr); err != nil {
		event = path.ProbeFailed
		o.node.log.Warn("path to peer failed a probe on a fresh connection", zap.String("peer", c.Peer), zap.Error(err))
	}
	o.node.loop.Post(control.PathObserved{Observation: path.Observation{Peer: c.Peer, Event: event}})
}

func (o *outbound) logConfig(c control.ConfigLog) {
	from := c.From
	if from == spread.ConfigService {
		from = "configuration service"
	}
	if c.Refusal != nil {
		o.node.log.Error("configuration refused; the last accepted one stays in force",
			zap.Uint64("version", c.Refusal.Stamp.Version), zap.String("from", from), zap.String("reason", c.Refusal.Reason))
		return
	}
	o.node.log.Info("configuration accepted", zap.Uint64("version", c.Accepted.Version()), zap.String("from", from))
}

func (o *outbound) logEjection(c control.EjectionLog) {
	o.node.metrics.GetOrCreateCounter(fmt.Sprintf(`ragwortyard_ejection_verdicts_total{kind=%q}`, c.Verdict.Kind)).Inc()
	o.node.log.Warn("ejection verdict applied",
		zap.String("backend", c.Backend),
		zap.String("kind", string(c.Verdict.Kind)),
		zap.String("reason", string(c.Verdict.Reason)),
		zap.Float64("share", c.Verdict.Share))
}

func (o *outbound) logCrash(c control.CrashLog) {
	o.node.metrics.GetOrCreateCounter(`ragwortyard_backend_crashes_total`).Inc()
	inFlight := make([]string, len(c.InFlight))
	for i, r := range c.InFlight {
		inFlight[i] = formatFingerprint(r.Fingerprint)
	}
	o.node.log.Warn("backend server crashed; the requests in flight are suspect",
		zap.String("backend", c.Backend), zap.Strings("fingerprints", inFlight))
}

func (o *outbound) logStanding(c control.StandingLog) {
	standing := c.Entry.Standing.String()
	o.node.metrics.GetOrCreateCounter(fmt.Sprintf(`ragwortyard_quarantine_decisions_total{standing=%q}`, standing)).Inc()
	o.node.log.Warn("quarantine standing decided",
		zap.String("fingerprint", formatFingerprint(c.Entry.Fingerprint)), zap.String("standing", standing))
}

// formatFingerprint formats a fingerprint as in the header of a request between processes.
func formatFingerprint(f quarantine.Fingerprint) string {
	return strconv.FormatUint(uint64(f), 16)
}
