package control

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
)

// serviceDetector holds the outlier detector of a service whose shard this process
// leads.
type serviceDetector struct {
	detector      *ejection.Detector
	epoch         uint64
	tenure        uint64 // epoch of the lease under which the detector was created
	hostVersion   uint64 // host list version last passed to the detector
	configVersion uint64 // configuration version of the capacity floor
}

// detectorsStage decides on the ejections of the services whose shards this process
// leads. Each service has a single leader, so that the capacity floor is enforced
// over the whole fleet.
type detectorsStage struct {
	state        *State
	settings     *ejectionSettings
	detectors    map[string]*serviceDetector
	applyLocally func(now time.Time, v HealthVerdicts, out *Output) // applies verdicts on local backend servers
	nextDecision time.Time
}

func newDetectorsStage(state *State, settings *ejectionSettings) *detectorsStage {
	return &detectorsStage{
		state:        state,
		settings:     settings,
		detectors:    make(map[string]*serviceDetector),
		nextDecision: state.Self.Started,
	}
}

// Name returns "detectors".
func (s *detectorsStage) Name() string { return "detectors" }

// Deadline returns when the next decisions are due.
func (s *detectorsStage) Deadline() time.Time { return s.nextDecision }

// Handle processes reports and decides on ejections.
func (s *detectorsStage) Handle(now time.Time, ev Event, out *Output) {
	switch e := ev.(type) {
	case PeerRequest:
		if report, ok := e.Message.(HealthReport); ok {
			e.Respond(s.handleReport(now, report, out))
		}
	case statusRequest:
		s.reportStatus(now, e.status)
	case Tick:
		s.tick(now, out)
	}
}

// handleReport records reports and decides at once, since any report can lead to a
// verdict.
func (s *detectorsStage) handleReport(now time.Time, report HealthReport, out *Output) HealthReportReply {
	d := s.detector(now, report.Service)
	if d == nil {
		return s.notLeaderReply(report.Service)
	}
	for _, r := range report.Reports {
		if r.Epoch > d.epoch {
			// The clock of an earlier leader was ahead. Exit proxies reject verdicts of
			// lower epochs, so the detector is restarted with a higher one.
			d = s.restart(now, report.Service, r.Epoch+1)
		}
		d.detector.Observe(now, r)
	}
	s.sendVerdicts(now, report.Service, d, out)
	return HealthReportReply{Leader: true, Epoch: d.epoch}
}

func (s *detectorsStage) notLeaderReply(service string) HealthReportReply {
	return HealthReportReply{LeaderHint: s.state.leaderHint(serviceShard(service))}
}

// detector returns the detector of a service, nil if this process does not lead its
// shard at this time.
func (s *detectorsStage) detector(now time.Time, service string) *serviceDetector {
	tenure, ok := s.state.Leases.Candidate.Tenure(now, serviceShard(service))
	if !ok {
		delete(s.detectors, service)
		return nil
	}
	d := s.detectors[service]
	if d == nil || d.tenure != tenure.Epoch {
		// Wall-clock milliseconds increase from leader to leader. If clocks differ,
		// handleReport raises the epoch.
		d = s.restart(now, service, uint64(now.UnixMilli()))
		d.tenure = tenure.Epoch
	}
	s.updateServers(now, service, d)
	return d
}

func (s *detectorsStage) restart(now time.Time, service string, epoch uint64) *serviceDetector {
	d := &serviceDetector{detector: ejection.NewDetector(epoch), epoch: epoch}
	if old := s.detectors[service]; old != nil {
		d.tenure = old.tenure
	}
	s.detectors[service] = d
	s.updateServers(now, service, d)
	return d
}

// updateServers passes changes of the host list and of the capacity floor to the
// detector.
func (s *detectorsStage) updateServers(now time.Time, service string, d *serviceDetector) {
	if s.state.Config == nil {
		return
	}
	if d.hostVersion == s.state.HostVersion && d.configVersion == s.state.Config.Version() {
		return
	}
	d.hostVersion, d.configVersion = s.state.HostVersion, s.state.Config.Version()
	floor := ejection.Floor{}
	if configured, ok := s.state.Config.Service(service); ok {
		floor.Share = configured.CapacityFloor
	}
	d.detector.SetServers(now, s.servers(service), floor)
}

func (s *detectorsStage) servers(service string) []ejection.ServerState {
	var servers []ejection.ServerState
	for _, h := range s.state.Hosts {
		for _, b := range h.Backends {
			if b.Service == service {
				servers = append(servers, ejection.ServerState{ID: b.ID, Host: h.ID, Leaving: h.Leaving || b.Leaving})
			}
		}
	}
	return servers
}

func (s *detectorsStage) tick(now time.Time, out *Output) {
	if now.Before(s.nextDecision) {
		return
	}
	s.nextDecision = now.Add(s.settings.current().ReportInterval)
	for service := range s.detectors {
		if d := s.detector(now, service); d != nil {
			s.sendVerdicts(now, service, d, out)
		}
	}
}

// sendVerdicts decides on ejections and sends the verdicts to the hosts of the
// backend servers.
func (s *detectorsStage) sendVerdicts(now time.Time, service string, d *serviceDetector, out *Output) {
	byHost := make(map[string][]ejection.Verdict)
	for _, v := range d.detector.Decide(now) {
		if target, ok := s.state.Targets[v.Server]; ok {
			byHost[target.Host] = append(byHost[target.Host], v)
		}
	}
	for host, verdicts := range byHost {
		message := HealthVerdicts{Service: service, Verdicts: verdicts}
		if host == s.state.Self.ID {
			s.applyLocally(now, message, out)
			continue
		}
		s.state.call(out, host, message)
	}
}

func (s *detectorsStage) reportStatus(now time.Time, status *Status) {
	for service, d := range s.detectors {
		for _, server := range d.detector.Status(now) {
			status.Backends = append(status.Backends, BackendStatus{
				Service: service, ID: server.Server, Healthy: server.Healthy, Share: server.Share, Reason: string(server.Reason),
			})
		}
	}
}
