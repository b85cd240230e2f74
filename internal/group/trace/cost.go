package trace

import "github.com/plantainmux/plantainmux/internal/config"

// Cost is the result of a replay.
type Cost struct {
	Downtime float64 // group seconds of missing groups
	Valued   float64 // Downtime weighted by the value of each model
	Stranded float64 // accelerator seconds of healthy VMs that are needed but in no complete group
}

// Weighted returns the total cost by the weights of a policy.
func (c Cost) Weighted(policy config.Policy) float64 {
	return policy.DowntimeWeight*c.Valued + policy.StrandedWeight*c.Stranded
}
