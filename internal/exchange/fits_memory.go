package exchange

import "github.com/plantainmux/plantainmux/internal/placement"

// fitsMemory reports whether the memory of a group can hold the request at all, as far as the
// service publishes its memory and the caller states lengths. Without an estimate of the answer,
// the published mean counts.
func (r *run) fitsMemory() bool {
	performance := r.req.Service.Performance
	if performance == nil || performance.MemoryTokens <= 0 {
		return true
	}
	group := placement.Target{MeanPromptTokens: performance.MeanPromptTokens, MeanOutputTokens: performance.MeanOutputTokens}
	return group.RequestTokens(r.req.PromptTokens, r.req.OutputTokens) <= performance.MemoryTokens
}
