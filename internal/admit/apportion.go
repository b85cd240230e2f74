package admit

import (
	"cmp"
	"math"
	"slices"
)

// apportion rounds parts to whole numbers that add up to their rounded-down
// sum, by the largest remainder. Equal remainders go by the rotation, so that
// no place loses each time.
func apportion(parts []float64, rotation int) []int {
	whole := make([]int, len(parts))
	order := make([]int, len(parts))
	sum, given := 0.0, 0
	for i, part := range parts {
		whole[i] = int(part)
		order[i] = i
		sum += part
		given += whole[i]
	}
	remainder := func(i int) float64 { return parts[i] - float64(whole[i]) }
	turn := func(i int) int { return (i + rotation) % len(parts) }
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(remainder(b), remainder(a)), cmp.Compare(turn(a), turn(b)))
	})
	const rounding = 1e-6 // a sum just below a whole number is that number
	rest := int(math.Floor(sum+rounding)) - given
	fractions := slices.Clone(order[:max(rest, 0)])
	for _, i := range fractions {
		whole[i]++
	}
	return whole
}
