package control

import "github.com/ragwortyard/ragwortyard/decide/ejection"

// ejectionSettings follows the host list to select how often this process
// reports on its backend servers. Processes whose lists differ may select
// differently: a report says which settings its exit uses.
type ejectionSettings struct {
	state     *State
	reporting ejection.Reporting
	version   uint64 // host list version that selected is for
	selected  ejection.Settings
}

func newEjectionSettings(state *State, reporting ejection.Reporting) *ejectionSettings {
	return &ejectionSettings{state: state, reporting: reporting, selected: reporting.Settings(0)}
}

// current returns the settings for the host list in force.
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
