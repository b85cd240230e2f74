package group

import "github.com/plantainmux/plantainmux/internal/config"

// costRate returns what one missing group of a model costs a second: its
// downtime, and the accelerators that idle for want of it.
func (p *planner) costRate(model *config.Model) float64 {
	if model == nil {
		return 0
	}
	policy := p.in.Config.Policy
	return policy.DowntimeWeight*ValueOf(model) + policy.StrandedWeight*float64(model.Members*p.accelerators)
}

// ValueOf returns the weight of a model's downtime.
func ValueOf(model *config.Model) float64 {
	if model.Value == 0 {
		return 1
	}
	return model.Value
}

// accelerators returns how many a VM has, the largest if they differ.
func (in Input) accelerators() int {
	most := 1
	for _, vm := range in.World.VMs {
		most = max(most, vm.Accelerators)
	}
	return most
}
