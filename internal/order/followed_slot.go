package order

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// bootPollInterval is the interval at which confirm checks whether a stream has
// finished opening.
const bootPollInterval = 20 * time.Millisecond

// followedSlot is a slot whose stream this daemon follows.
type followedSlot struct {
	number   Slot
	stream   *logstream.Stream[*Fold]
	stop     context.CancelFunc
	changed  *broadcast
	breaker  breaker
	attempts atomic.Uint64

	uses      int       // guarded by Follower
	idleSince time.Time // guarded by Follower
}

func (f *followedSlot) find(key Key) (Record, bool) {
	var record Record
	var ok bool
	f.stream.Read(func(fold *Fold) { record, ok = fold.Find(key) })
	return record, ok
}

// awaitSettled waits until a key is settled or dropped, or ctx ends, and returns
// its latest record.
func (f *followedSlot) awaitSettled(ctx context.Context, key Key) (Record, bool) {
	for {
		changed := f.changed.wait()
		record, ok := f.find(key)
		if !ok || record.State.settled() {
			return record, ok
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return record, true
		}
	}
}

// confirm waits until the slot has applied every record that is in the log now.
func (f *followedSlot) confirm(ctx context.Context) error {
	for !f.stream.Booted() {
		if !wait.For(ctx, bootPollInterval) {
			return ctx.Err()
		}
	}
	return f.stream.Confirm(ctx)
}
