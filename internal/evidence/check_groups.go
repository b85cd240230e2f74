package evidence

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// checkGroupsComplete checks that groups were given work only between the times at
// which they became ready and were drained or released.
func checkGroupsComplete(records Records, digests []digestItem, bounds Bounds) *Finding {
	f := newFinding(
		GroupsComplete,
		"a member that failed and recovered between two reports without being detected by any daemon",
	)
	replays := map[fleet.DataCentre]*groupReplay{}
	for dataCentre, history := range records.Groups {
		replays[dataCentre] = replayGroups(history)
	}
	var uses, attempts uint64
	for _, digest := range digests {
		replay, ok := replays[digest.DataCentre]
		if !ok {
			continue
		}
		for _, fencing := range sortedKeys(digest.Groups) {
			use := digest.Groups[fencing]
			uses++
			attempts += use.Attempts
			if text := checkUse(replay, fencing, use, bounds); text != "" {
				f.breach(digest.stream, digest.item, fmt.Sprintf("daemon %s: %s", digest.Daemon, text))
			}
		}
	}
	f.checked("groups at work, by daemon and minute", uses)
	f.checked("attempts", attempts)
	f.noteExpired(records)
	return f
}

// checkUse returns a description of a breach by the work given to a group, or "".
func checkUse(replay *groupReplay, fencing fleet.FencingNumber, use GroupUse, bounds Bounds) string {
	lifetime, known := replay.lifetimes[fencing]
	if !known {
		if replay.partial {
			return ""
		}
		return fmt.Sprintf("group %d was given work but was never recorded as ready", fencing)
	}
	skew := bounds.ClockSkew.Milliseconds()
	if use.First < lifetime.readyAt-skew {
		return fmt.Sprintf("group %d was given work %d ms before it was ready", fencing, lifetime.readyAt-use.First)
	}
	if lifetime.endedAt != 0 && use.Last > lifetime.endedAt+skew+bounds.ViewStaleness.Milliseconds() {
		return fmt.Sprintf("group %d was given work %d ms after its drain or release", fencing, use.Last-lifetime.endedAt)
	}
	return ""
}

func (f *Finding) noteExpired(records Records) {
	for _, dataCentre := range sortedKeys(records.Groups) {
		if history := records.Groups[dataCentre]; !history.complete() {
			f.NotKnown = append(f.NotKnown, fmt.Sprintf("records of %s before offset %d have expired", history.Stream, history.Oldest))
		}
	}
}

// checkVMsExclusive replays the group streams and looks for a VM that belongs to
// two groups, in the resulting state and in every recorded snapshot.
func checkVMsExclusive(records Records) *Finding {
	f := newFinding(VMsExclusive, "what an endpoint that ignores fencing numbers did with a delayed order")
	var accepted, void, snapshots uint64
	for _, dataCentre := range sortedKeys(records.Groups) {
		history := records.Groups[dataCentre]
		replay := replayGroups(history)
		accepted += replay.accepted
		void += replay.void
		f.checkFold(history.Stream, Item{Offset: history.Next - 1}, replay.fold)
		for _, item := range history.Items {
			if item.Entry.Kind != logstream.KindSnapshot {
				continue
			}
			snapshots++
			f.checkSnapshot(history.Stream, item)
		}
	}
	f.checked("accepted records", accepted)
	f.checked("void records", void)
	f.checked("snapshots", snapshots)
	f.noteExpired(records)
	return f
}

func (f *Finding) checkSnapshot(stream string, item Item) {
	_, state, err := logstream.DecodeSnapshot(item.Entry.Body)
	if err != nil {
		f.breach(stream, item, "cannot decode snapshot")
		return
	}
	fold := group.NewFold()
	if err := fold.Decode(state); err != nil {
		f.breach(stream, item, "cannot decode the state in the snapshot")
		return
	}
	f.checkFold(stream, item, fold)
}

func (f *Finding) checkFold(stream string, item Item, fold *group.Fold) {
	owner := map[fleet.VMID]fleet.FencingNumber{}
	for _, fencing := range sortedKeys(fold.Groups()) {
		for _, vm := range fold.Groups()[fencing].Members {
			if other, taken := owner[vm]; taken {
				f.breach(stream, item, fmt.Sprintf("VM %s belongs to groups %d and %d", vm, other, fencing))
			}
			owner[vm] = fencing
		}
	}
}
