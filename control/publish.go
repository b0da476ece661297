package control

import (
	"maps"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/balance"
)

// publisher builds snapshots from the state. It keeps what depends on the host
// list only, so that a change of the configuration copies little.
type publisher struct {
	state    *State
	version  uint64
	services map[string]*Service
	controls map[string]string
	// configured is when the first configuration was published.
	configured time.Time
}

// build returns the snapshot for traffic.
func (p *publisher) build(now time.Time) *Snapshot {
	if p.configured.IsZero() && p.state.Config != nil {
		p.configured = now
	}
	if p.services == nil || p.version != p.state.HostVersion {
		p.version = p.state.HostVersion
		p.services = p.buildServices()
		p.controls = p.buildControls()
	}
	return &Snapshot{
		Config:    p.state.Config,
		Hosts:     p.state.HostVersion,
		KeysUntil: p.state.KeysUntil,
		ReadyAt:   p.readyAt(),
		Stopping:  p.state.Stopping,
		Services:  p.services,
		Controls:  p.controls,
		Locals:    p.buildLocals(),
		Ejections: p.state.Ejections,

		Quarantine: p.state.Quarantine,
	}
}

// buildServices returns the services with those rebuilt whose hosts changed. The
// others stay, with the subsets that traffic has made of them.
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
			service.Addrs[h.ID] = h.TrafficAddr
		}
	}
	clear(stale)
	return services
}

// readyAt returns when the keepers of this process grant as usual, once the
// keepers are known.
func (p *publisher) readyAt() time.Time {
	cautious := p.configured.Add(cautiousTime)
	if known := p.state.Self.Started.Add(startTime); !p.state.KeepersKnown && known.After(cautious) {
		return known
	}
	return cautious
}

func (p *publisher) buildControls() map[string]string {
	controls := make(map[string]string, len(p.state.Hosts))
	for id, h := range p.state.Hosts {
		controls[id] = h.ControlAddr
	}
	return controls
}

func (p *publisher) newService(name string) *Service {
	return &Service{
		Name:    name,
		Zone:    p.state.Self.Zone,
		Members: []*balance.Member{},
		Addrs:   make(map[string]string),
		subsets: &sync.Map{},
	}
}

func (p *publisher) buildLocals() map[string]*Local {
	leaving := p.leavingBackends()
	locals := make(map[string]*Local)
	for _, local := range p.state.locals() {
		local.Leaving = leaving[local.ID]
		locals[local.ID] = &local
	}
	return locals
}

// leavingBackends returns the local backend servers that the host list marks as
// leaving.
func (p *publisher) leavingBackends() map[string]bool {
	self := p.state.Hosts[p.state.Self.ID]
	leaving := make(map[string]bool)
	for _, b := range self.Backends {
		leaving[b.ID] = b.Leaving || self.Leaving || p.state.Draining[b.ID]
	}
	return leaving
}
