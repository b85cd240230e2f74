package group

import "github.com/plantainmux/plantainmux/internal/config"

// costRate returns the cost per second of one missing group of a model: its
// weighted downtime plus the weighted number of accelerators left idle.
func (p *planner) costRate(model *config.Model) float64 {
	if model == nil {
		return 0
	}
	policy := p.in.Config.Policy
	return policy.DowntimeWeight*DowntimeValue(model) + policy.StrandedWeight*float64(model.Members*p.accelerators)
}

// DowntimeValue returns the relative cost of a model's downtime, 1 by default.
func DowntimeValue(model *config.Model) float64 {
	if model.Value == 0 {
		return 1
	}
	return model.Value
}

// accelerators returns the number of accelerators per VM, the largest if they
// differ.
func (in Input) accelerators() int {
	most := 1
	for _, vm := range in.World.VMs {
		most = max(most, vm.Accelerators)
	}
	return most
}
