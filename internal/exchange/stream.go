package exchange

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/heldbytes"
	"github.com/plantainmux/plantainmux/internal/placement"
)

const (
	// blockedWrite is how long a write lasts before another goroutine reads on: longer than a daemon
	// with a fifth of a core waits for its next time slice, far shorter than the seconds after which
	// endpoints cut off an answer that is not read.
	blockedWrite = 100 * time.Millisecond
	// maxWaitingEventBytes bounds the events of one stream that wait for the caller: some thousand
	// events, more than a whole answer of the usual length.
	maxWaitingEventBytes = 256 << 10
	eventBlockBytes      = 4 << 10
	// maxWriteBytes bounds one write to the caller, so that a caller that takes a large event slowly
	// is seen to take something.
	maxWriteBytes = 16 << 10
	// defaultSlowReaderTimeout is how long a caller may take nothing while its stream is not read. It
	// occupies a slot of its endpoint meanwhile.
	defaultSlowReaderTimeout = 10 * time.Second
)

// stream forwards the events of one attempt. One goroutine reads and writes, until a write to the
// caller blocks. From then on a second one reads what the endpoint sends, so that the endpoint does
// not cut the answer off, and the first one only writes.
type stream struct {
	run     *run
	ctx     context.Context // of the request
	attempt *attempt
	end     func() // ends the attempt at its endpoint; further calls have no effect
	answer  *Answer
	target  *placement.Target
	watch   *watchdog
	buffer  []byte
	last    time.Time // of the last event; by the goroutine that reads

	mu           sync.Mutex
	changed      sync.Cond
	writingSince time.Time // when the write of events that were just read began; zero: none in progress
	writingBytes int64
	readOnDone   chan struct{} // closed once the second goroutine has ended; nil: none
	blocks       [][]byte      // events that wait for the caller
	spare        []byte        // an empty block
	held         int64         // bytes counted for events that the caller has not taken
	fullSince    time.Time     // since when the answer is not read because of the caller; zero: it is read
	takenAt      time.Time     // when the caller last took something
	stopped      bool          // nothing more is written
	tooSlow      bool          // the caller was too slow, so that the write in progress was interrupted
	readErr      error         // that ended the reading of the second goroutine; io.EOF: the end of the answer
}

// forward forwards events as they arrive.
func (s *stream) forward() error {
	for {
		complete, readErr := s.read()
		if readErr != nil {
			s.end()
		}
		if len(complete) > 0 {
			s.beginWrite(int64(len(complete)), readErr != nil)
			err := s.run.forwardEvents(s.answer, complete, s.recordTaken)
			if s.endWrite() {
				return s.deliver(err)
			}
			if err != nil {
				return err
			}
		}
		if readErr != nil {
			return s.outcome(readErr)
		}
	}
}

// read returns the events that the next read of the answer completes, and the error that ends the
// answer: io.EOF or a BrokenError.
func (s *stream) read() ([]byte, error) {
	n, err := s.answer.Body.Read(s.buffer)
	if err != nil && err != io.EOF {
		err = brokenBody(err)
	}
	if n == 0 && err != io.EOF {
		return nil, err
	}
	now := time.Now()
	complete, addErr := s.add(s.buffer[:n], err == io.EOF)
	if addErr != nil {
		return nil, addErr
	}
	if len(complete) > 0 { // parts of an event are no sign of progress
		s.run.recordEvent(s.target, now, s.last)
		s.watch.recordEvent(now)
		s.last = now
	}
	return complete, err
}

// add returns the events that received bytes complete, unless another attempt has taken over.
func (s *stream) add(data []byte, last bool) (complete []byte, err error) {
	events := &s.run.events
	leads := s.run.race.output(func(from *resumePoint) bool {
		complete, err = events.add(data)
		if len(complete) > 0 && !from.begun {
			from.begun, from.contentType = true, s.answer.Header.Get(headerContentType)
		}
		from.lastID = events.lastID
		return len(complete) > 0 || last && err == nil && !events.hasPartial()
	})
	if !leads {
		return nil, brokenBody(context.Cause(s.attempt.ctx))
	}
	if err != nil {
		return nil, brokenStream(err)
	}
	return complete, nil
}

func (s *stream) outcome(readErr error) error {
	if readErr == io.EOF {
		return s.run.endStream(s.answer)
	}
	return readErr
}

// beginWrite records that events are written by the goroutine that has read them. If they are the
// last ones, nobody reads on.
func (s *stream) beginWrite(bytes int64, last bool) {
	if last {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writingSince, s.writingBytes = s.last, bytes
}

// endWrite records that the write is over. It reports whether another goroutine reads on.
func (s *stream) endWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writingSince = time.Time{}
	if s.readOnDone == nil {
		return false
	}
	s.release(s.writingBytes)
	return true
}

// recordTaken records that the caller has taken a part of a write.
func (s *stream) recordTaken() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takenAt = time.Now()
}

// check is called periodically while the answer is read. It reports whether the caller, rather than
// the endpoint, keeps the answer from being read.
func (s *stream) check(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.readOnDone == nil && s.writingSince.IsZero():
		return false
	case s.readOnDone == nil:
		if now.Sub(s.writingSince) >= blockedWrite {
			s.handOver()
		}
		return true
	case s.fullSince.IsZero():
		return false
	}
	s.changed.Broadcast() // other exchanges may have released what this one waits for
	since := s.fullSince
	if s.takenAt.After(since) {
		since = s.takenAt
	}
	if now.Sub(since) >= s.run.SlowReaderTimeout && !s.tooSlow {
		s.tooSlow = true
		s.run.sink.Interrupt()
	}
	return true
}

// handOver lets another goroutine read on. The caller holds mu.
func (s *stream) handOver() {
	s.run.Held.HoldAlways(heldbytes.Events, s.writingBytes)
	s.held = s.writingBytes
	s.readOnDone = make(chan struct{})
	s.run.Metrics.blockedWrites.Inc()
	go s.readOn()
}
