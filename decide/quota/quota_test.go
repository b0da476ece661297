package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/internal/fleetsim"
)

// scheduleLength is the virtual time of one schedule.
const scheduleLength = 15 * time.Second

func drawConfig(t *rapid.T) fleetsim.Config {
	zones := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "zones")]
	return fleetsim.Config{
		Seed:             rapid.Uint64().Draw(t, "seed"),
		Hosts:            fleetsim.Hosts(rapid.IntRange(1, 9).Draw(t, "hosts"), zones...),
		SameZoneLatency:  200 * time.Microsecond,
		CrossZoneLatency: time.Millisecond,
		Jitter:           rapid.SampledFrom([]time.Duration{1, 1, 20, 60, 400}).Draw(t, "jitter ms") * time.Millisecond,
		LossRate:         rapid.SampledFrom([]float64{0, 0, 0, 0.05, 0.3}).Draw(t, "loss"),
		MaxClockSlowdown: 0.0196, // clock rates differ by just under 2%
		MaxListDelay:     2 * time.Second,
		MaxLimitDelay:    quota.ConfigPropagationTime,
	}
}

// phase is a period of constant demand. Faults start and end with phases, so that full
// and empty buckets occur together with tokens left over from earlier phases.
type phase struct {
	at, length time.Duration
	load       float64 // demand as a fraction of the rate that drains all buckets in 0.5 s
	rate       float64 // requests per second, added to load
	batch      bool    // one burst of requests at the start of the phase
	oneHost    bool    // all requests of the phase are sent to one host
	host       int
}

// warmUp is the time after which all parts of a new fleet have leaders.
const warmUp = 3 * time.Second

func drawPhases(t *rapid.T) []phase {
	var phases []phase
	for at := warmUp; at < scheduleLength; {
		ms := rapid.SampledFrom([]int{30, 100, 300, 700, 1100, 2500}).Draw(t, "length ms")
		p := phase{
			at:      at,
			length:  time.Duration(ms) * time.Millisecond,
			load:    rapid.SampledFrom([]float64{0, 0.01, 0.05, 0.3, 1, 1}).Draw(t, "load"),
			batch:   rapid.Bool().Draw(t, "batch"),
			oneHost: rapid.IntRange(0, 3).Draw(t, "one host") == 0,
			host:    rapid.IntRange(0, 8).Draw(t, "host"),
		}
		phases = append(phases, p)
		at += p.length
	}
	return phases
}

func drawFaults(t *rapid.T, phases []phase) []fleetsim.Fault {
	draw := rapid.Custom(func(t *rapid.T) fleetsim.Fault {
		first := rapid.IntRange(0, len(phases)-1).Draw(t, "first")
		last := min(first+rapid.IntRange(0, 2).Draw(t, "more"), len(phases)-1)
		from, to := phases[first].at, phases[last].at+phases[last].length
		lead := time.Duration(rapid.SampledFrom([]int{0, 1, 5, 40}).Draw(t, "lead ms")) * time.Millisecond
		return fleetsim.Fault{
			Kind:     fleetsim.FaultKind(rapid.IntRange(0, fleetsim.FaultKindCount-1).Draw(t, "kind")),
			At:       from + lead,
			Host:     rapid.IntRange(0, 8).Draw(t, "host"),
			AtLeader: rapid.Bool().Draw(t, "at the leader"),
			Shard:    quota.Key{Team: "team", Part: rapid.IntRange(0, quota.MaxParts-1).Draw(t, "part")}.Shard(),
			Duration: to - from - lead,
		}
	})
	most := rapid.SampledFrom([]int{2, 4, 16}).Draw(t, "most faults")
	return rapid.SliceOfN(draw, 0, most).Draw(t, "faults")
}

func drawLimit(t *rapid.T) quota.Limit {
	return limitOf(t, []float64{1, 2, 3.5, 15, 16, 40, 200}, []float64{0.3, 1, 3, 30})
}

// limitOf draws a limit from bursts and from times in seconds that an empty bucket
// takes to fill.
func limitOf(t *rapid.T, bursts, fills []float64) quota.Limit {
	burst := rapid.SampledFrom(bursts).Draw(t, "burst")
	return quota.Limit{Rate: burst / rapid.SampledFrom(fills).Draw(t, "fill seconds"), Burst: burst, Version: 1}
}

