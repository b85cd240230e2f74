package catalog

import "time"

// MaxPassDuration returns the longest expected time between two events of a request
// that is generating output: one pass of a group whose slots are all in use and
// which processes a full chunk of prompt tokens in each step.
func (p *PerformanceModel) MaxPassDuration(model *Model) time.Duration {
	step := float64(p.StepDuration) + float64(p.Slots)*(float64(p.PerRequest)+p.contextThousands()*float64(p.PerThousandContextTokens))
	promptTime := 0.0
	if p.PrefillTokensPerSecond > 0 {
		promptTime = float64(p.PrefillChunkTokens) / p.PrefillTokensPerSecond * float64(time.Second)
	}
	return time.Duration(float64(max(p.StepsPerPass, 1)) * (step + promptTime) * model.effectiveStepTimeFactor())
}

// MaxPrefillTokensPerPass returns the maximum number of prompt tokens processed in
// one pass.
func (p *PerformanceModel) MaxPrefillTokensPerPass() int {
	return max(p.StepsPerPass, 1) * p.PrefillChunkTokens
}

// contextThousands returns the context length of an average request in units of 1,000
// tokens.
func (p *PerformanceModel) contextThousands() float64 {
	return (p.MeanPromptTokens + p.MeanOutputTokens) / 1000
}

// effectiveStepTimeFactor returns the step time factor of the model; 1 if none is
// configured.
func (m *Model) effectiveStepTimeFactor() float64 {
	if m.StepTimeFactor <= 0 {
		return 1
	}
	return m.StepTimeFactor
}
