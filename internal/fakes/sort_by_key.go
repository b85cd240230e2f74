package fakes

import (
	"cmp"
	"slices"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// sortByKey sorts records by key in place.
func sortByKey(records []keyed.Record) {
	slices.SortFunc(records, func(a, b keyed.Record) int { return cmp.Compare(a.Key, b.Key) })
}
