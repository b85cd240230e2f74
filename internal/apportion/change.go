package apportion

import "math"

// Change closes groups of one model in a domain and forms groups of another from their members
// and, if those are too few, from free endpoints.
type Change struct {
	Domain     string
	From, To   string   // models
	Close      []string // names of the groups of From
	Form       int      // number of groups of To
	InProgress int      // requests in progress at the groups that are closed

	// Utilisation of both models before and after the change.
	FromBefore, FromAfter float64
	ToBefore, ToAfter     float64
}

// gain returns by how much the utilisation of the busier model falls.
func (c Change) gain() float64 {
	return max(c.FromBefore, c.ToBefore) - max(c.FromAfter, c.ToAfter)
}

// paysOff reports whether the gain exceeds the cost, the models end up no further apart than before,
// and the one that gives up groups keeps enough: it stays below a limit or, where the other one is
// short of capacity, is no busier than that is then.
func (c Change) paysOff(limit float64) bool {
	apart := math.Abs(c.FromAfter - c.ToAfter)
	if c.gain() <= minGain || apart > math.Abs(c.FromBefore-c.ToBefore) {
		return false
	}
	return c.FromAfter < limit || c.ToBefore >= shortUtilisation && c.FromAfter <= c.ToAfter
}

// ToBusy reports whether the model that gets groups is too busy to give up any.
func (c Change) ToBusy() bool { return c.ToBefore >= maxUtilisation }

// better reports whether a change is preferable to another one: the greater gain, and among equal
// ones that which disturbs fewer requests.
func (c Change) better(other Change) bool {
	if c.gain() != other.gain() {
		return c.gain() > other.gain()
	}
	return c.InProgress < other.InProgress
}
