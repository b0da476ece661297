package control

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// SyncBackends tells the traffic side which backend servers this host has.
type SyncBackends struct {
	Locals []Local // sorted by identifier
}

// ControlCommand marks SyncBackends as a command.
func (SyncBackends) ControlCommand() {}

// localsStage announces changes of the local backend servers to the traffic side.
type localsStage struct {
	state *State
	last  []Local
	seen  uint64
}

// Name returns "locals".
func (s *localsStage) Name() string { return "locals" }

// Deadline returns the zero time.
func (s *localsStage) Deadline() time.Time { return time.Time{} }

// Handle compares the local backend servers with those announced last.
func (s *localsStage) Handle(_ time.Time, _ Event, out *Output) {
	if s.seen == s.state.HostVersion {
		return
	}
	s.seen = s.state.HostVersion
	locals := s.state.locals()
	if !slices.Equal(locals, s.last) {
		s.last = locals
		out.Emit(SyncBackends{Locals: locals})
	}
}

// locals returns the backend servers of this host.
func (s *State) locals() []Local {
	self := s.Hosts[s.Self.ID]
	byID := make(map[string]Local, len(self.Backends))
	for _, b := range self.Backends {
		byID[b.ID] = Local{ID: b.ID, Service: b.Service, Addr: b.Addr, Slots: b.Slots}
	}
	return slices.SortedFunc(maps.Values(byID), func(a, b Local) int { return strings.Compare(a.ID, b.ID) })
}
