package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/internal/fleetsim"
)

// length is the virtual time of one schedule.
const length = 14 * time.Second

func drawConfig(t *rapid.T) fleetsim.Config {
	zones := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "zones")]
	return fleetsim.Config{
		Seed:        rapid.Uint64().Draw(t, "seed"),
		Hosts:       fleetsim.Hosts(rapid.IntRange(1, 9).Draw(t, "hosts"), zones...),
		SameZone:    200 * time.Microsecond,
		OtherZone:   time.Millisecond,
		Jitter:      rapid.SampledFrom([]time.Duration{1, 20, 60, 60, 400}).Draw(t, "jitter ms") * time.Millisecond,
		Loss:        rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss"),
		ClockSpread: 0.0196, // clock rates differ by just under 2%
		ListDelay:   2 * time.Second,
		LimitDelay:  quota.ConfigSpread,
	}
}

// phase is a span of constant demand. Faults begin and end with phases, so that
// tokens left over from before meet full and empty buckets.
type phase struct {
	at, length time.Duration
	load       float64 // requests per second, in parts of what drains all in 0.5 s
	batch      bool    // one burst of requests at the start of the phase
	oneHost    bool    // all requests of the phase go to one host
	host       int
}

// warmUp is the time after which all parts of a new fleet have keepers.
const warmUp = 3 * time.Second

func drawPhases(t *rapid.T) []phase {
	var phases []phase
	for at := warmUp; at < length; {
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
			Kind:     fleetsim.Kind(rapid.IntRange(0, fleetsim.Kinds-1).Draw(t, "kind")),
			At:       from + lead,
			Host:     rapid.IntRange(0, 8).Draw(t, "host"),
			AtKeeper: rapid.Bool().Draw(t, "at the keeper"),
			Shard:    quota.Key{Team: "team", Part: rapid.IntRange(0, quota.MaxParts-1).Draw(t, "part")}.Shard(),
			For:      to - from - lead,
		}
	})
	most := rapid.SampledFrom([]int{2, 4, 16}).Draw(t, "most faults")
	return rapid.SliceOfN(draw, 0, most).Draw(t, "faults")
}

func drawLimit(t *rapid.T) quota.Limit {
	return quota.Limit{
		Rate:  rapid.SampledFrom([]float64{0.5, 5, 20, 200}).Draw(t, "rate"),
		Burst: rapid.SampledFrom([]float64{1, 2, 3.5, 15, 16, 40, 200}).Draw(t, "burst"),
	}
}

// drawChanges draws limits accepted over time, which rise and fall and change
// the number of parts.
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

// offer sends the requests of the phases.
func offer(f *fleetsim.Fleet, seed uint64, limit quota.Limit, phases []phase) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for _, p := range phases {
		request := func() {
			members := f.Members()
			host := rng.IntN(len(members))
			if p.oneHost {
				host = p.host % len(members)
			}
			f.Ask(members[host].ID, "team")
		}
		if p.batch {
			for range int(limit.Burst) + 1 {
				f.At(p.at, request)
			}
		}
		rate := p.load * (limit.Rate + 2*limit.Burst)
		if rate == 0 {
			continue
		}
		for at := p.at; at < p.at+p.length; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
			f.At(at, request)
		}
	}
}

// Guards against more than rate * w + burst requests in any window w, through
// every fault of the design and through changes of the limit.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drawConfig(t)
		changes := drawChanges(t)
		f := fleetsim.New(cfg, map[string]quota.Limit{"team": changes[0].Limit})
		for _, c := range changes[1:] {
			f.At(c.At, func() { f.SetLimit("team", c.Limit) })
		}
		phases := drawPhases(t)
		f.Schedule(drawFaults(t, phases))
		offer(f, cfg.Seed, changes[0].Limit, phases)
		f.Run(length)
		if excess := fleetsim.Excess(f.Admissions, "team", changes, quota.ConfigSpread); excess > 1e-6 {
			t.Fatalf("admitted %.3f more than rate * w + burst in a window", excess)
		}
	})
}
