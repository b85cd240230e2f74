package watch

import (
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// remoteList is the last known list of another daemon: its observations of the
// VMs that it watches.
type remoteList struct {
	pollList
	fetching bool // a request for the full list is in progress
}

// apply merges a change into the list. It returns the changed items and the VMs
// that the other daemon no longer watches. at converts stamps of its clock. A
// change against another version than the stored one leaves the list as it is:
// the next digest shows the difference.
func (r *remoteList) apply(change changeMessage, at func(peer.Stamp) time.Time) (updated []listItem, removed []fleet.VMID) {
	for _, item := range change.Items {
		updated = append(updated, decodeItem(item, change.Stamp, at))
	}
	if change.Base == 0 {
		removed = r.missing(updated)
		r.set(slices.Clone(updated))
		return updated, removed
	}
	if change.Base != r.digest {
		return updated, change.Removed
	}
	r.merge(updated, change.Removed)
	return updated, change.Removed
}

func decodeItem(item reportItem, stamp peer.Stamp, at func(peer.Stamp) time.Time) listItem {
	result := listItem{vm: item.Report.VM}
	result.state.lastSuccess.Report = item.Report
	result.state.lastSuccess.Address = item.Address
	result.state.lastSuccess.At = at(stamp - item.Age)
	if item.Failed {
		result.state.failedAt = at(stamp - item.FailedAge)
	}
	return result
}

// missing returns the VMs of the list that are not in items.
func (r *remoteList) missing(items []listItem) []fleet.VMID {
	var missing []fleet.VMID
	for _, known := range r.items {
		if !slices.ContainsFunc(items, func(item listItem) bool { return item.vm == known.vm }) {
			missing = append(missing, known.vm)
		}
	}
	return missing
}

func (r *remoteList) set(items []listItem) {
	slices.SortFunc(items, compareItems)
	r.pollList = newPollList(items)
}

func (r *remoteList) merge(items []listItem, removed []fleet.VMID) {
	byVM := map[fleet.VMID]listItem{}
	for _, item := range r.items {
		byVM[item.vm] = item
	}
	for _, item := range items {
		byVM[item.vm] = item
	}
	for _, vm := range removed {
		delete(byVM, vm)
	}
	merged := make([]listItem, 0, len(byVM))
	for _, item := range byVM {
		merged = append(merged, item)
	}
	r.set(merged)
}

// refresh updates poll times and loads from a digest message. It returns false,
// and changes nothing, if the digest is not that of the stored list.
func (r *remoteList) refresh(message digestMessage, at func(peer.Stamp) time.Time) bool {
	if message.Digest != r.digest {
		return false
	}
	ages := make([]peer.Stamp, len(r.items))
	for index := range ages {
		ages[index] = message.Age
		r.items[index].state.lastSuccess.Report.Running = 0
		r.items[index].state.lastSuccess.Report.Waiting = 0
	}
	for i := 0; i+1 < len(message.Late); i += 2 {
		if index := int(message.Late[i]); index < len(ages) {
			ages[index] = peer.Stamp(message.Late[i+1])
		}
	}
	for i := 0; i+2 < len(message.Loads); i += 3 {
		if index := int(message.Loads[i]); index < len(ages) {
			r.items[index].state.lastSuccess.Report.Running = int(message.Loads[i+1])
			r.items[index].state.lastSuccess.Report.Waiting = int(message.Loads[i+2])
		}
	}
	for index := range r.items {
		r.items[index].state.recordUnchanged(at(message.Stamp - ages[index]))
	}
	return true
}
