package placement

import (
	"strconv"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
	"github.com/plantainmux/plantainmux/internal/rhythm"
)

// Build returns the targets given by the registry and the ledger. A group is a
// target while its newest record is not ending and its head reports that it is open
// under that record: a head is opened only after every member was ready.
func Build(current *catalog.Catalog, endpoints *registry.Snapshot, groups *ledger.State, meters *rhythm.Meters) *View {
	view := &View{Plain: map[string][]*Target{}, Groups: map[string]map[string][]*Target{}}
	for name, service := range current.Services {
		if service.Grouped() {
			view.Groups[name] = map[string][]*Target{}
			continue
		}
		view.Plain[name] = plainTargets(endpoints.ByService[name], meters)
	}
	for _, record := range groups.Groups {
		models, ok := view.Groups[record.Service]
		if !ok {
			continue
		}
		if target := groupTarget(current.Services[record.Service], record, endpoints, meters); target != nil {
			models[record.Model] = append(models[record.Model], target)
		}
	}
	return view
}

func plainTargets(endpoints []*registry.Endpoint, meters *rhythm.Meters) []*Target {
	var targets []*Target
	for _, e := range endpoints {
		if !e.Usable() {
			continue
		}
		key := "endpoint/" + e.ID + "/" + strconv.FormatInt(e.Born, 10)
		targets = append(targets, &Target{Key: key, ID: e.ID, Address: e.Address, Zone: e.Zone, Slots: max(e.Slots, 1), Meter: meters.GetOrCreate(key)})
	}
	return targets
}

func groupTarget(service *catalog.Service, record *ledger.Record, endpoints *registry.Snapshot, meters *rhythm.Meters) *Target {
	head := endpoints.ByID[record.Head().ID]
	switch {
	case record.Ending || head == nil || !head.Usable():
		return nil
	case head.Group.State != registry.Open || !head.Group.In(record.Group, record.Epoch):
		return nil
	}
	slots, pass := head.Slots, 0
	if service.Pace != nil {
		slots, pass = service.Pace.Slots, service.Pace.PassTokens()
	}
	key := GroupKey(record.Group, record.Epoch)
	meter := meters.GetOrCreate(key)
	if model := service.Model(record.Model); model != nil && service.Pace != nil {
		meter.SetPass(service.Pace.LongestPass(model))
	}
	return &Target{
		Key: key, ID: head.ID, Address: head.Address, Zone: head.Zone, Slots: max(slots, 1), Pass: pass,
		Group: record.Group, Epoch: record.Epoch, Meter: meter,
	}
}

// GroupKey returns the key of the meter of a group at an epoch.
func GroupKey(group string, epoch uint64) string {
	return "group/" + group + "/" + strconv.FormatUint(epoch, 10)
}
