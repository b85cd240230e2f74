package fakes

import (
	"cmp"
	"slices"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

func sortByKey(records []keyed.Record) {
	slices.SortFunc(records, func(a, b keyed.Record) int { return cmp.Compare(a.Key, b.Key) })
}
