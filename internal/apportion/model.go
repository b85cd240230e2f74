package apportion

import "math"

// Model is a model of a service, over all fabric domains.
type Model struct {
	Name      string
	GroupSize int
	Groups    int     // that serve or are being formed
	Serving   int     // groups that serve now; 0 for all models: not known
	Need      float64 // demand divided by the capacity of a group

	available  float64 // share of the groups that are expected to serve; 0: all
	evacuation Evacuation
}

// leastLeft is the part of its only group by which a model is compared that can bear no loss.
const leastLeft = 0.5

// utilisation returns the fraction of its capacity that a model needs if it has some more groups, after
// the loss of one of them.
func (m Model) utilisation(more int) float64 {
	left := m.evacuation.GroupsLeft(float64(m.Groups + more))
	if m.available > 0 {
		left *= m.available
	}
	switch {
	case left > 0:
		return m.Need / left
	case m.Need > 0:
		return math.Inf(1)
	default:
		return 0
	}
}

// minAvailable is the least share of the groups of a model that are expected to serve: where
// hardly any group serves, the number of those that do says little about the next seconds.
const minAvailable = 0.5

// withAvailability returns the models with the share of their groups that are expected to serve
// while endpoints are lost at random: a group is out of service from the loss of any of its members
// until it is formed again, so that one of twice the size is out twice as often. The rate is that of
// all models together, as a single model has too few groups to tell.
func withAvailability(models []Model) []Model {
	out, endpoints, known := 0.0, 0.0, false
	for _, m := range models {
		out += float64(max(m.Groups-m.Serving, 0))
		endpoints += float64(m.Groups * m.GroupSize)
		known = known || m.Serving > 0
	}
	if !known || endpoints == 0 {
		return models
	}
	adjusted := make([]Model, len(models))
	for i, m := range models {
		m.available = max(1-out/endpoints*float64(m.GroupSize), minAvailable)
		adjusted[i] = m
	}
	return adjusted
}
