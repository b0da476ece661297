package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/crashcount"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// ServerCrashed reports that a backend server of this host crashed with requests in
// flight.
type ServerCrashed struct {
	CrashID  uint64 // unique in the fleet
	InFlight []crashcount.Fingerprint
}

// ControlEvent marks ServerCrashed as an event.
func (ServerCrashed) ControlEvent() {}

// crashesStage counts crashes by request fingerprint and blocks requests that
// repeatedly crash backend servers.
type crashesStage struct {
	state             *state
	counter           *crashcount.Counter
	nextExpiryCheckAt time.Time // zero while nothing is blocked
}

// blockExpiryInterval is how often expired blocks are removed.
const blockExpiryInterval = 10 * time.Second

// Name returns "crashes".
func (s *crashesStage) Name() string { return "crashes" }

// Deadline returns when expired blocks are removed next.
func (s *crashesStage) Deadline() time.Time { return s.nextExpiryCheckAt }

// Handle counts crashes on this host and those announced by peers, and removes
// expired blocks.
func (s *crashesStage) Handle(now time.Time, ev control.Event, out *control.Output) {
	switch ev := ev.(type) {
	case ServerCrashed:
		s.announce(now, ev, out)
		s.countCrash(now, ev.CrashID, ev.InFlight, out)
	case MessageReceived:
		if crash := ev.Message.Crash; crash != nil {
			inFlight := make([]crashcount.Fingerprint, len(crash.InFlight))
			for i, f := range crash.InFlight {
				inFlight[i] = crashcount.Fingerprint(f)
			}
			s.countCrash(now, crash.ID, inFlight, out)
		}
	case control.Tick:
		s.removeExpired(now, out)
	}
}

func (s *crashesStage) announce(now time.Time, ev ServerCrashed, out *control.Output) {
	crash := &notice.Crash{ID: ev.CrashID}
	for _, f := range ev.InFlight {
		crash.InFlight = append(crash.InFlight, uint64(f))
	}
	s.state.broadcast(now, notice.Message{Crash: crash}, urgentRelaysPerZone, out)
	emitLog(out, "backend server crashed", map[string]any{"crash": ev.CrashID, "in_flight": len(ev.InFlight)})
}

func (s *crashesStage) countCrash(now time.Time, id uint64, inFlight []crashcount.Fingerprint, out *control.Output) {
	blocked := s.counter.Add(now, id, inFlight)
	if len(blocked) == 0 {
		return
	}
	s.publishBlocked(now, out)
	for _, f := range blocked {
		emitLog(out, "request blocked after crashes", map[string]any{"fingerprint": uint64(f)})
	}
}

func (s *crashesStage) publishBlocked(now time.Time, out *control.Output) {
	s.state.blocked = s.counter.Blocked(now)
	s.nextExpiryCheckAt = time.Time{}
	if len(s.state.blocked) > 0 {
		s.nextExpiryCheckAt = now.Add(blockExpiryInterval)
	}
	out.Publish()
}

func (s *crashesStage) removeExpired(now time.Time, out *control.Output) {
	if !s.nextExpiryCheckAt.IsZero() && !now.Before(s.nextExpiryCheckAt) {
		s.publishBlocked(now, out)
	}
}
