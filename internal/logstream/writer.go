package logstream

import (
	"context"
	"sync"

	"github.com/plantainmux/plantainmux/internal/infra"
)

const (
	maxBatch      = 256     // records of one append
	maxBatchBytes = 1 << 20 // of one append, unless one record alone is larger
)

// writer appends proposals in batches, one append at a time. It repeats a
// batch under the same sequence numbers until it was read back.
type writer struct {
	log      infra.Log
	stream   string
	options  Options
	counters counters
	wake     chan struct{}
	applied  func() infra.Offset // last offset that was applied
	answered func()              // notes that the log took an append
	refused  func() error        // why nothing may be appended; nil when it may

	mu       sync.Mutex
	seq      uint64
	settled  uint64 // highest own sequence number read back
	fenceDue bool   // an abandoned record may still arrive
	queue    []*proposal
	pending  []*proposal // by sequence number
}

func newWriter(log infra.Log, stream string, options Options, counters counters) *writer {
	return &writer{
		log:      log,
		stream:   stream,
		options:  options,
		counters: counters,
		wake:     make(chan struct{}, 1),
	}
}

func (w *writer) enqueue(kind Kind, body []byte) *proposal {
	p := &proposal{kind: kind, body: body, reply: make(chan verdict, 1)}
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
	case v := <-p.reply:
		return v.receipt, v.err
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
	case v := <-p.reply:
		return v.receipt, v.err
	default:
	}
	p.gone = true
	return Receipt{}, &ProposalError{Stream: w.stream, Sent: p.sent, Err: context.Cause(ctx)}
}

// settle delivers the verdict on an own record that was read back. Own records
// before it that were not read back never take effect.
func (w *writer) settle(seq uint64, receipt Receipt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settled = max(w.settled, seq)
	for len(w.pending) > 0 && w.pending[0].seq <= seq {
		p := w.pending[0]
		w.pending = w.pending[1:]
		if p.seq == seq {
			p.reply <- verdict{receipt: receipt}
			continue
		}
		p.reply <- verdict{err: &ProposalError{Stream: w.stream, Err: &FencedError{Seq: p.seq, By: seq}}}
	}
}

// skip ends the proposals whose records a snapshot covers.
func (w *writer) skip(seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settled = max(w.settled, seq)
	for len(w.pending) > 0 && w.pending[0].seq <= seq {
		p := w.pending[0]
		w.pending = w.pending[1:]
		p.reply <- verdict{err: &ProposalError{Stream: w.stream, Sent: true, Err: &SkippedError{Seq: p.seq}}}
	}
}

// isPending reports whether a proposal, which may be nil, has no verdict yet.
func (w *writer) isPending(p *proposal) bool {
	if p == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.seq == 0 || p.seq > w.settled
}

func (w *writer) run(ctx context.Context) {
	for {
		batch, err := w.takeBatch()
		if err != nil {
			w.options.Logger.Error("records not encoded", "stream", w.stream, "error", err)
			continue
		}
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
