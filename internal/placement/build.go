package placement

import (
	"math"
	"strconv"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// Build returns the targets given by the registry and the ledger. A group is a
// target while it is not being dissolved and its head reports that it is open under
// its newest record: a head is opened only after every member was ready. Targets of evacuated data
// centres are left out.
func Build(current *catalog.Catalog, endpoints *registry.Snapshot, groups *ledger.State, meters *targetstats.Meters, announced Announced, evacuated func(dataCentre string) bool) *View {
	view := &View{Plain: map[string][]*Target{}, Groups: map[string]map[string][]*Target{}}
	for name, service := range current.Services {
		if service.Grouped() {
			view.Groups[name] = map[string][]*Target{}
			continue
		}
		view.Plain[name] = plainTargets(endpoints.ByService[name], meters, announced)
	}
	for _, record := range groups.Groups {
		models, ok := view.Groups[record.Service]
		if !ok {
			continue
		}
		if target := groupTarget(current.Services[record.Service], record, endpoints, meters, announced); target != nil {
			models[record.Model] = append(models[record.Model], target)
		}
	}
	return view.withoutEvacuated(evacuated)
}

func plainTargets(endpoints []*registry.Endpoint, meters *targetstats.Meters, announced Announced) []*Target {
	var targets []*Target
	for _, e := range endpoints {
		if !e.Usable() {
			continue
		}
		key := "endpoint/" + e.ID + "/" + strconv.FormatInt(e.Incarnation, 10)
		targets = append(targets, &Target{
			Key: key, ID: e.ID, Incarnation: e.Incarnation, Address: e.Address, DataCentre: e.DataCentre, Slots: max(e.Slots, 1),
			Meter: meters.GetOrCreate(key), Hold: announced.Holds.GetOrCreate(e.ID, e.Incarnation), Limit: announced.Limits.GetOrCreate(e.ID, e.Incarnation),
		})
	}
	return targets
}

func groupTarget(service *catalog.Service, record *ledger.Record, endpoints *registry.Snapshot, meters *targetstats.Meters, announced Announced) *Target {
	head := endpoints.ByID[record.Head().ID]
	switch {
	case record.Dissolving || head == nil || !head.Usable():
		return nil
	case head.Group.State != registry.Open || !head.Group.In(record.Group, record.Epoch):
		return nil
	}
	slots, pass := head.Slots, 0
	if service.Performance != nil {
		slots, pass = service.Performance.Slots, service.Performance.MaxPrefillTokensPerPass()
	}
	key := GroupKey(record.Group, record.Epoch)
	meter := meters.GetOrCreate(key)
	if model := service.Model(record.Model); model != nil && service.Performance != nil {
		meter.SetMaxPass(service.Performance.MaxPassDuration(model))
	}
	target := &Target{
		Key: key, ID: head.ID, Incarnation: head.Incarnation, Address: head.Address, DataCentre: head.DataCentre, Slots: max(slots, 1), MaxPrefillTokensPerPass: pass,
		Group: record.Group, Epoch: record.Epoch, Slowdown: groupSlowdown(record, endpoints), Meter: meter, Hold: announced.Holds.GetOrCreate(head.ID, head.Incarnation), Limit: announced.Limits.GetOrCreate(head.ID, head.Incarnation),
	}
	if p := service.Performance; p != nil {
		target.MemoryTokens, target.MeanPromptTokens, target.MeanOutputTokens = p.MemoryTokens, p.MeanPromptTokens, p.MeanOutputTokens
	}
	return target
}

// maxSlowdown bounds the slowdown that an endpoint reports: at 100 a group is of no use, and greater
// values are faults of the report.
const maxSlowdown = 100

// groupSlowdown returns the greatest slowdown that the members of a group report, since a group runs
// at the pace of its slowest member. Members that have no entry, and values that are not finite or are
// below 1, count as normal.
func groupSlowdown(record *ledger.Record, endpoints *registry.Snapshot) float64 {
	greatest := 1.0
	for _, member := range record.Members {
		e := endpoints.ByID[member.ID]
		if e != nil && e.Slowdown > greatest && !math.IsInf(e.Slowdown, 0) {
			greatest = e.Slowdown
		}
	}
	return min(greatest, maxSlowdown)
}

// GroupKey returns the key of the meter of a group at an epoch.
func GroupKey(group string, epoch uint64) string {
	return "group/" + group + "/" + strconv.FormatUint(epoch, 10)
}
