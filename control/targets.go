package control

import (
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/balance"
)

// updateTargets follows a new host list: it keeps the statistics of backend
// servers that stay, adds the new ones and notes which services changed. Its
// cost grows with the change; the list itself has 31,000 backend servers at the
// goal's size.
func (s *hostsStage) updateTargets(now time.Time, before map[string]Host) {
	gone := make(map[string]*balance.Member)
	for id, old := range before {
		if next, ok := s.state.Hosts[id]; !ok || !sameHost(old, next) {
			s.dropTargets(old, gone)
		}
	}
	for id, next := range s.state.Hosts {
		if old, ok := before[id]; !ok || !sameHost(old, next) {
			s.addTargets(now, next, gone)
		}
	}
}

func (s *hostsStage) dropTargets(h Host, gone map[string]*balance.Member) {
	for _, b := range h.Backends {
		s.state.StaleServices[b.Service] = true
		if m := s.state.Targets[b.ID]; m != nil && m.Host == h.ID {
			gone[b.ID] = m
			delete(s.state.Targets, b.ID)
		}
	}
}

func (s *hostsStage) addTargets(now time.Time, h Host, gone map[string]*balance.Member) {
	for _, b := range h.Backends {
		s.state.StaleServices[b.Service] = true
		m := gone[b.ID]
		if m == nil || m.Host != h.ID || m.Zone != h.Zone {
			m = balance.NewMember(now, b.ID, h.ID, h.Zone)
		}
		s.state.Targets[b.ID] = m
		m.SetLeaving(s.isLeaving(h, b))
	}
}

// isLeaving tells whether a backend server takes no new work because it or its
// host leaves.
func (s *hostsStage) isLeaving(h Host, b Backend) bool {
	return h.Leaving || b.Leaving || s.state.View.Leaving[h.ID]
}

// markLeaving follows what members announced.
func (s *hostsStage) markLeaving() {
	for _, h := range s.state.Hosts {
		for _, b := range h.Backends {
			if m := s.state.Targets[b.ID]; m != nil {
				m.SetLeaving(s.isLeaving(h, b))
			}
		}
	}
}

// sameHost tells whether nothing that routing depends on has changed.
func sameHost(a, b Host) bool {
	return a.Zone == b.Zone && a.Leaving == b.Leaving && a.TrafficAddr == b.TrafficAddr &&
		a.ControlAddr == b.ControlAddr && slices.Equal(a.Backends, b.Backends)
}
