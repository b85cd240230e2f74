package watch

import (
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// remoteList is what another daemon last said of the VMs that it watches.
type remoteList struct {
	ownList
	asking bool // its whole list was asked for
}

// apply takes in a change. It returns the opinions to note and the VMs to
// forget. at maps the other daemon's clock.
func (r *remoteList) apply(change reports, at func(peer.Stamp) time.Time) (noted []ownItem, removed []fleet.VMID) {
	for _, item := range change.Items {
		noted = append(noted, decodeItem(item, change.Stamp, at))
	}
	if change.Base == 0 {
		removed = r.missing(noted)
		r.set(slices.Clone(noted))
		return noted, removed
	}
	if change.Base != r.digest {
		return noted, change.Removed
	}
	r.merge(noted, change.Removed)
	return noted, change.Removed
}

func decodeItem(item reportItem, stamp peer.Stamp, at func(peer.Stamp) time.Time) ownItem {
	result := ownItem{vm: item.Report.VM}
	result.opinion.seen.Report = item.Report
	result.opinion.seen.Address = item.Address
	result.opinion.seen.At = at(stamp - item.Age)
	if item.Failed {
		result.opinion.failedAt = at(stamp - item.FailedAge)
	}
	return result
}

// missing returns the VMs of the list that are not in items.
func (r *remoteList) missing(items []ownItem) []fleet.VMID {
	var missing []fleet.VMID
	for _, known := range r.items {
		if !slices.ContainsFunc(items, func(item ownItem) bool { return item.vm == known.vm }) {
			missing = append(missing, known.vm)
		}
	}
	return missing
}

func (r *remoteList) set(items []ownItem) {
	slices.SortFunc(items, compareItems)
	r.ownList = newOwnList(items)
}

func (r *remoteList) merge(items []ownItem, removed []fleet.VMID) {
	byVM := map[fleet.VMID]ownItem{}
	for _, item := range r.items {
		byVM[item.vm] = item
	}
	for _, item := range items {
		byVM[item.vm] = item
	}
	for _, vm := range removed {
		delete(byVM, vm)
	}
	merged := make([]ownItem, 0, len(byVM))
	for _, item := range byVM {
		merged = append(merged, item)
	}
	r.set(merged)
}

// refresh takes in that the list is unchanged and brings its opinions to now. It
// returns false when the list is not the one meant.
func (r *remoteList) refresh(message alive, at func(peer.Stamp) time.Time) bool {
	if message.Digest != r.digest {
		return false
	}
	ages := make([]peer.Stamp, len(r.items))
	for place := range ages {
		ages[place] = message.Age
		r.items[place].opinion.seen.Report.Running = 0
		r.items[place].opinion.seen.Report.Waiting = 0
	}
	for i := 0; i+1 < len(message.Late); i += 2 {
		if place := int(message.Late[i]); place < len(ages) {
			ages[place] = peer.Stamp(message.Late[i+1])
		}
	}
	for i := 0; i+2 < len(message.Loads); i += 3 {
		if place := int(message.Loads[i]); place < len(ages) {
			r.items[place].opinion.seen.Report.Running = int(message.Loads[i+1])
			r.items[place].opinion.seen.Report.Waiting = int(message.Loads[i+2])
		}
	}
	for place := range r.items {
		r.items[place].opinion.polled(at(message.Stamp - ages[place]))
	}
	return true
}
