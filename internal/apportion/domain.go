package apportion

import (
	"cmp"
	"slices"
)

// Domain is a fabric domain whose groups may change.
type Domain struct {
	Name      string
	Groups    []Group        // that may be closed
	Unsettled []string       // models with a group that is being formed, repaired or dissolved
	Free      int            // endpoints in no group
	FreeFit   map[string]int // of those, the number that can serve a model without a load from the shared store
	Reserved  int            // free endpoints that are kept to repair groups
}

// closable returns the groups of a model that may make way for another one, those with the most
// members that can serve that first, and of equal ones those with the fewest requests in progress:
// each of these may have to be resumed elsewhere.
func (d Domain) closable(model, to string) []Group {
	var groups []Group
	for _, group := range d.Groups {
		if group.Model == model {
			groups = append(groups, group)
		}
	}
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Fit[to], a.Fit[to]), cmp.Compare(a.InProgress, b.InProgress), cmp.Compare(a.Name, b.Name))
	})
	return groups
}

// settled reports whether all groups of two models serve.
func (d Domain) settled(from, to string) bool {
	return !slices.Contains(d.Unsettled, from) && !slices.Contains(d.Unsettled, to)
}

// usableFree returns the number of free endpoints that may join a new group of a model.
func (d Domain) usableFree(model string) int {
	return max(min(d.FreeFit[model], d.Free-d.Reserved), 0)
}
