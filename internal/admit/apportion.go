package admit

import (
	"cmp"
	"math"
	"slices"
)

// apportion rounds parts to whole numbers that add up to their sum, rounded down, by the
// largest remainder method. The rotation decides between equal remainders, so that the
// same index is not always rounded down.
func apportion(parts []float64, rotation int) []int {
	whole := make([]int, len(parts))
	order := make([]int, len(parts))
	sum, assigned := 0.0, 0
	for i, part := range parts {
		whole[i] = int(part)
		order[i] = i
		sum += part
		assigned += whole[i]
	}
	remainder := func(i int) float64 { return parts[i] - float64(whole[i]) }
	rotated := func(i int) int { return (i + rotation) % len(parts) }
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(remainder(b), remainder(a)), cmp.Compare(rotated(a), rotated(b)))
	})
	const rounding = 1e-6 // tolerance for a sum slightly below a whole number
	remaining := int(math.Floor(sum+rounding)) - assigned
	fractions := slices.Clone(order[:max(remaining, 0)])
	for _, i := range fractions {
		whole[i]++
	}
	return whole
}
