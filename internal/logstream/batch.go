package logstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	minAppendBackoff = 50 * time.Millisecond
	maxAppendBackoff = 2 * time.Second
)

// takeBatch assigns sequence numbers to the next queued proposals that were not
// abandoned, and encodes them. It appends a fence record when an abandoned
// record may still reach the log and the batch has no record to supersede it, or
// when the batch would end with a snapshot.
func (w *writer) takeBatch() ([]*proposal, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch []*proposal
	size := 0
	for len(w.queue) > 0 && len(batch) < maxBatchRecords && size < maxBatchBytes {
		p := w.queue[0]
		w.queue = w.queue[1:]
		if p.abandoned {
			continue
		}
		if err := w.assignSeq(p); err != nil {
			return nil, err
		}
		size += len(p.data)
		batch = append(batch, p)
	}
	fenceSatisfied := len(batch) > 0 || !w.fenceDue
	if fenceSatisfied && !endsWithSnapshot(batch) {
		w.fenceDue = false
		return batch, nil
	}
	fence := &proposal{kind: KindFence, reply: make(chan proposalResult, 1)}
	if err := w.assignSeq(fence); err != nil {
		return nil, err
	}
	w.counters.fences.Inc()
	w.fenceDue = false
	return append(batch, fence), nil
}

// endsWithSnapshot reports whether the last record of a batch is a snapshot,
// which is large. Followers read the last record of the stream again to verify
// it, so a small fence record is appended after a snapshot.
func endsWithSnapshot(batch []*proposal) bool {
	return len(batch) > 0 && batch[len(batch)-1].kind == KindSnapshot
}

// assignSeq assigns the next sequence number to a proposal and encodes it. Retries
// append the same bytes.
func (w *writer) assignSeq(p *proposal) error {
	w.seq++
	p.seq = w.seq
	data, err := Marshal(Entry{
		Writer: w.options.Writer,
		Seq:    p.seq,
		Millis: w.options.Now().UnixMilli(),
		Kind:   p.kind,
		Body:   p.body,
		Since:  w.applied(),
	})
	if err != nil {
		return err
	}
	p.data = data
	w.pending = append(w.pending, p)
	return nil
}

// appendUntilAccepted retries the append of a batch with exponential backoff until
// the log accepts it, its records were read back, or all its proposals were
// abandoned.
func (w *writer) appendUntilAccepted(ctx context.Context, batch []*proposal) {
	backoff := minAppendBackoff
	for ctx.Err() == nil {
		var records [][]byte
		if batch, records = w.prepareAppend(batch, w.refused() == nil); len(batch) == 0 {
			return
		}
		if len(records) > 0 {
			_, err := w.log.Append(ctx, w.stream, records)
			if err == nil {
				w.counters.appends.Inc()
				w.onAppended()
				return
			}
			w.recordFailure(batch, err)
			wait.For(ctx, retryDelay(err, backoff))
		} else {
			wait.For(ctx, backoff)
		}
		backoff = min(2*backoff, maxAppendBackoff)
	}
}

// prepareAppend returns the proposals of a batch that still have to be appended.
// With send, it also marks them as sent and returns their encoded records. An
// abandoned proposal is dropped; when an earlier append of it may still reach the
// log, a fence becomes due.
func (w *writer) prepareAppend(batch []*proposal, send bool) (remaining []*proposal, records [][]byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		switch {
		case p.seq <= w.highestResolved:
		case p.abandoned:
			w.fenceDue = w.fenceDue || p.outcomeUnknown
		case !send:
			remaining = append(remaining, p)
		default:
			p.sent = true
			remaining = append(remaining, p)
			records = append(records, p.data)
		}
	}
	return remaining, records
}

// recordFailure counts a failed append. It clears the sent mark of the proposals
// when the error proves that nothing was appended and no earlier append of them
// had an unknown outcome.
func (w *writer) recordFailure(batch []*proposal, err error) {
	w.options.Logger.Warn("cannot append to log stream", "stream", w.stream, "records", len(batch), "error", err)
	var limited *infra.RateLimitedError
	var unavailable *infra.UnavailableError
	provedNotAppended := true
	switch {
	case errors.As(err, &limited):
		w.counters.limited.Inc()
	case errors.As(err, &unavailable):
		w.counters.failed.Inc()
	default:
		w.counters.unknown.Inc()
		provedNotAppended = false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		p.outcomeUnknown = p.outcomeUnknown || !provedNotAppended
		p.sent = p.outcomeUnknown
	}
}

// retryDelay returns the delay before the next try of a failed append, with full
// jitter.
func retryDelay(err error, backoff time.Duration) time.Duration {
	var limited *infra.RateLimitedError
	if errors.As(err, &limited) {
		return limited.RetryAfter + rand.N(backoff)
	}
	return rand.N(backoff)
}
