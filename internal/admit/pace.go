package admit

import "time"

// paceWeight is the share of a new sample in a moving average.
const paceWeight = 0.1

// pace estimates how long an answer takes, from the answers that this daemon
// saw.
type pace struct {
	answer   float64 // nanoseconds of an answer
	perToken float64 // nanoseconds of an answer for each token that was asked for
}

func (p *pace) saw(took time.Duration, maxTokens int) {
	p.answer = mix(p.answer, float64(took))
	if maxTokens > 0 {
		p.perToken = mix(p.perToken, float64(took)/float64(maxTokens))
	}
}

func mix(held, sample float64) float64 {
	if held == 0 {
		return sample
	}
	return held + (sample-held)*paceWeight
}

// mean returns the time of an answer of any length, or zero when unknown.
func (p *pace) mean() time.Duration { return time.Duration(p.answer) }

// estimate returns the time of an answer of a length, or zero when unknown.
func (p *pace) estimate(maxTokens int) time.Duration {
	if maxTokens > 0 && p.perToken > 0 {
		return time.Duration(p.perToken * float64(maxTokens))
	}
	return p.mean()
}
