package mesh

import (
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/belief"
	"github.com/ragwortyard/ragwortyard/decide/room"
)

// roomInterval is how often the utilization of the services is computed. It is about the
// interval of the statuses that it is computed from.
const roomInterval = 250 * time.Millisecond

// Rooms holds the utilization of each service in each availability zone. It changes
// between snapshots.
type Rooms struct {
	zones atomic.Pointer[map[roomKey]room.Zone] // never modified once stored
}

type roomKey struct{ service, zone string }

// Utilization returns the utilization of a service in a zone.
func (r *Rooms) Utilization(service, zone string) float64 {
	return (*r.zones.Load())[roomKey{service, zone}].Utilization
}

// Each calls fn with the utilization of each service in each zone.
func (r *Rooms) Each(fn func(service, zone string, utilization float64)) {
	for key, zone := range *r.zones.Load() {
		fn(key.service, key.zone, zone.Utilization)
	}
}

func newRooms() *Rooms {
	r := &Rooms{}
	r.zones.Store(&map[roomKey]room.Zone{})
	return r
}

// roomsStage computes the utilization of the services from the loads and beliefs that the
// exit proxies report.
type roomsStage struct {
	state      *state
	computedAt time.Time
}

// Name returns "rooms".
func (s *roomsStage) Name() string { return "rooms" }

// Deadline returns the zero time: without events, the utilization does not change.
func (s *roomsStage) Deadline() time.Time { return time.Time{} }

// Handle computes the utilization again if the last one is older than roomInterval.
func (s *roomsStage) Handle(now time.Time, _ control.Event, _ *control.Output) {
	if now.Sub(s.computedAt) < roomInterval {
		return
	}
	s.computedAt = now
	uses := make(map[roomKey]room.Use)
	for _, server := range s.state.servers {
		health := server.live.Health()
		if server.Draining || server.live.Leaving() || health.RefusesAttempts {
			continue
		}
		running, waiting, _ := server.live.Load()
		key := roomKey{server.Service, server.Zone}
		use := uses[key]
		use.Add(room.Server{
			Slots: server.Slots, Running: running, Waiting: waiting,
			GrayFailureProbability: belief.DecayToPrior(health.BadProbability, now.Sub(health.LastOutcomeAt)),
		})
		uses[key] = use
	}
	before := *s.state.rooms.zones.Load()
	zones := make(map[roomKey]room.Zone, len(uses))
	for key, use := range uses {
		zones[key] = before[key].Update(now, use)
	}
	s.state.rooms.zones.Store(&zones)
}
