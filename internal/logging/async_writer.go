package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queuedLines = 4096
	gatherFor   = 50 * time.Millisecond // lines that are written at once
	gatherBytes = 32 << 10              // of such lines, at most
)

// AsyncWriter writes lines from a goroutine of its own, so that a log that is not
// read blocks nobody. Lines that find no room are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer that has started.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued. Nothing may be written afterwards.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	told := uint64(0)
	for line := range w.lines {
		batch := w.gather(line)
		if dropped := w.dropped.Load(); dropped != told {
			batch = append(batch, fmt.Sprintf(`{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped-told)...)
			told = dropped
		}
		_, _ = w.out.Write(batch) // there is nowhere else to tell it
	}
}

// gather waits a moment for more lines, to write them with one call.
func (w *AsyncWriter) gather(batch []byte) []byte {
	timer := time.NewTimer(gatherFor)
	defer timer.Stop()
	for len(batch) < gatherBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		case <-timer.C:
			return batch
		}
	}
	return batch
}
