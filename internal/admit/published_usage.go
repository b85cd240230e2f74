package admit

import (
	"cmp"
	"slices"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// scarceWeight is the factor by which changes of a scarce model are weighted.
const scarceWeight = 16

// publishedUsage is the usage of this daemon as published to the other daemons.
type publishedUsage struct {
	numbers   *usageNumbers
	usage     map[demandKey]TeamUsage
	deferrals map[demandKey]int // number of updates that left out the change of a key
}

func newPublishedUsage() *publishedUsage {
	return &publishedUsage{numbers: &usageNumbers{}, usage: map[demandKey]TeamUsage{}, deferrals: map[demandKey]int{}}
}

// nextUpdate returns an update towards usage, with up to room bytes of changes, and
// whether it has any. Large changes and changes of scarce models come first. The weight of
// a deferred change grows, so that every change is sent eventually.
func (p *publishedUsage) nextUpdate(usage map[demandKey]TeamUsage, scarce map[fleet.ModelName]bool, numbers *usageNumbers, room int) (usageUpdate, bool) {
	if numbers != p.numbers {
		p.numbers = numbers
		numbers.prune(p.usage)
		clear(p.deferrals)
	}
	changed := p.changedKeys(usage)
	weights := make(map[demandKey]int, len(changed))
	for _, key := range changed {
		weights[key] = p.weight(key, usage[key], scarce[key.model])
	}
	slices.SortFunc(changed, func(a, b demandKey) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(numbers.numbers[a], numbers.numbers[b]))
	})
	update := usageUpdate{Version: numbers.version}
	for _, key := range changed {
		extended := p.change(key, usage[key]).appendTo(update.Changes)
		if len(extended) > room {
			p.deferrals[key]++
			continue
		}
		update.Changes = extended
		p.record(key, usage[key])
	}
	update.Digest = digestOf(p.usage)
	return update, len(update.Changes) > 0
}

// changedKeys returns the numbered keys whose usage differs from the published one.
func (p *publishedUsage) changedKeys(usage map[demandKey]TeamUsage) []demandKey {
	var changed []demandKey
	for key, demand := range usage {
		if _, numbered := p.numbers.numbers[key]; numbered && demand != p.usage[key] {
			changed = append(changed, key)
		}
	}
	for key := range p.usage {
		if _, exists := usage[key]; !exists {
			changed = append(changed, key)
		}
	}
	return changed
}

// weight returns the priority of a change. It grows with the size of the change and with
// the number of updates that deferred it.
func (p *publishedUsage) weight(key demandKey, current TeamUsage, scarce bool) int {
	published := p.usage[key]
	weight := (abs(current.Running-published.Running) + abs(current.Waiting-published.Waiting)) * (1 + p.deferrals[key])
	if scarce {
		weight *= scarceWeight
	}
	return weight
}

func (p *publishedUsage) change(key demandKey, usage TeamUsage) usageChange {
	return usageChange{number: p.numbers.numbers[key], running: usage.Running, waiting: usage.Waiting}
}

// record marks a change as published.
func (p *publishedUsage) record(key demandKey, usage TeamUsage) {
	delete(p.deferrals, key)
	if usage.Running+usage.Waiting == 0 {
		delete(p.usage, key)
		return
	}
	p.usage[key] = usage
}

// snapshot returns the published usage by names, sorted.
func (p *publishedUsage) snapshot() Usage {
	teams := map[fleet.ModelName][]TeamUsage{}
	for key, demand := range p.usage {
		teams[key.model] = append(teams[key.model], demand)
	}
	var snapshot Usage
	for model, demands := range teams {
		slices.SortFunc(demands, func(a, b TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
		snapshot.Models = append(snapshot.Models, ModelUsage{Model: model, Teams: demands})
	}
	slices.SortFunc(snapshot.Models, func(a, b ModelUsage) int { return cmp.Compare(a.Model, b.Model) })
	return snapshot
}

func abs(n int) int { return max(n, -n) }
