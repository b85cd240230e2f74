package placement

// maxMemoryShare is the share of a group's memory up to which requests are placed: the lengths of
// answers, and the requests of other daemons, are estimates.
const maxMemoryShare = 0.95

// hasMemory reports whether the memory of a target is known to hold a request besides those in
// progress: requests of this daemon by their own lengths, those of others by the published mean.
// An idle group takes what it holds at all.
func hasMemory(target *Target, requirements Requirements) bool {
	if target.MemoryTokens <= 0 {
		return true
	}
	wanted := target.RequestTokens(requirements.PromptTokens, requirements.OutputTokens)
	known := target.Meter.LocalTokens() + int(float64(target.Meter.RemoteInFlight())*(target.MeanPromptTokens+target.MeanOutputTokens))
	if known == 0 {
		return wanted <= target.MemoryTokens
	}
	return float64(known+wanted) <= maxMemoryShare*float64(target.MemoryTokens)
}

// RequestTokens returns the context tokens that a request fills in the end. Lengths of 0 are not
// known; then the published mean counts.
func (t *Target) RequestTokens(prompt, output int) int {
	if prompt <= 0 {
		prompt = int(t.MeanPromptTokens)
	}
	if output <= 0 {
		output = int(t.MeanOutputTokens)
	}
	return prompt + output
}
