package dispatch

// class is a priority and a team.
type class struct {
	priority int
	team     string
}

// Accumulators turn an admitted fraction into admissions at equal distances, for each pair of
// priority and team: of a fraction of 0.8, exactly every fifth request is refused. The zero value is
// ready for use; it is not safe for concurrent use.
type Accumulators struct{ sums map[class]float64 }

// Admit reports whether the next request of a priority and team is among an admitted fraction.
func (a *Accumulators) Admit(priority int, team string, fraction float64) bool {
	if a.sums == nil {
		a.sums = map[class]float64{}
	}
	key := class{priority: priority, team: team}
	sum := a.sums[key] + min(max(fraction, 0), 1)
	if sum < 1 {
		a.sums[key] = sum
		return false
	}
	a.sums[key] = sum - 1
	return true
}
