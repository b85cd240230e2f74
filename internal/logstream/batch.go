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

// takeBatch numbers and encodes the next proposals that are still wanted. With
// none left, and an abandoned record that may still arrive, the batch is a
// fence.
func (w *writer) takeBatch() ([]*proposal, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch []*proposal
	size := 0
	for len(w.queue) > 0 && len(batch) < maxBatch && size < maxBatchBytes {
		p := w.queue[0]
		w.queue = w.queue[1:]
		if p.gone {
			continue
		}
		if err := w.number(p); err != nil {
			return nil, err
		}
		size += len(p.data)
		batch = append(batch, p)
	}
	fenced := len(batch) > 0 || !w.fenceDue
	if fenced && !endsWithSnapshot(batch) {
		w.fenceDue = false
		return batch, nil
	}
	fence := &proposal{kind: KindFence, reply: make(chan verdict, 1)}
	if err := w.number(fence); err != nil {
		return nil, err
	}
	w.counters.fences.Inc()
	w.fenceDue = false
	return append(batch, fence), nil
}

// endsWithSnapshot reports whether a batch would leave a snapshot, a large
// record, at the end of the stream. Followers read the last record again to
// check it, so a small fence is put after it.
func endsWithSnapshot(batch []*proposal) bool {
	return len(batch) > 0 && batch[len(batch)-1].kind == KindSnapshot
}

// number gives a proposal its sequence number and its one encoded form.
func (w *writer) number(p *proposal) error {
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

// appendUntilTaken repeats a batch until the log took it, it was read back, or
// nobody waits for it.
func (w *writer) appendUntilTaken(ctx context.Context, batch []*proposal) {
	backoff := minAppendBackoff
	for ctx.Err() == nil {
		var records [][]byte
		if batch, records = w.prepare(batch, w.refused() == nil); len(batch) == 0 {
			return
		}
		if len(records) > 0 {
			_, err := w.log.Append(ctx, w.stream, records)
			if err == nil {
				w.counters.appends.Inc()
				w.answered()
				return
			}
			w.noteFailure(batch, err)
			wait.For(ctx, delayAfter(err, backoff))
		} else {
			wait.For(ctx, backoff)
		}
		backoff = min(2*backoff, maxAppendBackoff)
	}
}

// prepare returns the proposals of a batch that still have to be appended and,
// when they may be sent, marks them as sent and returns their records. An
// abandoned proposal is dropped, and fenced when an append of it may still
// arrive.
func (w *writer) prepare(batch []*proposal, send bool) (wanted []*proposal, records [][]byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		switch {
		case p.seq <= w.settled:
		case p.gone:
			w.fenceDue = w.fenceDue || p.doubtful
		case !send:
			wanted = append(wanted, p)
		default:
			p.sent = true
			wanted = append(wanted, p)
			records = append(records, p.data)
		}
	}
	return wanted, records
}

// noteFailure takes the mark back when the log proved that it appended nothing
// and no earlier append of the batch is in doubt.
func (w *writer) noteFailure(batch []*proposal, err error) {
	w.options.Logger.Warn("append failed", "stream", w.stream, "records", len(batch), "error", err)
	var limited *infra.RateLimitedError
	var unavailable *infra.UnavailableError
	proved := true
	switch {
	case errors.As(err, &limited):
		w.counters.limited.Inc()
	case errors.As(err, &unavailable):
		w.counters.failed.Inc()
	default:
		w.counters.unknown.Inc()
		proved = false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		p.doubtful = p.doubtful || !proved
		p.sent = p.doubtful
	}
}

// delayAfter returns how long to wait after a failed append, with full jitter.
func delayAfter(err error, backoff time.Duration) time.Duration {
	var limited *infra.RateLimitedError
	if errors.As(err, &limited) {
		return limited.RetryAfter + rand.N(backoff)
	}
	return rand.N(backoff)
}
