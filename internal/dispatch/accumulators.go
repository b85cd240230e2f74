package dispatch

import "math"

// firstSum is the sum with which a pair of priority and team begins: of a fraction of one half or
// more, its first request is admitted.
const firstSum = 0.5

// Accumulators turn an admitted fraction into admissions at equal distances, for each pair of
// priority and team: of a fraction of 0.8, every fifth request is refused. The zero value is ready
// for use; it is not safe for concurrent use.
type Accumulators struct{ sums map[class]float64 }

// Admit reports whether the next request of a priority and team is among an admitted fraction.
func (a *Accumulators) Admit(priority int, team string, fraction float64) bool {
	if a.sums == nil {
		a.sums = map[class]float64{}
	}
	if math.IsNaN(fraction) {
		return true
	}
	key := class{priority: priority, team: team}
	sum, known := a.sums[key]
	if !known {
		sum = firstSum
	}
	sum += min(max(fraction, 0), 1)
	admitted := sum >= 1
	if admitted {
		sum--
	}
	a.sums[key] = sum
	return admitted
}
