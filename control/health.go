package control

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// CallStarted reports that a request was forwarded to a local backend server.
type CallStarted struct {
	Backend string
	Call    uint64 // unique for each request of this process
	Class   string
	At      time.Time
}

// ControlEvent marks CallStarted as an event.
func (CallStarted) ControlEvent() {}

// CallEnded reports how a request to a local backend server ended.
type CallEnded struct {
	Backend string
	Call    uint64
	Class   string
	Outcome ejection.Outcome
	Latency time.Duration // until the response header
}

// ControlEvent marks CallEnded as an event.
func (CallEnded) ControlEvent() {}

// BackendProbed is the result of reading the health endpoint of a local backend
// server.
type BackendProbed struct {
	Backend  string
	Failing  bool // no response, or the server reports that it is unhealthy
	Starting bool // the server reports a cold start
	Draining bool // the server reports that it is draining
}

// ControlEvent marks BackendProbed as an event.
func (BackendProbed) ControlEvent() {}

// HealthReport carries the reports of the backend servers of one service on one
// host to the leader of the service.
type HealthReport struct {
	Service string            `json:"s"`
	Reports []ejection.Report `json:"r"`
}

// HealthReportReply reports whether the receiver leads the shard of the service
// and in which epoch.
type HealthReportReply struct {
	Leader     bool   `json:"k,omitempty"`
	Epoch      uint64 `json:"e,omitempty"`
	LeaderHint string `json:"h,omitempty"` // the leader that the receiver knows of
}

// HealthVerdicts carries the verdicts on the backend servers of one host.
type HealthVerdicts struct {
	Service  string             `json:"s"`
	Verdicts []ejection.Verdict `json:"v"`
}

// serviceShard returns the shard whose leader decides on the ejections of a service.
func serviceShard(service string) uint32 {
	return rendezvous.Shard("service:" + service)
}

// monitoredBackend is a local backend server with its health observations.
type monitoredBackend struct {
	backend           LocalBackend
	collector         *ejection.Collector
	leaseHolder       *ejection.LeaseHolder
	inFlight          map[uint64]ejection.InFlightCall
	started           time.Time
	probe             BackendProbed
	connectionRefused bool // the last connection attempt was refused; never set at present
}

// EjectionLog is the command to log a change of an ejection.
type EjectionLog struct {
	Backend string
	Verdict ejection.Verdict
}

// ControlCommand marks EjectionLog as a command.
func (EjectionLog) ControlCommand() {}

// healthStage reports the health of the local backend servers to the leaders of
// their services and applies the ejections that these decide.
type healthStage struct {
	state       *State
	detectors   *detectorsStage
	settings    *ejectionSettings
	monitored   map[string]*monitoredBackend
	epochs      map[string]uint64 // leader epoch by service
	nextReport  time.Time
	hostVersion uint64 // host list version of monitored
}

func newHealthStage(state *State, detectors *detectorsStage, settings *ejectionSettings) *healthStage {
	return &healthStage{
		state:      state,
		detectors:  detectors,
		settings:   settings,
		monitored:  make(map[string]*monitoredBackend),
		epochs:     make(map[string]uint64),
		nextReport: state.Self.Started,
	}
}

// Name returns "health".
func (s *healthStage) Name() string { return "health" }

// Deadline returns when the next reports are due.
func (s *healthStage) Deadline() time.Time { return s.nextReport }

// Handle processes observations and verdicts and sends reports.
func (s *healthStage) Handle(now time.Time, ev Event, out *Output) {
	s.updateBackends(now)
	switch e := ev.(type) {
	case CallStarted:
		if m := s.monitored[e.Backend]; m != nil {
			m.inFlight[e.Call] = ejection.InFlightCall{Class: e.Class, Since: e.At}
		}
	case CallEnded:
		s.endCall(now, e)
	case BackendProbed:
		s.recordProbe(now, e, out)
	case PeerRequest:
		s.handleRequest(now, e, out)
	case PeerResponse:
		s.handleResponse(e)
	case Stop:
		s.nextReport = now
	case Tick:
		s.tick(now, out)
	}
}

func (s *healthStage) updateBackends(now time.Time) {
	if s.hostVersion == s.state.HostVersion {
		return
	}
	first := s.hostVersion == 0
	s.hostVersion = s.state.HostVersion
	next := make(map[string]*monitoredBackend)
	for _, local := range s.state.localBackends() {
		m := s.monitored[local.ID]
		if m == nil || m.backend != local {
			m = s.monitor(now, local, first)
		}
		m.collector.SetSettings(s.settings.current())
		next[local.ID] = m
	}
	s.monitored = next
}

// monitor starts to observe a backend server. A server that is added after the first
// host list counts as just started.
func (s *healthStage) monitor(now time.Time, local LocalBackend, first bool) *monitoredBackend {
	m := &monitoredBackend{
		backend:     local,
		collector:   ejection.NewCollector(s.settings.current(), local.Service, local.ID),
		leaseHolder: ejection.NewLeaseHolder(s.state.Self.Incarnation),
		inFlight:    make(map[uint64]ejection.InFlightCall),
	}
	if !first {
		m.started = now
	}
	return m
}

