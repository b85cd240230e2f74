package overload

import "math"

// Demand is the demand for a model over all daemons, by first attempts of callers. The zero
// value is an unknown demand.
type Demand struct {
	ByPriority   map[int]float64 // requests per second
	PromptTokens float64         // mean of a request; 0: not known
	OutputTokens float64         // mean of a request; 0: not known
}

// total returns the requests per second of all priorities, 0 if they are not known.
func (d Demand) total() float64 {
	total := 0.0
	for _, rate := range d.ByPriority {
		if rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
			return 0
		}
		total += rate
	}
	return total
}

// moreUrgent returns the requests per second of the priorities before one.
func (d Demand) moreUrgent(priority int) float64 {
	rate := 0.0
	for p, of := range d.ByPriority {
		if p < priority {
			rate += of
		}
	}
	return rate
}
