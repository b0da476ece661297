package control

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// CallStarted says that a request was passed to a local backend server.
type CallStarted struct {
	Backend string
	Call    uint64 // unique for each request of this process
	Class   string
	At      time.Time
}

// ControlEvent marks CallStarted as an event.
func (CallStarted) ControlEvent() {}

// CallEnded says how a request to a local backend server ended.
type CallEnded struct {
	Backend string
	Call    uint64
	Class   string
	Outcome ejection.Outcome
	Latency time.Duration // until the header of the answer
}

// ControlEvent marks CallEnded as an event.
func (CallEnded) ControlEvent() {}

// BackendProbed is the result of reading the health endpoint of a local backend
// server.
type BackendProbed struct {
	Backend  string
	Failing  bool // no answer, or the server says that it is not well
	Starting bool // the server says that it is in its cold start
	Draining bool // the server wants no new work
}

// ControlEvent marks BackendProbed as an event.
func (BackendProbed) ControlEvent() {}

// HealthReport carries the reports of the backend servers of one service on one
// host to the keeper of the service.
type HealthReport struct {
	Service string            `json:"s"`
	Reports []ejection.Report `json:"r"`
}

// HealthAnswer tells whether the receiver keeps the service and in which epoch.
type HealthAnswer struct {
	Keeper bool   `json:"k,omitempty"`
	Epoch  uint64 `json:"e,omitempty"`
	Hint   string `json:"h,omitempty"` // the keeper as far as the receiver knows
}

// HealthVerdicts carries the verdicts on backend servers of one host.
type HealthVerdicts struct {
	Service  string             `json:"s"`
	Verdicts []ejection.Verdict `json:"v"`
}

// serviceShard is the shard whose keeper decides on the ejections of a service.
func serviceShard(service string) uint32 {
	return rendezvous.Shard("service:" + service)
}

// watched is a local backend server with what is known of its health.
type watched struct {
	local     Local
	collector *ejection.Collector
	guard     *ejection.LeaseHolder
	running   map[uint64]ejection.InFlightCall
	started   time.Time
	probe     BackendProbed
	refused   bool // the last call found nothing listening
}

// EjectionLog reports a change of an ejection to operators.
type EjectionLog struct {
	Backend string
	Verdict ejection.Verdict
}

// ControlCommand marks EjectionLog as a command.
func (EjectionLog) ControlCommand() {}

// healthStage reports on the local backend servers and holds their ejections.
type healthStage struct {
	state    *State
	judges   *judgesStage
	settings *ejectionSettings
	watched  map[string]*watched
	epochs   map[string]uint64 // of the keeper, by service
	next     time.Time
	seen     uint64 // host list version
}

func newHealthStage(state *State, judges *judgesStage, settings *ejectionSettings) *healthStage {
	return &healthStage{
		state:    state,
		judges:   judges,
		settings: settings,
		watched:  make(map[string]*watched),
		epochs:   make(map[string]uint64),
		next:     state.Self.Started,
	}
}

// Name returns "health".
func (s *healthStage) Name() string { return "health" }

// Deadline returns the time of the next reports.
func (s *healthStage) Deadline() time.Time { return s.next }

// Handle takes observations and verdicts and sends reports.
func (s *healthStage) Handle(now time.Time, ev Event, out *Output) {
	s.followLocals(now)
	switch e := ev.(type) {
	case CallStarted:
		if w := s.watched[e.Backend]; w != nil {
			w.running[e.Call] = ejection.InFlightCall{Class: e.Class, Since: e.At}
		}
	case CallEnded:
		s.ended(now, e)
	case BackendProbed:
		s.probed(now, e, out)
	case PeerAsked:
		s.answer(now, e, out)
	case PeerReplied:
		s.takeReply(e)
	case Stop:
		s.next = now
	case Tick:
		s.tick(now, out)
	}
}

func (s *healthStage) followLocals(now time.Time) {
	if s.seen == s.state.HostVersion {
		return
	}
	first := s.seen == 0
	s.seen = s.state.HostVersion
	next := make(map[string]*watched)
	for _, local := range s.state.locals() {
		w := s.watched[local.ID]
		if w == nil || w.local != local {
			w = s.watch(now, local, first)
		}
		w.collector.SetSettings(s.settings.current())
		next[local.ID] = w
	}
	s.watched = next
}

// watch starts to observe a backend server. One that appears while this process
// runs has just started.
func (s *healthStage) watch(now time.Time, local Local, first bool) *watched {
	w := &watched{
		local:     local,
		collector: ejection.NewCollector(s.settings.current(), local.Service, local.ID),
		guard:     ejection.NewLeaseHolder(s.state.Self.Incarnation),
		running:   make(map[uint64]ejection.InFlightCall),
	}
	if !first {
		w.started = now
	}
	return w
}

