package logstream

import (
	"context"
	"sync"

	"github.com/plantainmux/plantainmux/internal/infra"
)

const (
	maxBatchRecords = 256     // records in one append
	maxBatchBytes   = 1 << 20 // bytes in one append; a single record may be larger
)

// writer appends proposals in batches, one append at a time. It retries a batch
// with the same sequence numbers until the log accepts it or it was read back.
type writer struct {
	log        infra.Log
	stream     string
	options    Options
	counters   counters
	wake       chan struct{}
	applied    func() infra.Offset // returns the last applied offset
	onAppended func()              // called after each successful append
	refused    func() error        // returns why appends are not allowed; nil when they are

	mu              sync.Mutex
	seq             uint64
	highestResolved uint64 // highest own sequence number that was read back or covered by a snapshot
	fenceDue        bool   // an abandoned record may still reach the log
	queue           []*proposal
	pending         []*proposal // without a result yet, in order of sequence number
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
	p := &proposal{kind: kind, body: body, reply: make(chan proposalResult, 1)}
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
	case result := <-p.reply:
		return result.receipt, result.err
	case <-ctx.Done():
		return w.abandon(ctx, p)
	}
}

// abandon cancels a proposal whose context ended. A proposal that was not sent
// never takes effect; one that was sent is fenced by the writer's next record.
func (w *writer) abandon(ctx context.Context, p *proposal) (Receipt, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case result := <-p.reply:
		return result.receipt, result.err
	default:
	}
	p.abandoned = true
	return Receipt{}, &ProposalError{Stream: w.stream, Sent: p.sent, Err: context.Cause(ctx)}
}

// resolve delivers the receipt for an own record that was read back. Earlier own
// records that were not read back are fenced and never take effect.
func (w *writer) resolve(seq uint64, receipt Receipt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highestResolved = max(w.highestResolved, seq)
	for len(w.pending) > 0 && w.pending[0].seq <= seq {
		p := w.pending[0]
		w.pending = w.pending[1:]
		if p.seq == seq {
			p.reply <- proposalResult{receipt: receipt}
			continue
		}
		p.reply <- proposalResult{err: &ProposalError{Stream: w.stream, Err: &FencedError{Seq: p.seq, By: seq}}}
	}
}

// resolveSkipped fails the proposals up to seq, whose records a snapshot covers.
func (w *writer) resolveSkipped(seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highestResolved = max(w.highestResolved, seq)
	for len(w.pending) > 0 && w.pending[0].seq <= seq {
		p := w.pending[0]
		w.pending = w.pending[1:]
		p.reply <- proposalResult{err: &ProposalError{Stream: w.stream, Sent: true, Err: &SkippedError{Seq: p.seq}}}
	}
}

// isPending reports whether a proposal has no result yet. It is false for nil.
func (w *writer) isPending(p *proposal) bool {
	if p == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.seq == 0 || p.seq > w.highestResolved
}

func (w *writer) run(ctx context.Context) {
	for {
		batch, err := w.takeBatch()
		if err != nil {
			w.options.Logger.Error("cannot encode records", "stream", w.stream, "error", err)
			continue
		}
		if len(batch) > 0 {
			w.appendUntilAccepted(ctx, batch)
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
