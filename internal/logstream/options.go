package logstream

import (
	"log/slog"
	"time"

	"github.com/plantainmux/plantainmux/internal/metric"
)

// Options tune a stream.
type Options struct {
	Writer        string        // incarnation of the writer, new at each start
	PollWait      time.Duration // longest long poll
	SnapshotEvery int           // records between two checkpoints, of which each becomes a snapshot
	SnapshotAge   time.Duration // age of the newest snapshot at which another is due; well below the log's retention
	SnapshotCheck time.Duration // mean time between two looks for a due snapshot
	// SnapshotsApart keeps the snapshots in a stream of their own, which a
	// follower reads only when it starts. It is for folds that grow large.
	SnapshotsApart bool
	Logger         *slog.Logger
	Metrics        *metric.Set
	Now            func() time.Time
	// OnApply is called after each batch of applied records, without locks held.
	OnApply func()
}

// Defaults of the options.
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
