package apportion

import "math"

// Model is a model of a service, over all fabric domains.
type Model struct {
	Name      string
	GroupSize int
	Groups    int     // that serve or are being formed
	Need      float64 // demand divided by the capacity of a group
}

// utilisation returns the fraction of its capacity that a model needs if it has some more groups.
func (m Model) utilisation(more int) float64 {
	groups := m.Groups + more
	switch {
	case groups > 0:
		return m.Need / float64(groups)
	case m.Need > 0:
		return math.Inf(1)
	default:
		return 0
	}
}
