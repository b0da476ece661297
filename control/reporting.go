package control

import "github.com/ragwortyard/ragwortyard/decide/ejection"

// ejectionSettings selects, from the number of backend servers in the host list, how
// often this process reports on its own. Processes with different host lists may
// select different settings, so each report states the settings of its exit proxy.
type ejectionSettings struct {
	state     *State
	reporting ejection.Reporting
	version   uint64 // host list version that selected was computed from
	selected  ejection.Settings
}

func newEjectionSettings(state *State, reporting ejection.Reporting) *ejectionSettings {
	return &ejectionSettings{state: state, reporting: reporting, selected: reporting.Settings(0)}
}

// current returns the settings for the current host list.
func (s *ejectionSettings) current() ejection.Settings {
	if s.version != s.state.HostVersion {
		s.version = s.state.HostVersion
		servers := 0
		for _, h := range s.state.Hosts {
			servers += len(h.Backends)
		}
		s.selected = s.reporting.Settings(servers)
	}
	return s.selected
}
