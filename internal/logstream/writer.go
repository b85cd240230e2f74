package logstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/platform"
)

const (
	maxBatch         = 256 // records of one append
	minAppendBackoff = 50 * time.Millisecond
	maxAppendBackoff = 2 * time.Second
)

// writer appends proposals in batches, one append at a time. It repeats a
// batch under the same sequence numbers until it was read back.
type writer struct {
	log     platform.Log
	stream  string
	options Options
	wake    chan struct{}

	mu      sync.Mutex
	seq     uint64
	settled uint64 // highest own sequence number read back
	queue   []*proposal
	pending map[uint64]*proposal
}

func newWriter(log platform.Log, stream string, options Options) *writer {
	return &writer{
		log:     log,
		stream:  stream,
		options: options,
		wake:    make(chan struct{}, 1),
		pending: map[uint64]*proposal{},
	}
}

func (w *writer) enqueue(kind Kind, body []byte) *proposal {
	p := &proposal{kind: kind, body: body, reply: make(chan Receipt, 1)}
	w.mu.Lock()
	w.queue = append(w.queue, p)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return p
}

func (w *writer) propose(ctx context.Context, kind Kind, body []byte) (Receipt, error) {
	p := w.enqueue(kind, body)
	select {
	case receipt := <-p.reply:
		return receipt, nil
	case <-ctx.Done():
		return w.abandon(ctx, p)
	}
}

// abandon gives up on a proposal. One that was never sent is withdrawn; one
// that was is fenced by the writer's next record.
func (w *writer) abandon(ctx context.Context, p *proposal) (Receipt, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case receipt := <-p.reply:
		return receipt, nil
	default:
	}
	p.gone = true
	return Receipt{}, &ProposalError{Stream: w.stream, Sent: p.sent, Err: context.Cause(ctx)}
}

// settle delivers the verdict on an own record that was read back.
func (w *writer) settle(seq uint64, receipt Receipt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settled = max(w.settled, seq)
	if p, ok := w.pending[seq]; ok {
		delete(w.pending, seq)
		p.reply <- receipt
	}
}

func (w *writer) run(ctx context.Context) {
	for {
		batch := w.takeBatch()
		if len(batch) > 0 {
			w.appendUntilTaken(ctx, batch)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// takeBatch numbers the next proposals that are still wanted.
func (w *writer) takeBatch() []*proposal {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch []*proposal
	for len(w.queue) > 0 && len(batch) < maxBatch {
		p := w.queue[0]
		w.queue = w.queue[1:]
		if p.gone {
			continue
		}
		w.seq++
		p.seq = w.seq
		w.pending[p.seq] = p
		batch = append(batch, p)
	}
	return batch
}

func (w *writer) appendUntilTaken(ctx context.Context, batch []*proposal) {
	records, err := w.encode(batch)
	if err != nil {
		w.options.Logger.Error("records not encoded", "stream", w.stream, "error", err)
		return
	}
	backoff := minAppendBackoff
	for ctx.Err() == nil {
		if w.allSettled(batch) || !w.markSending(batch) {
			return
		}
		_, err := w.log.Append(ctx, w.stream, records)
		if err == nil {
			return
		}
		w.noteFailure(batch, err)
		sleep(ctx, delayAfter(err, backoff))
		backoff = min(2*backoff, maxAppendBackoff)
	}
}

func (w *writer) encode(batch []*proposal) ([][]byte, error) {
	records := make([][]byte, 0, len(batch))
	for _, p := range batch {
		entry := Entry{
			Writer: w.options.Writer,
			Seq:    p.seq,
			Millis: w.options.Now().UnixMilli(),
			Kind:   p.kind,
			Body:   p.body,
		}
		data, err := Marshal(entry)
		if err != nil {
			return nil, err
		}
		records = append(records, data)
	}
	return records, nil
}

// markSending marks a batch as possibly appended. It returns false when nobody
// waits for any of it.
func (w *writer) markSending(batch []*proposal) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := false
	for _, p := range batch {
		wanted = wanted || !p.gone
	}
	if !wanted {
		return false
	}
	for _, p := range batch {
		p.sent = true
	}
	return true
}

// noteFailure takes the mark back when the log proved that it appended nothing
// and no earlier append of the batch is in doubt.
func (w *writer) noteFailure(batch []*proposal, err error) {
	w.options.Logger.Warn("append failed", "stream", w.stream, "records", len(batch), "error", err)
	var unknown *platform.UnknownOutcomeError
	if errors.As(err, &unknown) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, p := range batch {
			p.doubtful = true
		}
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		p.sent = p.doubtful
	}
}

func (w *writer) allSettled(batch []*proposal) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settled >= batch[len(batch)-1].seq
}

// delayAfter returns how long to wait after a failed append, with full jitter.
func delayAfter(err error, backoff time.Duration) time.Duration {
	var limited *platform.RateLimitedError
	if errors.As(err, &limited) {
		return limited.RetryAfter + rand.N(backoff)
	}
	return rand.N(backoff)
}
