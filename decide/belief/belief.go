// Package belief estimates whether a backend server is in a gray failure: a
// state of some seconds in which it fails most of its requests although its
// health checks pass.
//
// A server is modelled as a two-state hidden Markov chain, good or bad. Each
// outcome moves the probability of "bad" by Bayes' rule, and with time it drifts
// back to the share of time that servers are bad. The estimate ranks servers; it
// takes no capacity away.
package belief

import (
	"math"
	"time"
)

// Parameters of the chain.
const (
	// GoodTime and BadTime are the mean lengths of the two states.
	GoodTime = 14 * time.Second
	BadTime  = 6 * time.Second
	// failGood and failBad are the probabilities that a request fails in each
	// state. Requests fail at about 1% on servers in order.
	failGood = 0.03
	failBad  = 0.7
	// slowGood and slowBad are the probabilities that a request takes several
	// times as long as usual in each state.
	slowGood = 0.03
	slowBad  = 0.2
	// least and most bound the probability, so that a few outcomes can always
	// turn it.
	least = 0.005
	most  = 0.98
)

// Prior is the probability of "bad" without any evidence.
const Prior = float64(BadTime) / float64(GoodTime+BadTime)

// rate is the speed per second at which evidence is forgotten.
var rate = 1/GoodTime.Seconds() + 1/BadTime.Seconds()

// Outcome is what one request says about the server that ran it.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota
	Failed            // an error answer of the server, a cut or spoiled answer, a reset
	Slow              // no answer yet after several times the usual latency
)

// State is the estimate for one server. The zero value is not valid; use New.
type State struct {
	bad float64
	at  time.Time
}

// New returns the estimate of a server without evidence.
func New(now time.Time) State {
	return State{bad: Prior, at: now}
}

// Bad returns the probability that the server is bad.
func (s State) Bad(now time.Time) float64 {
	return Drift(s.bad, now.Sub(s.at))
}

// Observe returns the estimate after an outcome.
func (s State) Observe(now time.Time, o Outcome) State {
	good, bad := likelihood(o)
	p := s.Bad(now)
	p = p * bad / (p*bad + (1-p)*good)
	return State{bad: min(max(p, least), most), at: now}
}

func likelihood(o Outcome) (good, bad float64) {
	switch o {
	case Failed:
		return failGood, failBad
	case Slow:
		return slowGood, slowBad
	default:
		return 1 - failGood, 1 - failBad
	}
}

// Drift returns the probability of "bad" some time after it was p, without
// further evidence.
func Drift(p float64, age time.Duration) float64 {
	return Prior + (p-Prior)*math.Exp(-rate*max(age, 0).Seconds())
}
