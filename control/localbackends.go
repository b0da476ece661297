package control

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// SyncBackends passes the backend servers of this host to the code that forwards
// requests to them.
type SyncBackends struct {
	Backends []LocalBackend // sorted by identifier
}

// ControlCommand marks SyncBackends as a command.
func (SyncBackends) ControlCommand() {}

// localBackendsStage emits SyncBackends when the local backend servers change.
type localBackendsStage struct {
	state       *State
	announced   []LocalBackend
	hostVersion uint64
}

// Name returns "local backends".
func (s *localBackendsStage) Name() string { return "local backends" }

// Deadline returns the zero time: the stage needs no ticks.
func (s *localBackendsStage) Deadline() time.Time { return time.Time{} }

// Handle compares the local backend servers with those announced last.
func (s *localBackendsStage) Handle(_ time.Time, _ Event, out *Output) {
	if s.hostVersion == s.state.HostVersion {
		return
	}
	s.hostVersion = s.state.HostVersion
	backends := s.state.localBackends()
	if !slices.Equal(backends, s.announced) {
		s.announced = backends
		out.Emit(SyncBackends{Backends: backends})
	}
}

// localBackends returns the backend servers of this host, sorted by identifier.
func (s *State) localBackends() []LocalBackend {
	self := s.Hosts[s.Self.ID]
	byID := make(map[string]LocalBackend, len(self.Backends))
	for _, b := range self.Backends {
		byID[b.ID] = LocalBackend{ID: b.ID, Service: b.Service, Addr: b.Addr, Slots: b.Slots}
	}
	return slices.SortedFunc(maps.Values(byID), func(a, b LocalBackend) int { return strings.Compare(a.ID, b.ID) })
}
