package peer

import (
	"context"
	"sync"
	"time"
)

const (
	softQueueFrames = 256
	callQueueFrames = 1024
)

// sendQueue holds the encoded frames that wait for one link. Soft state drops
// its oldest frame when full; calls are refused.
type sendQueue struct {
	calls chan []byte
	due   chan struct{} // what waits is to go now

	mu    sync.Mutex
	soft  [][]byte
	since time.Time // when the oldest soft state was added
}

func newSendQueue() *sendQueue {
	return &sendQueue{
		calls: make(chan []byte, callQueueFrames),
		due:   make(chan struct{}, 1),
	}
}

// pushSoft adds soft state, which waits for a flush or a call to go with, and
// reports whether an older frame was dropped.
func (q *sendQueue) pushSoft(data []byte) (dropped bool) {
	q.mu.Lock()
	if len(q.soft) == 0 {
		q.since = time.Now()
	}
	if len(q.soft) == softQueueFrames {
		q.soft = q.soft[1:]
		dropped = true
	}
	q.soft = append(q.soft, data)
	q.mu.Unlock()
	return dropped
}

// flush lets what waits go now.
func (q *sendQueue) flush() {
	select {
	case q.due <- struct{}{}:
	default:
	}
}

// oldestAge returns how long soft state has waited, 0 when there is none.
func (q *sendQueue) oldestAge(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.soft) == 0 {
		return 0
	}
	return now.Sub(q.since)
}

// takeSoft removes all soft state.
func (q *sendQueue) takeSoft() [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.soft
	q.soft = nil
	return taken
}

// tryPush adds a frame of a call, or fails when the queue is full.
func (q *sendQueue) tryPush(data []byte) error {
	select {
	case q.calls <- data:
		return nil
	default:
		return &QueueFullError{}
	}
}

// push adds a frame of a call, waiting for room.
func (q *sendQueue) push(ctx context.Context, data []byte) error {
	select {
	case q.calls <- data:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
