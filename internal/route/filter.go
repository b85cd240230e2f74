package route

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/request"
	"github.com/plantainmux/plantainmux/internal/view"
)

// Filter returns the groups that may run a request: those that are proven to be
// complete at now, serve its model and adapter, and are not excluded.
func Filter(v *view.View, r *request.Request, excluded map[fleet.FencingNumber]bool, now time.Time) []*view.Serving {
	groups := make([]*view.Serving, 0, len(v.Groups))
	for _, group := range v.Groups {
		if group.Serves(r.Model, r.Adapter) && group.Proven(now) && !excluded[group.Fencing] {
			groups = append(groups, group)
		}
	}
	return groups
}
