package formation

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/demand"
)

// demand returns the smoothed demand by service and model.
func (r *Reconciler) demand(current *catalog.Catalog) map[string]map[string]demand.Total {
	if r.Demand == nil {
		return nil
	}
	services := map[string]map[string]demand.Total{}
	for name, service := range current.Services {
		if models := r.Demand(name); service.Grouped() && models != nil {
			services[name] = models
		}
	}
	return services
}

// evacuated returns when this daemon learnt of the evacuations in force, by data centre.
func (r *Reconciler) evacuated() map[string]time.Time {
	if r.Evacuations == nil {
		return nil
	}
	since := map[string]time.Time{}
	for _, inForce := range r.Evacuations() {
		since[inForce.DataCentre] = inForce.Since
	}
	return since
}

func (r *Reconciler) logShifts(plan Plan) {
	for _, shift := range plan.Shifts {
		if r.Shifted != nil {
			r.Shifted(shift)
		}
		r.Logger.Info("groups change their model to follow the demand", "service", shift.Service, "domain", shift.Domain, "closed", shift.Close, "formed", shift.Form,
			"from", shift.From, "from_demand", shift.FromDemand, "from_capacity", shift.FromCapacity, "from_utilisation", shift.FromBefore, "from_utilisation_after", shift.FromAfter,
			"to", shift.To, "to_demand", shift.ToDemand, "to_capacity", shift.ToCapacity, "to_utilisation", shift.ToBefore, "to_utilisation_after", shift.ToAfter,
			"in_progress", shift.InProgress, "evacuated", shift.Evacuation.InForce, "evacuated_ms", shift.Evacuation.Age.Milliseconds())
	}
}