// drawChanges draws limits that are accepted one after another. They increase and
// decrease and change the number of parts.
func drawChanges(t *rapid.T) []fleetsim.LimitChange {
	changes := []fleetsim.LimitChange{{Limit: drawLimit(t)}}
	at := time.Duration(0)
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		at += time.Duration(rapid.Int64Range(int64(500*time.Millisecond), int64(6*time.Second)).Draw(t, "after"))
		changes = append(changes, fleetsim.LimitChange{At: at, Limit: drawLimit(t)})
	}
	for i := range changes {
		changes[i].Limit.Version = uint64(i + 1)
	}
	return changes
}

// schedule is a fleet with its limits, demand and faults.
type schedule struct {
	cfg     fleetsim.Config
	changes []fleetsim.LimitChange
	phases  []phase
	faults  []fleetsim.Fault
}

// schedules are the generators to draw a schedule from. Those other than
// randomSchedule aim at states that random phases and faults hardly ever reach.
var schedules = []func(*rapid.T) schedule{
	randomSchedule, randomSchedule, lostLeaders, movingLeaders, pausedHolders, pausedHolders, grantInFlight, grantInFlight, forgottenPromises,
}

func randomSchedule(t *rapid.T) schedule {
	s := schedule{cfg: drawConfig(t), changes: drawChanges(t), phases: drawPhases(t)}
	s.faults = drawFaults(t, s.phases)
	return s
}

// reliableSchedule returns a fleet with one limit whose network loses no messages.
func reliableSchedule(t *rapid.T, limit quota.Limit) schedule {
	cfg := drawConfig(t)
	cfg.Hosts = fleetsim.Hosts(9, "a", "b", "c") // 6 of 9 voters must answer
	cfg.Jitter = rapid.SampledFrom([]time.Duration{1, 20}).Draw(t, "calm jitter ms") * time.Millisecond
	cfg.LossRate = 0
	return schedule{cfg: cfg, changes: []fleetsim.LimitChange{{Limit: limit}}}
}

func millis(t *rapid.T, low, high int, name string) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
}

func firstShard() uint32 { return quota.Key{Team: "team"}.Shard() }

// lostLeaders drains a slowly filling bucket while its leader fails repeatedly: a
// successor must not grant tokens that were already spent.
func lostLeaders(t *rapid.T) schedule {
	s := reliableSchedule(t, limitOf(t, []float64{3.5, 10, 15}, []float64{20, 60}))
	s.phases = []phase{{at: warmUp, length: scheduleLength - warmUp, load: 1}}
	kind := rapid.SampledFrom([]fleetsim.FaultKind{fleetsim.Crash, fleetsim.Pause, fleetsim.CutOutgoing}).Draw(t, "kind")
	span := 2200 * time.Millisecond
	if kind == fleetsim.Crash {
		span = scheduleLength // a recently started process grants few tokens
	}
	every := millis(t, 2600, 3000, "every ms")
	for at := warmUp + 2*time.Second; at < scheduleLength; at += every {
		s.faults = append(s.faults, fleetsim.Fault{Kind: kind, At: at, AtLeader: true, Shard: firstShard(), Duration: span})
	}
	return s
}

// movingLeaders makes the leader hand over about as often as MinTenure allows, while
// messages of the handovers are lost or delayed.
func movingLeaders(t *rapid.T) schedule {
	s := reliableSchedule(t, drawLimit(t))
	s.cfg.Jitter = rapid.SampledFrom([]time.Duration{1, 20, 60, 150}).Draw(t, "jitter ms") * time.Millisecond
	s.cfg.LossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
	s.phases = []phase{{at: warmUp, length: scheduleLength - warmUp, load: 1}}
	for at := warmUp; at < scheduleLength; at += millis(t, 200, 1400, "after ms") {
		s.faults = append(s.faults, fleetsim.Fault{
			Kind: fleetsim.Stop, At: at, AtLeader: true, Shard: firstShard(),
			Duration: millis(t, 1, 500, "down ms"),
		})
	}
	return s
}

// roundTime is the length of one round of the schedules below. Buckets that fill
// within a second are full again at its end.
const roundTime = 3500 * time.Millisecond

// pausedHolders pauses hosts that hold tokens until the tokens have expired and the
// buckets are full again; then all hosts get a batch of requests.
func pausedHolders(t *rapid.T) schedule {
	s := reliableSchedule(t, limitOf(t, []float64{15, 16, 40, 200}, []float64{0.3, 0.6, 1}))
	const held = 700 * time.Millisecond
	for at := warmUp + time.Second; at+roundTime <= scheduleLength; at += roundTime {
		pause := at + held
		span := millis(t, 1100, 1400, "pause ms") // leaders that pause keep their leases
		s.phases = append(s.phases,
			phase{at: at, length: held, rate: rapid.SampledFrom([]float64{30, 100, 300}).Draw(t, "rate")},
			phase{at: pause + span, length: 200 * time.Millisecond, load: 1, batch: true})
		first := rapid.IntRange(0, 8).Draw(t, "first paused")
		for host := range rapid.IntRange(1, 3).Draw(t, "paused") {
			s.faults = append(s.faults, fleetsim.Fault{Kind: fleetsim.Pause, At: pause, Host: first + host, Duration: span})
		}
	}
	return s
}

