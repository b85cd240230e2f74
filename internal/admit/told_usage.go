package admit

import (
	"cmp"
	"slices"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// scarceWeight is how much more the changes of a scarce model count.
const scarceWeight = 16

// toldUsage is the own usage as it was told to the other daemons.
type toldUsage struct {
	numbers *usageNumbers
	usage   map[demandKey]TeamUsage
	passed  map[demandKey]int // updates that left a change out
}

func newToldUsage() *toldUsage {
	return &toldUsage{numbers: &usageNumbers{}, usage: map[demandKey]TeamUsage{}, passed: map[demandKey]int{}}
}

// next returns an update towards a usage, with room in bytes for changes, and
// whether it has any. Large changes and those of scarce models go first, and each
// one's turn comes.
func (t *toldUsage) next(usage map[demandKey]TeamUsage, scarce map[fleet.ModelName]bool, numbers *usageNumbers, room int) (usageUpdate, bool) {
	if numbers != t.numbers {
		t.numbers = numbers
		numbers.prune(t.usage)
		clear(t.passed)
	}
	changed := t.changed(usage)
	weights := make(map[demandKey]int, len(changed))
	for _, key := range changed {
		weights[key] = t.weight(key, usage[key], scarce[key.model])
	}
	slices.SortFunc(changed, func(a, b demandKey) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(numbers.numbers[a], numbers.numbers[b]))
	})
	update := usageUpdate{Version: numbers.version}
	for _, key := range changed {
		longer := t.change(key, usage[key]).appendTo(update.Changes)
		if len(longer) > room {
			t.passed[key]++
			continue
		}
		update.Changes = longer
		t.note(key, usage[key])
	}
	update.Digest = digestOf(t.usage)
	return update, len(update.Changes) > 0
}

// changed returns the numbered pairs whose usage is not as told.
func (t *toldUsage) changed(usage map[demandKey]TeamUsage) []demandKey {
	var changed []demandKey
	for key, held := range usage {
		if _, numbered := t.numbers.numbers[key]; numbered && held != t.usage[key] {
			changed = append(changed, key)
		}
	}
	for key := range t.usage {
		if _, held := usage[key]; !held {
			changed = append(changed, key)
		}
	}
	return changed
}

// weight grows with a change and with the updates that left it out.
func (t *toldUsage) weight(key demandKey, now TeamUsage, scarce bool) int {
	told := t.usage[key]
	weight := (abs(now.Running-told.Running) + abs(now.Waiting-told.Waiting)) * (1 + t.passed[key])
	if scarce {
		weight *= scarceWeight
	}
	return weight
}

func (t *toldUsage) change(key demandKey, usage TeamUsage) usageChange {
	return usageChange{number: t.numbers.numbers[key], running: usage.Running, waiting: usage.Waiting}
}

// note takes a change as told.
func (t *toldUsage) note(key demandKey, usage TeamUsage) {
	delete(t.passed, key)
	if usage.Running+usage.Waiting == 0 {
		delete(t.usage, key)
		return
	}
	t.usage[key] = usage
}

// whole returns all that was told, by names, sorted.
func (t *toldUsage) whole() Usage {
	teams := map[fleet.ModelName][]TeamUsage{}
	for key, held := range t.usage {
		teams[key.model] = append(teams[key.model], held)
	}
	var whole Usage
	for model, held := range teams {
		slices.SortFunc(held, func(a, b TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
		whole.Models = append(whole.Models, ModelUsage{Model: model, Teams: held})
	}
	slices.SortFunc(whole.Models, func(a, b ModelUsage) int { return cmp.Compare(a.Model, b.Model) })
	return whole
}

func abs(n int) int { return max(n, -n) }
