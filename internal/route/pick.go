// Package route picks the group that runs a request.
package route

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/request"
	"github.com/plantainmux/plantainmux/internal/view"
)

// Pick returns the complete group with the least load that is not excluded.
func Pick(v *view.View, r *request.Request, excluded map[fleet.FencingNumber]bool) (*view.Serving, bool) {
	var best *view.Serving
	for _, group := range v.ForModel(r.Model, r.Adapter) {
		if excluded[group.Fencing] {
			continue
		}
		if best == nil || group.Load.InFlight()*best.Capacity < best.Load.InFlight()*group.Capacity {
			best = group
		}
	}
	return best, best != nil
}
