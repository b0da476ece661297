package bench

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
)

// Guards against quantiles that are taken one rank too high or too low.
func TestQuantilesAreNearestRanks(t *testing.T) {
	var samples []time.Duration
	for i := 1000; i >= 1; i-- {
		samples = append(samples, time.Duration(i)*time.Microsecond)
	}
	if got, want := quantiles(samples), (Quantiles{P50: 500, P99: 990, P999: 999}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := quantiles(samples[:1]); got.P50 != got.P999 || got.P50 != 1 {
		t.Errorf("one sample: %+v", got)
	}
}

// Guards against a cost that includes what the processes consume without traffic, and
// against a cost computed from too few calls.
func TestCostLeavesOutIdleUse(t *testing.T) {
	m := &costMeter{idle: resourceUsage{mallocs: 1000, bytes: 10_000, cpuSeconds: 0.01}}
	after := resourceUsage{mallocs: 302_000, bytes: 1_020_000, cpuSeconds: 0.52}
	got := m.cost(resourceUsage{}, after, 2*time.Second, 1000)
	if got == nil || got.Allocs != 300 || got.Bytes != 1000 || got.CPUMicros < 499 || got.CPUMicros > 501 {
		t.Errorf("got %+v", got)
	}
	if m.cost(resourceUsage{}, after, time.Second, minCalls-1) != nil {
		t.Error("a cost from too few calls")
	}
}

// Guards against a run that measures only one of the two paths.
func TestRunCallsOnBothPaths(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a fleet")
	}
	options := Options{Rates: []float64{50}, Workers: 2, LoadDuration: 500 * time.Millisecond, Seed: 1, Log: zap.NewNop()}
	report, err := Run(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range report.Loads {
		if row.Calls == 0 || row.Direct.P50 <= 0 || row.Proxied.P50 <= 0 {
			t.Errorf("%+v", row)
		}
		t.Logf("%s: added %+v, failures %v", row.Load, row.Added, row.Failures)
	}
}
