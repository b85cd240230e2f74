package demand

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Report is the demand for one model at one priority, in the form in which daemons tell each other.
type Report struct {
	_                struct{} `cbor:",toarray"`
	Key              uint32   // hash of service and model
	Priority         uint8    // 0 is the most urgent
	RequestsPerS     float32
	PromptTokensPerS float32
	// OutputTokensPerS covers requests with an unknown output length, which count with the mean
	// of the others. It is 0 if no length is known.
	OutputTokensPerS float32
}

// class identifies the reports that Sum adds up.
type class struct {
	key      uint32
	priority uint8
}

// Sum adds up reports by model and priority. The result is sorted.
func Sum(reports ...[]Report) []Report {
	sums := map[class]rates{}
	for _, list := range reports {
		for _, report := range list {
			c := class{report.Key, report.Priority}
			sums[c] = sums[c].plus(report.rates())
		}
	}
	return reportsOf(sums)
}

// reportsOf returns the reports of rates by class, sorted.
func reportsOf(sums map[class]rates) []Report {
	var reports []Report
	for _, c := range slices.SortedFunc(maps.Keys(sums), func(a, b class) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.priority, b.priority))
	}) {
		sum := sums[c]
		reports = append(reports, Report{
			Key: c.key, Priority: c.priority, RequestsPerS: float32(sum.requests), PromptTokensPerS: float32(sum.promptTokens),
			OutputTokensPerS: float32(sum.allOutputTokens()),
		})
	}
	return reports
}

func (r Report) rates() rates {
	converted := rates{requests: float64(r.RequestsPerS), promptTokens: float64(r.PromptTokensPerS), outputTokens: float64(r.OutputTokensPerS)}
	if r.OutputTokensPerS > 0 {
		converted.withOutput = converted.requests
	}
	return converted
}

// keyOf returns the key of a model in reports.
func keyOf(service, model string) uint32 {
	return uint32(xxhash.Sum64String(service + "\x00" + model))
}
