package control

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/ejection"
)

// judged is a service whose ejections this process decides.
type judged struct {
	judge  *ejection.Detector
	epoch  uint64
	tenure uint64 // of the lease that the judge belongs to
	hosts  uint64 // host list version that the judge knows
	config uint64 // configuration version that the floor comes from
}

// judgesStage decides on the ejections of the services whose shards this process
// keeps. A single decider for each service counts the floor over the whole fleet.
type judgesStage struct {
	state    *State
	settings *ejectionSettings
	services map[string]*judged
	deliver  func(now time.Time, v HealthVerdicts, out *Output) // to local backend servers
	next     time.Time
}

func newJudgesStage(state *State, settings *ejectionSettings) *judgesStage {
	return &judgesStage{
		state:    state,
		settings: settings,
		services: make(map[string]*judged),
		next:     state.Self.Started,
	}
}

// Name returns "judges".
func (s *judgesStage) Name() string { return "judges" }

// Deadline returns the time of the next decisions.
func (s *judgesStage) Deadline() time.Time { return s.next }

// Handle takes reports and decides.
func (s *judgesStage) Handle(now time.Time, ev Event, out *Output) {
	switch e := ev.(type) {
	case PeerAsked:
		if report, ok := e.Message.(HealthReport); ok {
			e.Answer(s.observe(now, report, out))
		}
	case statusAsked:
		s.report(now, e.status)
	case Tick:
		s.tick(now, out)
	}
}

// observe takes in reports and decides at once, since each report can be
// answered by a verdict.
func (s *judgesStage) observe(now time.Time, report HealthReport, out *Output) HealthAnswer {
	j := s.judge(now, report.Service)
	if j == nil {
		return s.redirect(report.Service)
	}
	for _, r := range report.Reports {
		if r.Epoch > j.epoch {
			// The clock of an earlier keeper was ahead. Exits refuse verdicts of
			// a lower epoch, so this one starts again above it.
			j = s.restart(now, report.Service, r.Epoch+1)
		}
		j.judge.Observe(now, r)
	}
	s.decide(now, report.Service, j, out)
	return HealthAnswer{Keeper: true, Epoch: j.epoch}
}

func (s *judgesStage) redirect(service string) HealthAnswer {
	return HealthAnswer{Hint: s.state.hint(serviceShard(service))}
}

// judge returns the judge of a service, nil when this process does not keep its
// shard at this moment.
func (s *judgesStage) judge(now time.Time, service string) *judged {
	tenure, ok := s.state.Leases.Candidate.Tenure(now, serviceShard(service))
	if !ok {
		delete(s.services, service)
		return nil
	}
	j := s.services[service]
	if j == nil || j.tenure != tenure.Epoch {
		// Wall-clock milliseconds grow from keeper to keeper, except for clocks
		// that differ, which observe makes up for.
		j = s.restart(now, service, uint64(now.UnixMilli()))
		j.tenure = tenure.Epoch
	}
	s.follow(now, service, j)
	return j
}

func (s *judgesStage) restart(now time.Time, service string, epoch uint64) *judged {
	j := &judged{judge: ejection.NewDetector(epoch), epoch: epoch}
	if old := s.services[service]; old != nil {
		j.tenure = old.tenure
	}
	s.services[service] = j
	s.follow(now, service, j)
	return j
}

// follow hands changes of the host list and of the floor to the judge.
func (s *judgesStage) follow(now time.Time, service string, j *judged) {
	if s.state.Config == nil {
		return
	}
	if j.hosts == s.state.HostVersion && j.config == s.state.Config.Version() {
		return
	}
	j.hosts, j.config = s.state.HostVersion, s.state.Config.Version()
	floor := ejection.Floor{}
	if configured, ok := s.state.Config.Service(service); ok {
		floor.Share = configured.CapacityFloor
	}
	j.judge.SetServers(now, s.servers(service), floor)
}

func (s *judgesStage) servers(service string) []ejection.ServerState {
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

func (s *judgesStage) tick(now time.Time, out *Output) {
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(s.settings.current().ReportInterval)
	for service := range s.services {
		if j := s.judge(now, service); j != nil {
			s.decide(now, service, j, out)
		}
	}
}

// decide sends the verdicts to the exits of the backend servers concerned.
func (s *judgesStage) decide(now time.Time, service string, j *judged, out *Output) {
	byHost := make(map[string][]ejection.Verdict)
	for _, v := range j.judge.Decide(now) {
		if target, ok := s.state.Targets[v.Server]; ok {
			byHost[target.Host] = append(byHost[target.Host], v)
		}
	}
	for host, verdicts := range byHost {
		message := HealthVerdicts{Service: service, Verdicts: verdicts}
		if host == s.state.Self.ID {
			s.deliver(now, message, out)
			continue
		}
		s.state.call(out, host, message)
	}
}

func (s *judgesStage) report(now time.Time, status *Status) {
	for service, j := range s.services {
		for _, server := range j.judge.Status(now) {
			status.Backends = append(status.Backends, BackendStatus{
				Service: service, ID: server.Server, Healthy: server.Healthy, Share: server.Share, Reason: string(server.Reason),
			})
		}
	}
}
