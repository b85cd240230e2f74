package demand

// Total is the demand for one model over all daemons.
type Total struct {
	RequestsPerS     float64
	PromptTokensPerS float64
	OutputTokensPerS float64         // 0 if no output length is known
	ByPriority       map[int]float64 // requests per second
}

// TotalOf returns the demand for a model in a list of reports.
func TotalOf(reports []Report, service, model string) Total {
	total := Total{ByPriority: map[int]float64{}}
	sum := rates{}
	key := keyOf(service, model)
	for _, report := range reports {
		if report.Key == key {
			sum = sum.plus(report.rates())
			total.ByPriority[int(report.Priority)] += float64(report.RequestsPerS)
		}
	}
	total.RequestsPerS, total.PromptTokensPerS, total.OutputTokensPerS = sum.requests, sum.promptTokens, sum.allOutputTokens()
	return total
}

// times returns the rates multiplied by a factor, without priorities.
func (t Total) times(factor float64) Total {
	return Total{RequestsPerS: factor * t.RequestsPerS, PromptTokensPerS: factor * t.PromptTokensPerS, OutputTokensPerS: factor * t.OutputTokensPerS}
}

// plus returns the sum of the rates, without priorities.
func (t Total) plus(other Total) Total {
	return Total{
		RequestsPerS: t.RequestsPerS + other.RequestsPerS, PromptTokensPerS: t.PromptTokensPerS + other.PromptTokensPerS,
		OutputTokensPerS: t.OutputTokensPerS + other.OutputTokensPerS,
	}
}

// MeanTokens returns the mean number of prompt and output tokens of a request, 0 for one that is
// not known.
func (t Total) MeanTokens() (prompt, output float64) {
	if t.RequestsPerS <= 0 {
		return 0, 0
	}
	return t.PromptTokensPerS / t.RequestsPerS, t.OutputTokensPerS / t.RequestsPerS
}
