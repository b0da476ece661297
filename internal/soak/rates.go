package soak

import (
	"net/http"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/teamrate"
)

// Rates that the run limits, and the rules for them.
const (
	// limitedTeam sends three times its rate.
	limitedTeam      = teamCount - 1
	limitedTeamRate  = requestsPerSecond
	limitedTeamBurst = requestsPerSecond
	// namedRate is the rate of requests per second that a server names while it is
	// limited, a tenth of its load.
	namedRate = 1.0
	// namedRateGrace is the time after a server first named its rate in which it may get
	// more.
	namedRateGrace = 3 * time.Second
	// namedRateWindow, namedRateFactor and namedRateExtra limit the requests at a server:
	// the factor times the rate over the window, and the extra ones.
	namedRateWindow = 4 * time.Second
	namedRateFactor = 1.5
	namedRateExtra  = 5
	// coldTime is how long a server is cold, and coldRate the requests per second that it
	// accepts meanwhile.
	coldTime = 3 * time.Second
	coldRate = 3.0
	// coldRateFactor and coldRateExtra limit the requests at a cold server within a second.
	coldRateFactor = 1.5
	coldRateExtra  = 8
)

// rateTolerance is the amount by which teams may exceed their rates.
var rateTolerance = teamrate.Tolerance{Window: 5 * time.Second, ExcessRatio: 0.25, SlackTokens: 20}

// isOverTeamRate reports whether a request was refused because its team sends more than
// its rate.
func (r *request) isOverTeamRate() bool {
	return r.team == teamName(limitedTeam) && r.status == http.StatusTooManyRequests
}

// recordColdRequest records that a request reached a cold backend server.
func (c *invariantChecker) recordColdRequest(id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldRequests[id] = append(c.coldRequests[id], at)
}

// checkRates checks the rate of the limited team and the rates of limited and cold servers.
func (c *invariantChecker) checkRates() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sent []time.Time
	atLimited := make(map[string][]time.Time) // by server: requests while it named its rate
	for _, r := range c.requests {
		if r.team == teamName(limitedTeam) && len(r.executions) > 0 {
			sent = append(sent, r.sent)
		}
		for _, execution := range r.executions {
			if execution.NamedRate > 0 && execution.Began.Sub(execution.NamedSince) > namedRateGrace {
				atLimited[execution.Backend] = append(atLimited[execution.Backend], execution.Began)
			}
		}
	}
	limit := teamrate.Limit{Rate: limitedTeamRate, Burst: limitedTeamBurst, Tolerance: rateTolerance}
	if most := mostWithin(sent, rateTolerance.Window); float64(most) > limit.MaxPermitted() {
		c.report(TeamRateExceeded, "%d requests of %s within %v, permitted %.0f", most, teamName(limitedTeam), rateTolerance.Window, limit.MaxPermitted())
	}
	for server, times := range atLimited {
		permitted := namedRateFactor*namedRate*namedRateWindow.Seconds() + namedRateExtra
		if most := mostWithin(times, namedRateWindow); float64(most) > permitted {
			c.report(NamedRateExceeded, "%d requests at %s within %v, permitted %.0f", most, server, namedRateWindow, permitted)
		}
	}
	for server, times := range c.coldRequests {
		permitted := coldRateFactor*coldRate + coldRateExtra
		if most := mostWithin(times, time.Second); float64(most) > permitted {
			c.report(ColdRateExceeded, "%d requests at %s within a second, permitted %.1f", most, server, permitted)
		}
	}
}

// mostWithin returns the highest number of times within any window.
func mostWithin(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
