package control

import (
	"maps"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/balance"
)

// publisher builds snapshots from the state. It caches the parts that depend only on
// the host list, so that a configuration change copies little.
type publisher struct {
	state        *State
	hostVersion  uint64
	services     map[string]*Service
	controlAddrs map[string]string
	// configuredAt is when the first configuration was published.
	configuredAt time.Time
}

// build returns a snapshot of the current state.
func (p *publisher) build(now time.Time) *Snapshot {
	if p.configuredAt.IsZero() && p.state.Config != nil {
		p.configuredAt = now
	}
	if p.services == nil || p.hostVersion != p.state.HostVersion {
		p.hostVersion = p.state.HostVersion
		p.services = p.buildServices()
		p.controlAddrs = p.buildControlAddrs()
	}
	return &Snapshot{
		Config:           p.state.Config,
		HostVersion:      p.state.HostVersion,
		KeysTrustedUntil: p.state.KeysTrustedUntil,
		ReadyAt:          p.readyAt(),
		Stopping:         p.state.Stopping,
		Services:         p.services,
		ControlAddrs:     p.controlAddrs,
		LocalBackends:    p.buildLocalBackends(),
		Ejections:        p.state.Ejections,

		Quarantine: p.state.Quarantine,
	}
}

// buildServices rebuilds the services whose hosts changed. The others are reused
// together with their cached subsets.
func (p *publisher) buildServices() map[string]*Service {
	services := maps.Clone(p.services)
	if services == nil {
		services = make(map[string]*Service)
	}
	stale := p.state.StaleServices
	for name := range stale {
		delete(services, name)
	}
	for _, h := range p.state.Hosts {
		for _, b := range h.Backends {
			if !stale[b.Service] {
				continue
			}
			service, ok := services[b.Service]
			if !ok {
				service = p.newService(b.Service)
				services[b.Service] = service
			}
			service.Members = append(service.Members, p.state.Targets[b.ID])
			service.TrafficAddrs[h.ID] = h.TrafficAddr
		}
	}
	clear(stale)
	return services
}

// readyAt returns when the leaders grant full rates. While not all leaders are known,
// it is no earlier than leaderWaitTimeout after the start.
func (p *publisher) readyAt() time.Time {
	fullRatesAt := p.configuredAt.Add(reducedGrantPeriod)
	if waitEnd := p.state.Self.Started.Add(leaderWaitTimeout); !p.state.LeadersKnown && waitEnd.After(fullRatesAt) {
		return waitEnd
	}
	return fullRatesAt
}

func (p *publisher) buildControlAddrs() map[string]string {
	controls := make(map[string]string, len(p.state.Hosts))
	for id, h := range p.state.Hosts {
		controls[id] = h.ControlAddr
	}
	return controls
}

func (p *publisher) newService(name string) *Service {
	return &Service{
		Name:         name,
		Zone:         p.state.Self.Zone,
		Members:      []*balance.Member{},
		TrafficAddrs: make(map[string]string),
		subsets:      &sync.Map{},
	}
}

func (p *publisher) buildLocalBackends() map[string]*LocalBackend {
	leaving := p.leavingBackends()
	backends := make(map[string]*LocalBackend)
	for _, local := range p.state.localBackends() {
		local.Leaving = leaving[local.ID]
		backends[local.ID] = &local
	}
	return backends
}

// leavingBackends reports for each local backend server whether it is leaving: the
// host list marks it or this host as leaving, or the server reports that it drains.
func (p *publisher) leavingBackends() map[string]bool {
	self := p.state.Hosts[p.state.Self.ID]
	leaving := make(map[string]bool)
	for _, b := range self.Backends {
		leaving[b.ID] = b.Leaving || self.Leaving || p.state.Draining[b.ID]
	}
	return leaving
}
