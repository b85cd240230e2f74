package peer

import (
	"context"
	"sync"
	"time"
)

const (
	softQueueFrames  = 256
	callQueueFrames  = 1024
	clockQueueFrames = 4 // the other side sends one at a time and waits for its answer
)

// sendQueue holds the encoded frames queued on one link. When the queue of soft
// state is full, its oldest frame is dropped; when the queue of calls is full,
// new frames are rejected or wait.
type sendQueue struct {
	calls    chan queuedFrame
	clock    chan []byte   // clock readings: they belong to no call, so a link with one queued may be idle
	flushNow chan struct{} // signals that queued soft state must be sent now

	mu       sync.Mutex
	soft     [][]byte
	oldestAt time.Time // when the oldest queued soft state was added
}

func newSendQueue() *sendQueue {
	return &sendQueue{
		calls:    make(chan queuedFrame, callQueueFrames),
		clock:    make(chan []byte, clockQueueFrames),
		flushNow: make(chan struct{}, 1),
	}
}

// pushSoft adds soft state, which is sent at the next flush or along with a
// call, and reports whether an older frame was dropped.
func (q *sendQueue) pushSoft(data []byte) (dropped bool) {
	q.mu.Lock()
	if len(q.soft) == 0 {
		q.oldestAt = time.Now()
	}
	if len(q.soft) == softQueueFrames {
		q.soft = q.soft[1:]
		dropped = true
	}
	q.soft = append(q.soft, data)
	q.mu.Unlock()
	return dropped
}

// flush requests that queued soft state is sent now.
func (q *sendQueue) flush() {
	select {
	case q.flushNow <- struct{}{}:
	default:
	}
}

// oldestAge returns the age of the oldest queued soft state, 0 if there is
// none.
func (q *sendQueue) oldestAge(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.soft) == 0 {
		return 0
	}
	return now.Sub(q.oldestAt)
}

// takeSoft removes and returns all soft state.
func (q *sendQueue) takeSoft() [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.soft
	q.soft = nil
	return taken
}

// tryPush adds a frame of a call, or fails if the queue is full.
func (q *sendQueue) tryPush(f queuedFrame) error {
	select {
	case q.calls <- f:
		return nil
	default:
		return &QueueFullError{}
	}
}

// pushClock adds a clock reading. It is dropped if some are waiting to be sent.
func (q *sendQueue) pushClock(data []byte) {
	select {
	case q.clock <- data:
	default:
	}
}

// push adds a frame of a call, and waits while the queue is full.
func (q *sendQueue) push(ctx context.Context, data []byte) error {
	select {
	case q.calls <- queuedFrame{data: data}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
