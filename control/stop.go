package control

import "time"

// Stop begins a planned stop: the process announces that it leaves and hands over
// the shards that it leads.
type Stop struct{}

// ControlEvent marks Stop as an event.
func (Stop) ControlEvent() {}

// stopStage marks the snapshot as stopping.
type stopStage struct {
	state *State
}

// Name returns "stop".
func (s *stopStage) Name() string { return "stop" }

// Deadline returns the zero time: the stage needs no ticks.
func (s *stopStage) Deadline() time.Time { return time.Time{} }

// Handle processes Stop and ignores other events.
func (s *stopStage) Handle(_ time.Time, ev Event, out *Output) {
	if _, ok := ev.(Stop); ok {
		s.state.Stopping = true
		out.Publish()
	}
}
