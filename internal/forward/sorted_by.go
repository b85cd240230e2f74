package forward

import (
	"cmp"
	"slices"
)

// sortedBy returns names in ascending order of a weight. Names of equal weight keep their order.
func sortedBy(names []string, weight func(string) int) []string {
	weights := make(map[string]int, len(names))
	for _, name := range names {
		weights[name] = weight(name)
	}
	sorted := slices.Clone(names)
	slices.SortStableFunc(sorted, func(a, b string) int { return cmp.Compare(weights[a], weights[b]) })
	return sorted
}
