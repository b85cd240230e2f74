package dispatch

import "github.com/plantainmux/plantainmux/internal/catalog"

// Applies reports whether a request shows that dispatchers are of use for its model: operators rank
// the routes to the service, or the route has a latency target below the longest pass of the model, so that
// prompts that meet at a group by chance are late.
func Applies(service *catalog.Service, model string, route *catalog.Route) bool {
	if service.Performance == nil {
		return false
	}
	found := service.Model(model)
	if found == nil {
		return false
	}
	tight := route.Kind == catalog.Streaming && route.LatencyTarget > 0 && route.LatencyTarget < service.Performance.MaxPassDuration(found)
	return service.RanksRoutes || tight
}
