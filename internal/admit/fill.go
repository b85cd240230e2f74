package admit

// leastShare is the weight of a team without a share: it gets what others
// leave.
const leastShare = 1e-6

// fill divides capacity between teams: each gets what it demands up to its
// share, and what some leave is divided between the others in the same way.
func fill(capacity float64, shares, demands []float64) []float64 {
	given := make([]float64, len(demands))
	open := make([]bool, len(demands))
	for i := range open {
		open[i] = demands[i] > 0
	}
	for capacity > 0 {
		weights := 0.0
		for i := range open {
			if open[i] {
				weights += max(shares[i], leastShare)
			}
		}
		if weights == 0 {
			return given
		}
		settled := settle(capacity, weights, shares, demands, given, open)
		if settled == 0 {
			for i := range open {
				if open[i] {
					given[i] = capacity * max(shares[i], leastShare) / weights
				}
			}
			return given
		}
		capacity -= settled
	}
	return given
}

// settle gives the teams whose demand is within their part all they demand, and
// returns how much that is.
func settle(capacity, weights float64, shares, demands, given []float64, open []bool) float64 {
	settled := 0.0
	for i := range open {
		if open[i] && demands[i] <= capacity*max(shares[i], leastShare)/weights {
			given[i] = demands[i]
			open[i] = false
			settled += demands[i]
		}
	}
	return settled
}
