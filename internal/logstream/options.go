package logstream

import (
	"log/slog"
	"time"
)

// Options tune a stream.
type Options struct {
	Writer        string        // incarnation of the writer, new at each start
	PollWait      time.Duration // longest long poll
	SnapshotEvery int           // records after which a snapshot is due
	Logger        *slog.Logger
	Now           func() time.Time
	// OnApply is called after each batch of applied records, without locks held.
	OnApply func()
}

const (
	defaultPollWait      = 10 * time.Second
	defaultSnapshotEvery = 256
)

func (o Options) withDefaults() Options {
	if o.PollWait == 0 {
		o.PollWait = defaultPollWait
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.OnApply == nil {
		o.OnApply = func() {}
	}
	return o
}
