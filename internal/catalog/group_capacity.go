package catalog

import "time"

// GroupCapacity returns the requests per second that a group of a model with a full batch
// completes, for requests of a mean number of prompt and output tokens; a number that is not
// positive stands for the published mean. A slot is in use for the passes of an answer, which
// are prolonged by the prompts that the group reads meanwhile: x = r / (1 + r p), where r is the
// rate without prompts and p the time to read one. It is 0 if the published performance does not
// determine it.
func (p *PerformanceModel) GroupCapacity(model *Model, promptTokens, outputTokens float64) float64 {
	if promptTokens <= 0 {
		promptTokens = p.MeanPromptTokens
	}
	if outputTokens <= 0 {
		outputTokens = p.MeanOutputTokens
	}
	context := (promptTokens + outputTokens) / 1000
	step := (p.StepDuration + time.Duration(p.Slots)*p.PerRequest).Seconds() + float64(p.Slots)*context*p.PerThousandContextTokens.Seconds()
	if p.Slots <= 0 || step <= 0 || outputTokens <= 0 {
		return 0
	}
	steps := max(outputTokens, float64(max(p.StepsPerPass, 1))) // an answer takes a whole pass at least
	factor := model.effectiveStepTimeFactor()
	rate := float64(p.Slots) / (steps * step * factor)
	read := 0.0
	if p.PrefillTokensPerSecond > 0 {
		read = promptTokens / p.PrefillTokensPerSecond * factor
	}
	return rate / (1 + rate*read)
}
