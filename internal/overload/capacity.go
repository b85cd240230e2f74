package overload

import (
	"cmp"
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
)

// completionRate returns the requests per second that a group completes with a number of
// requests in progress: r / (1 + r p), where r is the rate without prompts and p the time in
// which one prompt is read, during which the requests in progress wait.
func completionRate(p *catalog.PerformanceModel, model *catalog.Model, inProgress float64, demand Demand) float64 {
	prompt := cmp.Or(demand.PromptTokens, p.MeanPromptTokens)
	output := cmp.Or(demand.OutputTokens, p.MeanOutputTokens)
	factor := model.StepTimeFactor
	if factor <= 0 {
		factor = 1
	}
	steps := float64(max(p.StepsPerPass, 1))
	perRequest := p.PerRequest.Seconds() + (prompt+output)/1000*p.PerThousandContextTokens.Seconds()
	pass := factor * steps * (p.StepDuration.Seconds() + inProgress*perRequest)
	read := 0.0
	if p.PrefillTokensPerSecond > 0 {
		read = factor * (prompt/p.PrefillTokensPerSecond + prompt*prompt/1e6*p.PerMillionTokenPairs.Seconds())
	}
	if pass <= 0 {
		return 0
	}
	rate := inProgress / (passes(p, demand) * pass)
	return rate / (1 + rate*read)
}

// passes returns the number of passes of an answer.
func passes(p *catalog.PerformanceModel, demand Demand) float64 {
	return max(cmp.Or(demand.OutputTokens, p.MeanOutputTokens)/float64(max(p.StepsPerPass, 1)), 1)
}

// publishedGap returns the mean time between two events of a stream at a group with a number of
// requests in progress, by its published performance: prompts that are read meanwhile included. It
// is 0 for an idle group.
func publishedGap(in Input, inProgress int) time.Duration {
	load := float64(min(inProgress, in.Performance.Slots))
	rate := completionRate(in.Performance, in.Model, load, in.Demand)
	if rate <= 0 {
		return 0
	}
	return time.Duration(load / (passes(in.Performance, in.Demand) * rate) * float64(time.Second)) // by Little's law
}
