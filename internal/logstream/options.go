package logstream

import (
	"log/slog"
	"time"

	"github.com/plantainmux/plantainmux/internal/metric"
)

// Options configure a stream.
type Options struct {
	Writer        string        // identifies the writer's incarnation; differs after each restart
	PollWait      time.Duration // maximum duration of a long poll
	SnapshotEvery int           // number of records between two checkpoints; each checkpoint becomes a snapshot
	SnapshotAge   time.Duration // age of the newest snapshot after which a new one is written; must be well below the log's retention
	SnapshotCheck time.Duration // mean interval between checks whether a snapshot is due
	// SnapshotsApart stores the snapshots in a separate stream, which a follower
	// reads only when it starts. Use it for folds with a large state.
	SnapshotsApart bool
	Logger         *slog.Logger
	Metrics        *metric.Set
	Now            func() time.Time
	// OnApply is called without locks held after each batch of applied records.
	OnApply func()
}

// Default values of Options.
const (
	DefaultPollWait      = 10 * time.Second
	DefaultSnapshotEvery = 256
	DefaultSnapshotAge   = 10 * time.Minute
	DefaultSnapshotCheck = 5 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.PollWait, DefaultPollWait)
	setDefault(&o.SnapshotEvery, DefaultSnapshotEvery)
	setDefault(&o.SnapshotAge, DefaultSnapshotAge)
	setDefault(&o.SnapshotCheck, DefaultSnapshotCheck)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Metrics == nil {
		o.Metrics = metric.NewSet()
	}
	if o.OnApply == nil {
		o.OnApply = func() {}
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
