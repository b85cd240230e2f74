package evidence

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

// Recorder counts the activity of a daemon. Counting a response uses only atomics;
// counting an attempt or a refusal briefly holds a mutex.
type Recorder struct {
	daemon     fleet.DaemonID
	dataCentre fleet.DataCentre

	done, notRun, unknown     atomic.Uint64
	withoutEnd, foreignFrames atomic.Uint64
	ranNotRun                 atomic.Uint64
	leavingStarts             atomic.Uint64
	cutRequests               atomic.Uint64

	mu       sync.Mutex
	since    time.Time
	groups   map[fleet.FencingNumber]GroupUse
	versions []VersionInForce
	refusals map[string]uint64
	current  infra.Offset
}

// NewRecorder returns a recorder whose first digest starts at now.
func NewRecorder(daemon fleet.DaemonID, dataCentre fleet.DataCentre, now time.Time) *Recorder {
	return &Recorder{
		daemon:     daemon,
		dataCentre: dataCentre,
		since:      now,
		groups:     map[fleet.FencingNumber]GroupUse{},
		refusals:   map[string]uint64{},
	}
}

// AttemptStarted counts an attempt on a group.
func (r *Recorder) AttemptStarted(group fleet.FencingNumber, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	use, known := r.groups[group]
	if !known {
		use.First = now.UnixMilli()
	}
	use.Attempts++
	use.Last = now.UnixMilli()
	r.groups[group] = use
}

// Answered counts a complete response. ended reports whether its end marker was
// received.
func (r *Recorder) Answered(ended bool) {
	r.done.Add(1)
	if !ended {
		r.withoutEnd.Add(1)
	}
}

// RanNotRun counts a request refused as not run although an attempt may have run.
func (r *Recorder) RanNotRun() { r.ranNotRun.Add(1) }

// Refused counts a refusal.
func (r *Recorder) Refused(refused *refusal.Refusal) {
	if refused.Outcome == refusal.NotRun {
		r.notRun.Add(1)
	} else {
		r.unknown.Add(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[string(refused.Reason)]++
}

// ForeignFrame counts a dropped frame of another attempt.
func (r *Recorder) ForeignFrame() { r.foreignFrames.Add(1) }

// LeavingStart counts an attempt started on a leaving endpoint after the allowed
// delay.
func (r *Recorder) LeavingStart() { r.leavingStarts.Add(1) }

// RequestsCut counts requests aborted by a planned stop.
func (r *Recorder) RequestsCut(count int) { r.cutRequests.Add(uint64(count)) }

// InForce records a change of the configuration version in force.
func (r *Recorder) InForce(version infra.Offset, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version == r.current {
		return
	}
	r.current = version
	r.versions = append(r.versions, VersionInForce{Version: version, At: now.UnixMilli()})
}

// Take returns the digest of the activity since the last call and resets the
// counters.
func (r *Recorder) Take(now time.Time, final bool) Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	digest := Digest{
		Daemon:     r.daemon,
		DataCentre: r.dataCentre,
		From:       r.since.UnixMilli(),
		To:         now.UnixMilli(),
		Final:      final,
		Answers: Answers{
			Done:          r.done.Swap(0),
			NotRun:        r.notRun.Swap(0),
			Unknown:       r.unknown.Swap(0),
			WithoutEnd:    r.withoutEnd.Swap(0),
			ForeignFrames: r.foreignFrames.Swap(0),
			RanNotRun:     r.ranNotRun.Swap(0),
		},
		Groups:        maps.Clone(r.groups),
		LeavingStarts: r.leavingStarts.Swap(0),
		CutRequests:   r.cutRequests.Swap(0),
		Versions:      r.versions,
		Refusals:      maps.Clone(r.refusals),
	}
	r.since = now
	clear(r.groups)
	clear(r.refusals)
	r.versions = nil
	return digest
}
