package order

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// bootPoll is the time between two looks at a stream that is being opened.
const bootPoll = 20 * time.Millisecond

// followed is a slot whose stream this daemon follows.
type followed struct {
	slot     Slot
	stream   *logstream.Stream[*Fold]
	stop     context.CancelFunc
	changed  *broadcast
	breaker  breaker
	attempts atomic.Uint64

	uses      int       // guarded by Follower
	idleSince time.Time // guarded by Follower
}

func (f *followed) find(key Key) (Record, bool) {
	var record Record
	var ok bool
	f.stream.Read(func(fold *Fold) { record, ok = fold.Find(key) })
	return record, ok
}

// awaitSettled waits until a key is settled, or is gone, or ctx ends, and
// returns its latest record.
func (f *followed) awaitSettled(ctx context.Context, key Key) (Record, bool) {
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

// confirm reads the slot up to the log's end as of now.
func (f *followed) confirm(ctx context.Context) error {
	for !f.stream.Booted() {
		if !wait.For(ctx, bootPoll) {
			return ctx.Err()
		}
	}
	return f.stream.Confirm(ctx)
}
