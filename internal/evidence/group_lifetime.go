package evidence

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// groupLife is when a group may have worked. Times are Unix milliseconds; zero
// is not yet.
type groupLife struct {
	readyAt int64
	endedAt int64 // of its drain, or else of its release
}

// groupReplay folds a group stream anew.
type groupReplay struct {
	fold  *group.Fold
	lives map[fleet.FencingNumber]groupLife
	// partial says that records before the first one were not retained, so
	// that some groups are not known.
	partial  bool
	accepted uint64
	void     uint64
}

func replayGroups(h History) *groupReplay {
	r := &groupReplay{fold: group.NewFold(), lives: map[fleet.FencingNumber]groupLife{}, partial: !h.whole()}
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
		r.lives[ready.Group] = groupLife{readyAt: item.Entry.Millis}
	case group.KindDrain:
		var drain group.Drain
		_ = logstream.Unmarshal(item.Entry.Body, &drain)
		r.end(drain.Group, item)
	case group.KindRelease:
		var release group.Release
		_ = logstream.Unmarshal(item.Entry.Body, &release)
		r.end(release.Group, item)
	}
}

// end notes the first record that ended a group's work.
func (r *groupReplay) end(fencing fleet.FencingNumber, item Item) {
	life := r.lives[fencing]
	if life.endedAt == 0 {
		life.endedAt = item.Entry.Millis
		r.lives[fencing] = life
	}
}
