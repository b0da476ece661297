package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/crashcount"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// Crashed says that a backend server of this host crashed with requests in
// flight.
type Crashed struct {
	ID       uint64 // of the crash, unique in the fleet
	InFlight []crashcount.Fingerprint
}

// ControlEvent marks Crashed as an event.
func (Crashed) ControlEvent() {}

// crashesStage blocks requests that crash backend servers.
type crashesStage struct {
	state   *state
	counter *crashcount.Counter
	next    time.Time // when the blocked requests are looked through again
}

// blockedInterval is how often blocks that have ended are lifted.
const blockedInterval = 10 * time.Second

// Name returns "crashes".
func (s *crashesStage) Name() string { return "crashes" }

// Deadline returns when blocks are next looked through.
func (s *crashesStage) Deadline() time.Time { return s.next }

// Handle counts crashes of this host and of others.
func (s *crashesStage) Handle(now time.Time, ev control.Event, out *control.Output) {
	switch ev := ev.(type) {
	case Crashed:
		s.tell(now, ev, out)
		s.count(now, ev.ID, ev.InFlight, out)
	case Received:
		if crash := ev.Message.Crash; crash != nil {
			inFlight := make([]crashcount.Fingerprint, len(crash.InFlight))
			for i, f := range crash.InFlight {
				inFlight[i] = crashcount.Fingerprint(f)
			}
			s.count(now, crash.ID, inFlight, out)
		}
	case control.Tick:
		s.lift(now, out)
	}
}

func (s *crashesStage) tell(now time.Time, ev Crashed, out *control.Output) {
	crash := &notice.Crash{ID: ev.ID}
	for _, f := range ev.InFlight {
		crash.InFlight = append(crash.InFlight, uint64(f))
	}
	s.state.tell(now, notice.Message{Crash: crash}, urgentCopies, out)
	log(out, "backend server crashed", map[string]any{"crash": ev.ID, "in_flight": len(ev.InFlight)})
}

func (s *crashesStage) count(now time.Time, id uint64, inFlight []crashcount.Fingerprint, out *control.Output) {
	blocked := s.counter.Add(now, id, inFlight)
	if len(blocked) == 0 {
		return
	}
	s.publish(now, out)
	for _, f := range blocked {
		log(out, "request blocked after crashes", map[string]any{"fingerprint": uint64(f)})
	}
}

func (s *crashesStage) publish(now time.Time, out *control.Output) {
	s.state.blocked = s.counter.Blocked(now)
	s.next = time.Time{}
	if len(s.state.blocked) > 0 {
		s.next = now.Add(blockedInterval)
	}
	out.Publish()
}

func (s *crashesStage) lift(now time.Time, out *control.Output) {
	if !s.next.IsZero() && !now.Before(s.next) {
		s.publish(now, out)
	}
}
