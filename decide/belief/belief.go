// Package belief estimates the probability that a backend server is in a gray
// failure: a period of some seconds in which it fails most of its requests although
// its health checks pass.
//
// A server is modeled as a hidden Markov chain with the states good and bad. Each
// request outcome updates the probability of the bad state by Bayes' rule. Without
// new outcomes the probability decays to the prior, the share of time that a server
// is bad. The estimate is only used to rank servers and never removes one from
// traffic.
package belief

import (
	"math"
	"time"
)

// Parameters of the model.
const (
	// MeanGoodDuration and MeanBadDuration are the mean durations of the two
	// states.
	MeanGoodDuration = 14 * time.Second
	MeanBadDuration  = 6 * time.Second
	// failProbabilityGood and failProbabilityBad are the probabilities that a
	// request fails in each state. Healthy servers fail about 1% of their
	// requests.
	failProbabilityGood = 0.03
	failProbabilityBad  = 0.7
	// slowProbabilityGood and slowProbabilityBad are the probabilities that a
	// request takes several times the usual latency in each state.
	slowProbabilityGood = 0.03
	slowProbabilityBad  = 0.2
	// minProbability and maxProbability bound the estimate, so that a few
	// outcomes can always reverse it.
	minProbability = 0.005
	maxProbability = 0.98
)

// PriorBadProbability is the probability of the bad state without any outcomes.
const PriorBadProbability = float64(MeanBadDuration) / float64(MeanGoodDuration+MeanBadDuration)

// decayRatePerSecond is the rate at which the estimate decays to the prior.
var decayRatePerSecond = 1/MeanGoodDuration.Seconds() + 1/MeanBadDuration.Seconds()

// Outcome is the result of one request to a server.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota
	Failed            // error response of the server, truncated or corrupt response, connection reset
	Slow              // no response after several times the usual latency
)

// Estimate is the probability that one server is in the bad state, with the time of
// its last update. The zero value is not valid; use New.
type Estimate struct {
	probability float64
	updatedAt   time.Time
}

// New returns the estimate for a server without outcomes.
func New(now time.Time) Estimate {
	return Estimate{probability: PriorBadProbability, updatedAt: now}
}

// BadProbability returns the probability that the server is in the bad state.
func (e Estimate) BadProbability(now time.Time) float64 {
	return DecayToPrior(e.probability, now.Sub(e.updatedAt))
}

// Observe returns the estimate after an outcome.
func (e Estimate) Observe(now time.Time, o Outcome) Estimate {
	likelihoodGood, likelihoodBad := likelihoods(o)
	p := e.BadProbability(now)
	p = p * likelihoodBad / (p*likelihoodBad + (1-p)*likelihoodGood)
	return Estimate{probability: min(max(p, minProbability), maxProbability), updatedAt: now}
}

// likelihoods returns the probability of an outcome in each state.
func likelihoods(o Outcome) (good, bad float64) {
	switch o {
	case Failed:
		return failProbabilityGood, failProbabilityBad
	case Slow:
		return slowProbabilityGood, slowProbabilityBad
	default:
		return 1 - failProbabilityGood, 1 - failProbabilityBad
	}
}

// DecayToPrior returns the probability of the bad state at the given time after it
// was p, without outcomes in between.
func DecayToPrior(p float64, age time.Duration) float64 {
	return PriorBadProbability + (p-PriorBadProbability)*math.Exp(-decayRatePerSecond*max(age, 0).Seconds())
}
