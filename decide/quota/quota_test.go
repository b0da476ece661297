package quota_test

import (
	"fmt"
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
		Jitter:      rapid.SampledFrom([]time.Duration{1, 20, 60, 400}).Draw(t, "jitter ms") * time.Millisecond,
		Loss:        rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss"),
		ClockSpread: 0.0196, // clock rates differ by just under 2%
		ListDelay:   2 * time.Second,
		LimitDelay:  quota.ConfigSpread,
	}
}

func drawFaults(t *rapid.T) []fleetsim.Fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fleetsim.Fault {
		return fleetsim.Fault{
			Kind: fleetsim.Kind(rapid.IntRange(0, fleetsim.Kinds-1).Draw(t, "kind")),
			At:   time.Duration(rapid.Int64Range(int64(3*time.Second), int64(length)).Draw(t, "at")),
			Host: rapid.IntRange(0, 8).Draw(t, "host"),
			For:  time.Duration(rapid.Int64Range(int64(50*time.Millisecond), int64(4*time.Second)).Draw(t, "for")),
		}
	}), 0, 16).Draw(t, "faults")
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

// overload sends requests of several times the rate in waves, so that buckets
// are at times full and at times empty.
func overload(f *fleetsim.Fleet, seed uint64, rate float64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for at := time.Duration(0); at < length; {
		factor := []float64{0.3, 2, 8}[(at/(700*time.Millisecond))%3]
		at += time.Duration(rng.ExpFloat64() / (factor*rate + 5) * float64(time.Second))
		f.At(at, func() {
			members := f.Members()
			f.Ask(members[rng.IntN(len(members))].ID, "team")
		})
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
		f.Schedule(drawFaults(t))
		overload(f, cfg.Seed, changes[0].Limit.Rate)
		f.Run(length)
		if excess := fleetsim.Excess(f.Admissions, "team", changes, quota.ConfigSpread); excess > 1e-6 {
			t.Fatalf("admitted %.3f more than rate * w + burst in a window", excess)
		}
	})
}

var _ = fmt.Sprint
