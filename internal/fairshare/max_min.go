package fairshare

// minShare is the weight of a team without a share: it gets only what the others do not
// use.
const minShare = 1e-6

// MaxMin divides capacity between teams by weighted max-min fairness: each team gets its
// demand up to its share, and capacity that it does not use is divided between the
// others in the same way.
func MaxMin(capacity float64, shares, demands []float64) []float64 {
	granted := make([]float64, len(demands))
	unsatisfied := make([]bool, len(demands))
	for i := range unsatisfied {
		unsatisfied[i] = demands[i] > 0
	}
	for capacity > 0 {
		weights := 0.0
		for i := range unsatisfied {
			if unsatisfied[i] {
				weights += max(shares[i], minShare)
			}
		}
		if weights == 0 {
			return granted
		}
		satisfied := satisfy(capacity, weights, shares, demands, granted, unsatisfied)
		if satisfied == 0 {
			for i := range unsatisfied {
				if unsatisfied[i] {
					granted[i] = capacity * max(shares[i], minShare) / weights
				}
			}
			return granted
		}
		capacity -= satisfied
	}
	return granted
}

// satisfy grants the full demand of the teams whose demand is within their part, and
// returns the sum of these demands.
func satisfy(capacity, weights float64, shares, demands, granted []float64, unsatisfied []bool) float64 {
	satisfied := 0.0
	for i := range unsatisfied {
		if unsatisfied[i] && demands[i] <= capacity*max(shares[i], minShare)/weights {
			granted[i] = demands[i]
			unsatisfied[i] = false
			satisfied += demands[i]
		}
	}
	return satisfied
}
