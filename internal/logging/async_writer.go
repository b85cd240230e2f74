package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queueCapacity = 4096
	queueBytes    = 2 << 20               // lines may bear texts of callers
	batchDelay    = 50 * time.Millisecond // maximum time to collect a batch
	batchBytes    = 32 << 10              // batch size at which it is written early
)

// AsyncWriter buffers log lines and writes them in a separate goroutine, so
// that callers do not block if the output is not read. If the buffer is full,
// lines are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	waiting atomic.Int64 // bytes in lines
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer and starts its goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It copies the line and never blocks. It returns no
// error if the line is dropped.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.waiting.Add(size) > queueBytes {
		w.drop(size)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop(size)
	}
	return len(line), nil
}

func (w *AsyncWriter) drop(size int64) {
	w.waiting.Add(-size)
	w.dropped.Add(1)
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes the buffered lines and stops the goroutine. Write must not be
// called afterwards.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	reported := uint64(0)
	for line := range w.lines {
		batch := w.fillBatch(w.take(line))
		if dropped := w.dropped.Load(); dropped != reported {
			batch = append(batch, fmt.Sprintf(`{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped-reported)...)
			reported = dropped
		}
		_, _ = w.out.Write(batch) // there is no other output to report the error to
	}
}

// take counts a line as taken.
func (w *AsyncWriter) take(line []byte) []byte {
	w.waiting.Add(-int64(len(line)))
	return line
}

// fillBatch adds lines to a batch until it has batchBytes or batchDelay has
// passed, so that they are written with one call.
func (w *AsyncWriter) fillBatch(batch []byte) []byte {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < batchBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			batch = append(batch, w.take(line)...)
		case <-timer.C:
			return batch
		}
	}
	return batch
}