// grantInFlight pauses a host while grants are in flight to it, until the grants have
// expired at the leaders and their buckets are full again.
func grantInFlight(t *rapid.T) schedule {
	s := reliableSchedule(t, limitOf(t, []float64{2, 15, 40, 200}, []float64{0.1, 0.3, 1}))
	s.cfg.Jitter = time.Millisecond
	for at := warmUp + time.Second; at+roundTime <= scheduleLength; at += roundTime {
		host := rapid.IntRange(0, 8).Draw(t, "paused")
		pause := at + time.Duration(rapid.IntRange(100, 8000).Draw(t, "lead us"))*time.Microsecond
		span := millis(t, 200, 1400, "pause ms")
		s.phases = append(s.phases,
			phase{at: at, batch: true, oneHost: true, host: host},
			phase{at: pause + span, length: 200 * time.Millisecond, load: 1, batch: true})
		s.faults = append(s.faults, fleetsim.Fault{Kind: fleetsim.Pause, At: pause, Host: host, Duration: span})
	}
	return s
}

// forgottenPromises restarts all voters except the leader. Messages of the leader
// no longer arrive, but it still relies on the promises that the restarted voters
// have lost.
func forgottenPromises(t *rapid.T) schedule {
	s := reliableSchedule(t, limitOf(t, []float64{2, 15, 40}, []float64{0.3, 1}))
	s.cfg.Hosts = fleetsim.Hosts(rapid.IntRange(3, 9).Draw(t, "few hosts"), "a", "b", "c")
	s.phases = []phase{{at: warmUp, length: scheduleLength - warmUp, load: 1}}
	for at := warmUp + 2*time.Second; at < scheduleLength; at += 5 * time.Second {
		down := millis(t, 1, 50, "down ms")
		s.faults = append(s.faults,
			fleetsim.Fault{Kind: fleetsim.RestartOthers, At: at, AtLeader: true, Shard: firstShard(), Duration: down},
			fleetsim.Fault{Kind: fleetsim.CutOutgoing, At: at, AtLeader: true, Shard: firstShard(), Duration: 2 * time.Second},
			fleetsim.Fault{Kind: fleetsim.FalseSuspicion, At: at + down + time.Millisecond, Duration: time.Second})
	}
	return s
}

// sendRequests schedules the requests of the phases.
func sendRequests(f *fleetsim.Fleet, seed uint64, limit quota.Limit, phases []phase) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for _, p := range phases {
		request := func() {
			members := f.Members()
			host := rng.IntN(len(members))
			if p.oneHost {
				host = p.host % len(members)
			}
			f.Request(members[host].ID, "team", nil)
		}
		if p.batch {
			for range int(limit.Burst) + 1 {
				f.At(p.at, request)
			}
		}
		rate := p.load*(limit.Rate+2*limit.Burst) + p.rate
		if rate == 0 {
			continue
		}
		for at := p.at; at < p.at+p.length; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
			f.At(at, request)
		}
	}
}

// Guards against more than rate * w + burst admitted requests in any window of length
// w, and against two leaders of a part, under all simulated faults and changes of the
// limit.
func TestAdmissionsStayWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.SampledFrom(schedules).Draw(t, "schedule")(t)
		f := fleetsim.New(s.cfg, map[string]quota.Limit{"team": s.changes[0].Limit})
		for _, c := range s.changes[1:] {
			f.At(c.At, func() { f.SetLimit("team", c.Limit) })
		}
		f.ScheduleFaults(s.faults)
		sendRequests(f, s.cfg.Seed, s.changes[0].Limit, s.phases)
		f.Run(scheduleLength)
		for _, start := range f.Tenures {
			if start.OtherLeader != "" {
				t.Fatalf("%s and %s lead shard %d at %v", start.Host, start.OtherLeader, start.Shard, start.At)
			}
		}
		if excess := fleetsim.Excess(f.Admissions, "team", s.changes, quota.ConfigPropagationTime); excess > 1e-6 {
			t.Fatalf("admitted %.3f more than rate * w + burst in a window", excess)
		}
	})
}
