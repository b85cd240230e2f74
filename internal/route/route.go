// Package route picks the group that runs a request, in four stages: filter,
// score, count the cached blocks, and pick.
package route

import (
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/request"
	"github.com/plantainmux/plantainmux/internal/view"
)

// Pick returns the best group for a request that is not excluded, false if there is
// none.
func Pick(v *view.View, r *request.Request, excluded map[fleet.FencingNumber]bool) (*view.Serving, bool) {
	now := time.Now()
	scored := Score(Filter(v, r, excluded, now), v.At, now)
	SetCachedBlocks(scored, r.Blocks, now)
	return PickBest(scored, r.Prefix)
}

// Candidates returns the groups that may run a request, ordered by expected wait.
func Candidates(v *view.View, r *request.Request, excluded map[fleet.FencingNumber]bool) []*view.Serving {
	now := time.Now()
	scored := Score(Filter(v, r, excluded, now), v.At, now)
	slices.SortFunc(scored, compare)
	groups := make([]*view.Serving, 0, len(scored))
	for _, s := range scored {
		groups = append(groups, s.Group)
	}
	return groups
}
