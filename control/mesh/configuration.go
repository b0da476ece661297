package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/routing"
)

// TableRead reports a configuration that was read from the platform's store, or that a
// peer read there.
type TableRead struct {
	Table    *routing.Table
	Document []byte // the configuration as peers get it
}

// ControlEvent marks TableRead as an event.
func (TableRead) ControlEvent() {}

// TableConfirmed reports that at BootTime on the boot clock the store held no newer
// configuration than the last one read.
type TableConfirmed struct {
	BootTime time.Duration
	Era      uint64 // of the store; 0 if it names none
}

// ControlEvent marks TableConfirmed as an event.
func (TableConfirmed) ControlEvent() {}

// eraSettleTime is how long answers of a store that came back from a copy do not confirm a
// configuration, unless half of the trust in keys has passed. The copy may be older than the
// newest configuration, and a process that missed that one gets it from its peers meanwhile:
// from the next answer of a store reader, which may itself get it from the process that it
// answers.
const eraSettleTime = time.Second

// configStage applies the newest configuration and extends the time until which
// keys are trusted.
type configStage struct {
	state *state
	// keyTrustDuration is how long keys are trusted after the store last confirmed
	// the configuration.
	keyTrustDuration time.Duration
	confirmedAt      time.Duration // boot clock time at which the store last confirmed the configuration
}

// Name returns "configuration".
func (s *configStage) Name() string { return "configuration" }

// Deadline returns the zero time: the stage needs no ticks.
func (s *configStage) Deadline() time.Time { return time.Time{} }

// Handle processes TableRead and TableConfirmed.
func (s *configStage) Handle(now time.Time, ev control.Event, out *control.Output) {
	switch ev := ev.(type) {
	case TableRead:
		s.apply(ev, out)
	case TableConfirmed:
		s.state.noteEra(now, ev.Era)
		trustLeft := s.state.keyTrust.Until() - ev.BootTime
		if ev.Era == s.state.era && (!s.settling(now) || trustLeft < s.keyTrustDuration/2) {
			s.confirm(ev.BootTime)
		}
	}
}

// settling reports whether the store came back from a copy a moment ago.
func (s *configStage) settling(now time.Time) bool {
	return !s.state.eraChangedAt.IsZero() && now.Sub(s.state.eraChangedAt) < eraSettleTime
}

// confirm extends the key trust after the store confirmed the configuration at a
// time of the boot clock.
func (s *configStage) confirm(bootTime time.Duration) {
	s.confirmedAt = max(s.confirmedAt, bootTime)
	s.state.keyTrust.extend(bootTime + s.keyTrustDuration)
}

// apply makes a configuration current if it is newer: an applied configuration is
// never replaced by an older one.
func (s *configStage) apply(read TableRead, out *control.Output) {
	table, old := read.Table, s.state.table
	if old != nil && table.Version() <= old.Version() {
		return
	}
	s.state.table, s.state.document = table, read.Document
	out.Publish()
	fields := map[string]any{"version": table.Version()}
	if old != nil {
		fields["previous"] = old.Version()
	}
	emitLog(out, "configuration applied", fields)
}
