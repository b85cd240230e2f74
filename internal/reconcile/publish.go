package reconcile

import (
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/view"
)

// publish builds and publishes the current view. groupsKnown reports whether the
// groups were read from the log or a peer.
func (l *Loop) publish(in group.Input, groupsKnown bool) {
	current := l.Config()
	next := &view.View{
		Config:      current,
		Teams:       teamsByKey(current.Configuration),
		Services:    servicesByName(current.Configuration),
		GroupsKnown: groupsKnown,
		At:          in.Now,
	}
	for _, record := range in.Fold.Groups() {
		condition := group.Check(record, in.World, in.Now, in.Bounds.ReportBound)
		next.Status = append(next.Status, view.GroupStatus{
			Group:     record.Group,
			Condition: condition,
			Missing:   group.Missing(record, in.World, in.Now, in.Bounds.ReportBound),
		})
		if condition == group.Complete {
			next.Groups = append(next.Groups, l.serving(record, in))
		}
	}
	l.deleteReleasedLoads(in.Fold)
	l.Views.Publish(next)
	l.metrics.recordStatuses(next.Status)
}

func (l *Loop) serving(record *group.Record, in group.Input) *view.Serving {
	leader := record.Leader()
	observation := in.World.Observations[leader]
	load, ok := l.loads[record.Fencing]
	if !ok {
		load = &view.Load{}
		l.loads[record.Fencing] = load
	}
	address := observation.Address
	if address == "" {
		address = in.World.VMs[leader].Address
	}
	return &view.Serving{
		Group:         record.Group,
		LeaderAddress: address,
		ValidUntil:    group.ValidUntil(record, in.World, in.Bounds.ReportBound),
		Capacity:      capacityOf(in.Config, record.Model),
		Running:       observation.Report.Running,
		Waiting:       observation.Report.Waiting,
		Load:          load,
	}
}

func (l *Loop) deleteReleasedLoads(fold *group.Fold) {
	for fencing := range l.loads {
		if _, ok := fold.Groups()[fencing]; !ok {
			delete(l.loads, fencing)
		}
	}
}

func capacityOf(configuration config.Configuration, name fleet.ModelName) int {
	for _, model := range configuration.Models {
		if model.Name == name {
			return model.Requests
		}
	}
	return 1
}

func teamsByKey(configuration config.Configuration) map[string]config.Team {
	teams := map[string]config.Team{}
	for _, team := range configuration.Teams {
		for _, hash := range team.KeyHashes {
			teams[hash] = team
		}
	}
	return teams
}

func servicesByName(configuration config.Configuration) map[string]config.Service {
	services := map[string]config.Service{}
	for _, service := range configuration.Services {
		services[service.Name] = service
	}
	return services
}