// ended takes in a call. The first call that a server answers after one that
// found nothing listening shows that it has just started.
func (s *healthStage) ended(now time.Time, e CallEnded) {
	w := s.watched[e.Backend]
	if w == nil {
		return
	}
	delete(w.running, e.Call)
	w.collector.Observe(e.Class, e.Outcome, e.Latency)
	if w.refused && e.Outcome == ejection.Success {
		w.started, w.refused = now, false
	}
}

func (s *healthStage) probed(now time.Time, e BackendProbed, out *Output) {
	w := s.watched[e.Backend]
	if w == nil {
		return
	}
	if e.Starting && !w.probe.Starting {
		w.started = now
	}
	changed := e.Draining != w.probe.Draining
	w.probe = e
	if changed {
		s.state.Draining = s.draining()
		out.Publish()
	}
}

func (s *healthStage) draining() map[string]bool {
	draining := make(map[string]bool)
	for id, w := range s.watched {
		if w.probe.Draining {
			draining[id] = true
		}
	}
	return draining
}

func (s *healthStage) tick(now time.Time, out *Output) {
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(s.settings.current().ReportInterval)
	byService := make(map[string][]ejection.Report)
	for _, local := range s.state.locals() {
		w := s.watched[local.ID]
		if w == nil {
			continue
		}
		if r, ok := s.report(now, w); ok {
			byService[local.Service] = append(byService[local.Service], r)
		}
	}
	for service, reports := range byService {
		s.send(now, HealthReport{Service: service, Reports: reports}, out)
	}
}

func (s *healthStage) report(now time.Time, w *watched) (ejection.Report, bool) {
	epoch := s.epochs[w.local.Service]
	self := s.state.Hosts[s.state.Self.ID]
	report, ok := w.collector.Report(now, ejection.LocalState{
		Started:     w.started,
		Suspect:     w.probe.Failing,
		Leaving:     self.Leaving || s.state.Stopping || w.probe.Draining,
		Ejected:     now.Before(w.guard.Lease().Until),
		KeeperEpoch: epoch,
		InFlight:    w.runningCalls(),
	})
	if ok {
		w.guard.PrepareReport(now, epoch, &report)
	}
	return report, ok
}

func (w *watched) runningCalls() []ejection.InFlightCall {
	calls := make([]ejection.InFlightCall, 0, len(w.running))
	for _, r := range w.running {
		calls = append(calls, r)
	}
	return calls
}

func (s *healthStage) send(now time.Time, report HealthReport, out *Output) {
	target, ok := s.state.Leases.Directory.Target(serviceShard(report.Service))
	if !ok {
		return
	}
	if target == s.state.Self.ID {
		s.takeAnswer(report, target, s.judges.observe(now, report, out))
		return
	}
	s.state.call(out, target, report)
}

func (s *healthStage) takeReply(e PeerReplied) {
	report, ok := e.Message.(HealthReport)
	if !ok {
		return
	}
	answer, ok := e.Reply.(HealthAnswer)
	if !ok || e.Err != nil {
		s.state.Leases.Directory.OnMiss(serviceShard(report.Service), e.Peer, "")
		return
	}
	s.takeAnswer(report, e.Peer, answer)
}

func (s *healthStage) takeAnswer(report HealthReport, peer string, answer HealthAnswer) {
	shard := serviceShard(report.Service)
	if !answer.Keeper {
		s.state.Leases.Directory.OnMiss(shard, peer, answer.Hint)
		return
	}
	s.state.Leases.Directory.OnKeeper(shard, peer)
	s.epochs[report.Service] = max(s.epochs[report.Service], answer.Epoch)
}

func (s *healthStage) answer(now time.Time, e PeerAsked, out *Output) {
	verdicts, ok := e.Message.(HealthVerdicts)
	if !ok {
		return
	}
	s.apply(now, verdicts, out)
	e.Answer(Ack{})
}

// apply puts verdicts in force and publishes the leases.
func (s *healthStage) apply(now time.Time, verdicts HealthVerdicts, out *Output) {
	for _, v := range verdicts.Verdicts {
		w := s.watched[v.Server]
		if w == nil || w.guard.ApplyVerdict(now, v) != ejection.Accepted {
			continue
		}
		if !v.Renewal {
			out.Emit(EjectionLog{Backend: v.Server, Verdict: v})
		}
		out.Publish()
	}
	s.state.Ejections = s.leases()
}

func (s *healthStage) leases() map[string]ejection.Lease {
	leases := make(map[string]ejection.Lease, len(s.watched))
	for id, w := range s.watched {
		leases[id] = w.guard.Lease()
	}
	return leases
}
