package trace

import "github.com/plantainmux/plantainmux/internal/config"

// Cost is what a replay measured.
type Cost struct {
	Downtime float64 // seconds of missing groups
	Valued   float64 // the same, each weighed by its model's value
	Stranded float64 // accelerator seconds: healthy, wanted, and in no complete group
}

// Weighted returns the sum that a user goes by.
func (c Cost) Weighted(policy config.Policy) float64 {
	return policy.DowntimeWeight*c.Valued + policy.StrandedWeight*c.Stranded
}
