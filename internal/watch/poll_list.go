package watch

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// pollList is the list that a daemon publishes to its peers: the state of the VMs
// that it watches, sorted by VM.
type pollList struct {
	items  []listItem
	digest uint64
}

func newPollList(items []listItem) pollList {
	return pollList{items: items, digest: digestOf(items)}
}

// digestOf returns a hash of the list without poll times and loads. It is never
// zero, because a zero Base marks a full list.
func digestOf(items []listItem) uint64 {
	hash := xxhash.New()
	for _, item := range items {
		writeContent(hash, item.state)
	}
	return hash.Sum64() | 1
}

func writeContent(hash *xxhash.Digest, o pollState) {
	report := o.lastSuccess.Report
	fields := []string{
		string(report.VM), o.lastSuccess.Address, string(report.Boot), string(report.State),
		string(report.Model), report.Version,
	}
	for _, field := range append(fields, report.Adapters...) {
		_, _ = hash.WriteString(field)
		_, _ = hash.Write([]byte{0})
	}
	failing := byte(0)
	if o.failing() {
		failing = 1
	}
	number := binary.LittleEndian.AppendUint64([]byte{failing}, uint64(report.Group))
	_, _ = hash.Write(number)
}

// changeFrom returns the difference from an older list.
func (l pollList) changeFrom(old pollList, stamp peer.Stamp, stampAt func(time.Time) peer.Stamp) changeMessage {
	change := changeMessage{Stamp: stamp, Base: old.digest, Digest: l.digest}
	before := map[fleet.VMID]pollState{}
	for _, item := range old.items {
		before[item.vm] = item.state
	}
	for _, item := range l.items {
		previous, ok := before[item.vm]
		delete(before, item.vm)
		if !ok || !sameContent(previous, item.state) {
			change.Items = append(change.Items, encodeItem(item.state, stamp, stampAt))
		}
	}
	for vm := range before {
		change.Removed = append(change.Removed, vm)
	}
	slices.Sort(change.Removed)
	return change
}

// sameContent compares the fields that digestOf hashes.
func sameContent(a, b pollState) bool {
	x, y := &a.lastSuccess.Report, &b.lastSuccess.Report
	return x.VM == y.VM && a.lastSuccess.Address == b.lastSuccess.Address && x.Boot == y.Boot && x.State == y.State &&
		x.Model == y.Model && x.Version == y.Version && x.Group == y.Group &&
		slices.Equal(x.Adapters, y.Adapters) && a.failing() == b.failing()
}

func encodeItem(o pollState, stamp peer.Stamp, stampAt func(time.Time) peer.Stamp) reportItem {
	item := reportItem{Report: o.lastSuccess.Report, Address: o.lastSuccess.Address, Age: stamp - stampAt(o.lastSuccess.At)}
	if o.failing() {
		item.Failed = true
		item.FailedAge = stamp - stampAt(o.failedAt)
	}
	return item
}

// digestMessage returns the message that confirms the list as unchanged. Polls that
// began before round are listed as late.
func (l pollList) digestMessage(round time.Time, stamp peer.Stamp, stampAt func(time.Time) peer.Stamp) digestMessage {
	message := digestMessage{Stamp: stamp, Digest: l.digest}
	for index, item := range l.items {
		at := item.state.lastPollAt()
		age := stamp - stampAt(at)
		if at.Before(round) {
			message.Late = append(message.Late, uint32(index), uint32(age))
		} else {
			message.Age = max(message.Age, age)
		}
		report := item.state.lastSuccess.Report
		if report.Running > 0 || report.Waiting > 0 {
			message.Loads = append(message.Loads, uint32(index), uint32(report.Running), uint32(report.Waiting))
		}
	}
	return message
}
