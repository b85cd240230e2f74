package watch

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// ownList is what a daemon tells its peers: its opinions on the VMs that it
// watches, sorted by VM.
type ownList struct {
	items  []ownItem
	digest uint64
}

func newOwnList(items []ownItem) ownList {
	return ownList{items: items, digest: digestOf(items)}
}

// digestOf is a hash of all that the list says, but for time and load. It is
// never zero.
func digestOf(items []ownItem) uint64 {
	hash := xxhash.New()
	for _, item := range items {
		writeContent(hash, item.opinion)
	}
	return hash.Sum64() | 1
}

func writeContent(hash *xxhash.Digest, o opinion) {
	report := o.seen.Report
	words := []string{
		string(report.VM), o.seen.Address, string(report.Boot), string(report.State),
		string(report.Model), report.Version,
	}
	for _, word := range append(words, report.Adapters...) {
		_, _ = hash.WriteString(word)
		_, _ = hash.Write([]byte{0})
	}
	failing := byte(0)
	if o.failing() {
		failing = 1
	}
	number := binary.LittleEndian.AppendUint64([]byte{failing}, uint64(report.Group))
	_, _ = hash.Write(number)
}

// changeFrom returns what differs from an older list.
func (l ownList) changeFrom(old ownList, stamp peer.Stamp, stampAt func(time.Time) peer.Stamp) reports {
	change := reports{Stamp: stamp, Base: old.digest, Digest: l.digest}
	before := map[fleet.VMID]opinion{}
	for _, item := range old.items {
		before[item.vm] = item.opinion
	}
	for _, item := range l.items {
		known, ok := before[item.vm]
		delete(before, item.vm)
		if !ok || !sameContent(known, item.opinion) {
			change.Items = append(change.Items, encodeItem(item.opinion, stamp, stampAt))
		}
	}
	for vm := range before {
		change.Removed = append(change.Removed, vm)
	}
	slices.Sort(change.Removed)
	return change
}

// sameContent compares what digestOf hashes.
func sameContent(a, b opinion) bool {
	x, y := &a.seen.Report, &b.seen.Report
	return x.VM == y.VM && a.seen.Address == b.seen.Address && x.Boot == y.Boot && x.State == y.State &&
		x.Model == y.Model && x.Version == y.Version && x.Group == y.Group &&
		slices.Equal(x.Adapters, y.Adapters) && a.failing() == b.failing()
}

func encodeItem(o opinion, stamp peer.Stamp, stampAt func(time.Time) peer.Stamp) reportItem {
	item := reportItem{Report: o.seen.Report, Address: o.seen.Address, Age: stamp - stampAt(o.seen.At)}
	if o.failing() {
		item.Failed = true
		item.FailedAge = stamp - stampAt(o.failedAt)
	}
	return item
}

// alive returns the message that repeats the list. Polls that began before
// round are late.
func (l ownList) alive(round time.Time, stamp peer.Stamp, stampAt func(time.Time) peer.Stamp) alive {
	message := alive{Stamp: stamp, Digest: l.digest}
	for place, item := range l.items {
		at := item.opinion.lastPollAt()
		age := stamp - stampAt(at)
		if at.Before(round) {
			message.Late = append(message.Late, uint32(place), uint32(age))
		} else {
			message.Age = max(message.Age, age)
		}
		report := item.opinion.seen.Report
		if report.Running > 0 || report.Waiting > 0 {
			message.Loads = append(message.Loads, uint32(place), uint32(report.Running), uint32(report.Waiting))
		}
	}
	return message
}
