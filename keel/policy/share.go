package policy

import "math"

const (
	// Before a policy has answered, it is expected to allow priorAllowed of priorAsked workers.
	priorAllowed, priorAsked = 2.0, 4.0
	// maxAsked bounds the weight of earlier answers, so that a change of the policy shows after a few calls.
	maxAsked = 200.0
	// maxShortfall is the share of the calls that may allow too few workers, so that another one has to follow.
	maxShortfall = 0.1
)

// Share estimates the share of the workers that a policy allows.
type Share struct {
	allowed, asked float64
}

// Add records an answer.
func (s *Share) Add(allowed, asked int) {
	s.allowed += float64(allowed)
	s.asked += float64(asked)
	if s.asked > maxAsked {
		s.allowed, s.asked = s.allowed/2, s.asked/2
	}
}

// Allowed returns the estimate, between 0 and 1.
func (s *Share) Allowed() float64 { return (s.allowed + priorAllowed) / (s.asked + priorAsked) }

// WorkersFor returns the number of workers to ask for, at most limit, so that the policy most likely allows need of them.
func (s *Share) WorkersFor(need, limit int) int {
	for n := need; n < limit; n++ {
		if fewerThan(need, n, s.Allowed()) <= maxShortfall {
			return n
		}
	}
	return max(0, limit)
}

// fewerThan returns the probability that fewer than need of n workers are allowed, each with probability p, which is below 1.
func fewerThan(need, n int, p float64) float64 {
	term := math.Pow(1-p, float64(n))
	sum := 0.0
	for k := range need {
		sum += term
		term *= float64(n-k) / float64(k+1) * p / (1 - p)
	}
	return sum
}
