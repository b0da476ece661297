package control

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/decide/quota"
)

// Guards against a process that is ready while leaders still grant reduced rates.
// That period begins with the first configuration, which may arrive late.
func TestProcessIsReadyOnceLeadersGrantFullRates(t *testing.T) {
	started := time.Now()
	for _, c := range []struct {
		config time.Duration // after the start
		known  bool
	}{{200 * time.Millisecond, true}, {2 * time.Second, true}, {200 * time.Millisecond, false}, {3 * time.Second, false}} {
		state := &State{LeadersKnown: c.known}
		state.Self.Started = started
		p := &publisher{state: state}
		p.build(started)
		state.Config = &config.Config{}
		p.build(started.Add(c.config))
		ready := p.build(started.Add(time.Minute)).ReadyAt.Sub(started)
		if ready < c.config+quota.StartupReducedLimitPeriod || (!c.known && ready < leaderWaitTimeout) {
			t.Errorf("configured after %v, leaders known %v: ready after %v", c.config, c.known, ready)
		}
	}
}
