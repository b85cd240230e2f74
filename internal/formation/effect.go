package formation

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/registry"
)

const (
	// rejoinDuration is the time that a member takes to join a group of the model that it has
	// loaded. The platform's protocol states it.
	rejoinDuration = 200 * time.Millisecond
	// earlyLoadFactor is the share of the published time that a load takes before the first
	// request. The platform's protocol states it.
	earlyLoadFactor = 0.1
)

// joinDuration returns how long an endpoint takes to join a group of a model.
func (p *planner) joinDuration(e *registry.Endpoint, model *catalog.Model) time.Duration {
	if e.Model == model.Name {
		return rejoinDuration
	}
	load := model.LoadDuration
	if e.HasStaged(model.Name) {
		load = model.WarmLoadDuration
	}
	if p.in.BeforeTraffic {
		load = time.Duration(earlyLoadFactor * float64(load))
	}
	return max(load, rejoinDuration)
}

// openDuration returns how long a head takes to serve after the order to open.
func (p *planner) openDuration() time.Duration {
	if p.service.Performance == nil {
		return 0
	}
	return p.service.Performance.GroupStartup
}