// endCall records the result of a call. A server counts as just started at its first
// successful call after a refused connection.
func (s *healthStage) endCall(now time.Time, e CallEnded) {
	m := s.monitored[e.Backend]
	if m == nil {
		return
	}
	delete(m.inFlight, e.Call)
	m.collector.Observe(e.Class, e.Outcome, e.Latency)
	if m.connectionRefused && e.Outcome == ejection.Success {
		m.started, m.connectionRefused = now, false
	}
}

func (s *healthStage) recordProbe(now time.Time, e BackendProbed, out *Output) {
	m := s.monitored[e.Backend]
	if m == nil {
		return
	}
	if e.Starting && !m.probe.Starting {
		m.started = now
	}
	changed := e.Draining != m.probe.Draining
	m.probe = e
	if changed {
		s.state.Draining = s.draining()
		out.Publish()
	}
}

func (s *healthStage) draining() map[string]bool {
	draining := make(map[string]bool)
	for id, m := range s.monitored {
		if m.probe.Draining {
			draining[id] = true
		}
	}
	return draining
}

func (s *healthStage) tick(now time.Time, out *Output) {
	if now.Before(s.nextReport) {
		return
	}
	s.nextReport = now.Add(s.settings.current().ReportInterval)
	byService := make(map[string][]ejection.Report)
	for _, local := range s.state.localBackends() {
		m := s.monitored[local.ID]
		if m == nil {
			continue
		}
		if r, ok := s.buildReport(now, m); ok {
			byService[local.Service] = append(byService[local.Service], r)
		}
	}
	for service, reports := range byService {
		s.sendReport(now, HealthReport{Service: service, Reports: reports}, out)
	}
}

func (s *healthStage) buildReport(now time.Time, m *monitoredBackend) (ejection.Report, bool) {
	epoch := s.epochs[m.backend.Service]
	self := s.state.Hosts[s.state.Self.ID]
	report, ok := m.collector.Report(now, ejection.LocalState{
		Started:     m.started,
		Suspect:     m.probe.Failing,
		Leaving:     self.Leaving || s.state.Stopping || m.probe.Draining,
		Ejected:     now.Before(m.leaseHolder.Lease().Until),
		LeaderEpoch: epoch,
		InFlight:    m.inFlightCalls(),
	})
	if ok {
		m.leaseHolder.PrepareReport(now, epoch, &report)
	}
	return report, ok
}

func (m *monitoredBackend) inFlightCalls() []ejection.InFlightCall {
	calls := make([]ejection.InFlightCall, 0, len(m.inFlight))
	for _, r := range m.inFlight {
		calls = append(calls, r)
	}
	return calls
}

func (s *healthStage) sendReport(now time.Time, report HealthReport, out *Output) {
	target, ok := s.state.Leases.Directory.Target(serviceShard(report.Service))
	if !ok {
		return
	}
	if target == s.state.Self.ID {
		s.recordReply(report, target, s.detectors.handleReport(now, report, out))
		return
	}
	s.state.call(out, target, report)
}

func (s *healthStage) handleResponse(e PeerResponse) {
	report, ok := e.Message.(HealthReport)
	if !ok {
		return
	}
	reply, ok := e.Reply.(HealthReportReply)
	if !ok || e.Err != nil {
		s.state.Leases.Directory.OnMiss(serviceShard(report.Service), e.Peer, "")
		return
	}
	s.recordReply(report, e.Peer, reply)
}

func (s *healthStage) recordReply(report HealthReport, peer string, reply HealthReportReply) {
	shard := serviceShard(report.Service)
	if !reply.Leader {
		s.state.Leases.Directory.OnMiss(shard, peer, reply.LeaderHint)
		return
	}
	s.state.Leases.Directory.OnLeader(shard, peer)
	s.epochs[report.Service] = max(s.epochs[report.Service], reply.Epoch)
}

func (s *healthStage) handleRequest(now time.Time, e PeerRequest, out *Output) {
	verdicts, ok := e.Message.(HealthVerdicts)
	if !ok {
		return
	}
	s.applyVerdicts(now, verdicts, out)
	e.Respond(Ack{})
}

// applyVerdicts applies verdicts to the ejection leases and publishes the leases.
func (s *healthStage) applyVerdicts(now time.Time, verdicts HealthVerdicts, out *Output) {
	for _, v := range verdicts.Verdicts {
		m := s.monitored[v.Server]
		if m == nil || m.leaseHolder.ApplyVerdict(now, v) != ejection.Accepted {
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
	leases := make(map[string]ejection.Lease, len(s.monitored))
	for id, m := range s.monitored {
		leases[id] = m.leaseHolder.Lease()
	}
	return leases
}
