package demand

// rates are requests and tokens per second, or their counts.
type rates struct {
	requests     float64
	promptTokens float64
	withOutput   float64 // requests with a known output length
	outputTokens float64 // of those requests
}

func (r rates) plus(other rates) rates {
	return rates{
		requests: r.requests + other.requests, promptTokens: r.promptTokens + other.promptTokens,
		withOutput: r.withOutput + other.withOutput, outputTokens: r.outputTokens + other.outputTokens,
	}
}

// per returns counts as rates over a time in seconds.
func (r rates) per(seconds float64) rates {
	return rates{requests: r.requests / seconds, promptTokens: r.promptTokens / seconds, withOutput: r.withOutput / seconds, outputTokens: r.outputTokens / seconds}
}

// allOutputTokens returns the output tokens of all requests, where those with an unknown length
// count with the mean of the others.
func (r rates) allOutputTokens() float64 {
	if r.withOutput <= 0 {
		return 0
	}
	return r.outputTokens / r.withOutput * r.requests
}
