package control

import (
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/balance"
)

// updateTargets applies a new host list: it keeps the statistics of backend servers
// that stay, adds new ones and marks the services that changed. Only changed hosts
// are rebuilt, since the list has 31,000 backend servers at the design size.
func (s *hostsStage) updateTargets(now time.Time, before map[string]Host) {
	removed := make(map[string]*balance.Member)
	for id, old := range before {
		if next, ok := s.state.Hosts[id]; !ok || !sameHost(old, next) {
			s.dropTargets(old, removed)
		}
	}
	for id, next := range s.state.Hosts {
		if old, ok := before[id]; !ok || !sameHost(old, next) {
			s.addTargets(now, next, removed)
		}
	}
}

func (s *hostsStage) dropTargets(h Host, removed map[string]*balance.Member) {
	for _, b := range h.Backends {
		s.state.StaleServices[b.Service] = true
		if m := s.state.Targets[b.ID]; m != nil && m.Host == h.ID {
			removed[b.ID] = m
			delete(s.state.Targets, b.ID)
		}
	}
}

func (s *hostsStage) addTargets(now time.Time, h Host, removed map[string]*balance.Member) {
	for _, b := range h.Backends {
		s.state.StaleServices[b.Service] = true
		m := removed[b.ID]
		if m == nil || m.Host != h.ID || m.Zone != h.Zone {
			m = balance.NewMember(now, b.ID, h.ID, h.Zone)
		}
		s.state.Targets[b.ID] = m
		m.SetLeaving(s.isLeaving(h, b))
	}
}

// isLeaving reports whether a backend server accepts no new requests because it or
// its host is leaving.
func (s *hostsStage) isLeaving(h Host, b Backend) bool {
	return h.Leaving || b.Leaving || s.state.View.Leaving[h.ID]
}

// updateLeaving updates the leaving flag of all targets.
func (s *hostsStage) updateLeaving() {
	for _, h := range s.state.Hosts {
		for _, b := range h.Backends {
			if m := s.state.Targets[b.ID]; m != nil {
				m.SetLeaving(s.isLeaving(h, b))
			}
		}
	}
}

// sameHost reports whether two entries of a host are equal for routing.
func sameHost(a, b Host) bool {
	return a.Zone == b.Zone && a.Leaving == b.Leaving && a.TrafficAddr == b.TrafficAddr &&
		a.ControlAddr == b.ControlAddr && slices.Equal(a.Backends, b.Backends)
}
