package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/routing"
)

// TableRead is a configuration that was read from the platform.
type TableRead struct{ Table *routing.Table }

// ControlEvent marks TableRead as an event.
func (TableRead) ControlEvent() {}

// TableConfirmed says that the platform held no newer configuration than those
// that were read, at a reading of the boot clock.
type TableConfirmed struct{ Boot time.Duration }

// ControlEvent marks TableConfirmed as an event.
func (TableConfirmed) ControlEvent() {}

// configStage puts the newest configuration in force and keeps how long keys can
// be trusted.
type configStage struct {
	state *state
	// trust is how long a key is trusted after the platform confirmed it.
	trust time.Duration
}

// Name returns "configuration".
func (s *configStage) Name() string { return "configuration" }

// Deadline returns the zero time.
func (s *configStage) Deadline() time.Time { return time.Time{} }

// Handle reacts to what was read of the configuration.
func (s *configStage) Handle(_ time.Time, ev control.Event, out *control.Output) {
	switch ev := ev.(type) {
	case TableRead:
		s.read(ev.Table, out)
	case TableConfirmed:
		s.confirm(ev.Boot)
	}
}

// confirm says that the platform held no newer configuration at a reading of the
// boot clock.
func (s *configStage) confirm(boot time.Duration) { s.state.trust.prolong(boot + s.trust) }

// read ignores older versions: an accepted configuration never reverts.
func (s *configStage) read(table *routing.Table, out *control.Output) {
	old := s.state.table
	if old != nil && table.Version() <= old.Version() {
		return
	}
	s.state.table = table
	out.Publish()
	fields := map[string]any{"version": table.Version()}
	if old != nil {
		fields["previous"] = old.Version()
	}
	log(out, "configuration in force", fields)
}
