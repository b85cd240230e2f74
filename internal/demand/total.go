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
