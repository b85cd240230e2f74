package evidence

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// groupLifetime is the period in which a group may be given work. Times are Unix
// milliseconds, or 0 when the group has not reached that point.
type groupLifetime struct {
	readyAt int64
	endedAt int64 // time of its drain, or of its release when it was not drained
}

// groupReplay is the result of replaying a group stream.
type groupReplay struct {
	fold      *group.Fold
	lifetimes map[fleet.FencingNumber]groupLifetime
	// partial reports that the first records of the stream have expired, so
	// that some groups are unknown.
	partial  bool
	accepted uint64
	void     uint64
}

func replayGroups(h History) *groupReplay {
	r := &groupReplay{fold: group.NewFold(), lifetimes: map[fleet.FencingNumber]groupLifetime{}, partial: !h.complete()}
	for _, item := range h.Items {
		r.apply(item)
	}
	return r
}

func (r *groupReplay) apply(item Item) {
	if item.Entry.Kind == logstream.KindSnapshot || item.Entry.Kind == logstream.KindFence {
		return
	}
	if err := r.fold.Apply(item.position(), item.Entry.Kind, item.Entry.Body); err != nil {
		r.void++
		return
	}
	r.accepted++
	switch item.Entry.Kind {
	case group.KindReady:
		var ready group.Ready
		_ = logstream.Unmarshal(item.Entry.Body, &ready)
		r.lifetimes[ready.Group] = groupLifetime{readyAt: item.Entry.Millis}
	case group.KindDrain:
		var drain group.Drain
		_ = logstream.Unmarshal(item.Entry.Body, &drain)
		r.recordEnd(drain.Group, item)
	case group.KindRelease:
		var release group.Release
		_ = logstream.Unmarshal(item.Entry.Body, &release)
		r.recordEnd(release.Group, item)
	}
}

// recordEnd stores the time of the first record that ended a group's work.
func (r *groupReplay) recordEnd(fencing fleet.FencingNumber, item Item) {
	lifetime := r.lifetimes[fencing]
	if lifetime.endedAt == 0 {
		lifetime.endedAt = item.Entry.Millis
		r.lifetimes[fencing] = lifetime
	}
}
