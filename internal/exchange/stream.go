package exchange

import (
	"context"
	"io"
	"slices"
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
	run    *run
	ctx    context.Context         // of the request
	cancel context.CancelCauseFunc // of the attempt
	end    func()                  // ends the attempt at its endpoint; further calls have no effect
	answer *Answer
	target *placement.Target
	watch  *watchdog
	buffer []byte
	last   time.Time // of the last event; by the goroutine that reads

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
	if n == 0 {
		return nil, err
	}
	now := time.Now()
	complete, eventErr := s.run.events.add(s.buffer[:n])
	if eventErr != nil {
		return nil, brokenStream(eventErr)
	}
	if len(complete) > 0 { // parts of an event are no sign of progress
		s.run.recordEvent(s.target, now, s.last)
		s.watch.recordEvent(now)
		s.last = now
	}
	return complete, err
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

// readOn reads the answer to its end, as long as there is room for its events.
func (s *stream) readOn() {
	defer close(s.readOnDone)
	s.last = time.Now() // the blocked write is no gap of the endpoint's
	stop := context.AfterFunc(s.ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer stop()
	for {
		complete, err := s.read()
		if !s.enqueue(complete) {
			err = brokenBody(context.Cause(s.ctx))
		}
		if err != nil {
			s.end()
			s.mu.Lock()
			s.readErr = err
			s.changed.Broadcast()
			s.mu.Unlock()
			return
		}
	}
}

// enqueue adds events to those that wait for the caller, as soon as there is room. It returns false
// if the request ends first. If only the attempt ends, events that were read are kept, as another
// attempt goes on after them.
func (s *stream) enqueue(events []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(events) > 0 {
		if len(s.blocks) == 0 || len(s.blocks[len(s.blocks)-1]) == eventBlockBytes {
			if !s.waitForRoom() {
				return false
			}
			if s.spare == nil {
				s.spare = make([]byte, 0, eventBlockBytes)
			}
			s.blocks, s.spare = append(s.blocks, s.spare), nil
		}
		last := &s.blocks[len(s.blocks)-1]
		n := min(len(events), eventBlockBytes-len(*last))
		*last = append(*last, events[:n]...)
		events = events[n:]
		s.changed.Broadcast()
	}
	return true
}

// waitForRoom waits until a further block may be held, and counts it. It returns false if the
// request ends first. The caller holds mu.
func (s *stream) waitForRoom() bool {
	ended := func() bool { return s.stopped || s.ctx.Err() != nil }
	if !ended() && s.tryHold() {
		return true
	}
	s.fullSince, s.run.heldBack = time.Now(), true
	s.target.Meter.HoldBack(s.fullSince)
	defer func() { s.target.Meter.ReadOn(time.Now()) }()
	defer func() {
		s.fullSince, s.last = time.Time{}, time.Now() // the pause is no gap of the endpoint's
		s.watch.recordEvent(s.last)
	}()
	for !ended() {
		s.changed.Wait()
		if !ended() && s.tryHold() {
			return true
		}
	}
	return false
}

// tryHold counts a further block unless the exchange or all of them hold too much. One block is
// always held, so that the stream goes on whatever the others hold. The caller holds mu.
func (s *stream) tryHold() bool {
	if s.held == 0 {
		s.run.Held.HoldAlways(heldbytes.Events, eventBlockBytes)
	} else if s.held+eventBlockBytes > maxWaitingEventBytes || s.run.Held.Hold(heldbytes.Events, eventBlockBytes) != nil {
		return false
	}
	s.held += eventBlockBytes
	return true
}

// release counts bytes as taken. The caller holds mu.
func (s *stream) release(bytes int64) {
	s.run.Held.Release(heldbytes.Events, bytes)
	s.held -= bytes
	s.takenAt = time.Now()
	s.changed.Broadcast()
}

// deliver writes the events that another goroutine reads. err is the failure of the write that blocked.
func (s *stream) deliver(err error) error {
	for err == nil {
		block, readErr := s.next()
		if block == nil {
			<-s.readOnDone
			return s.outcome(readErr)
		}
		if writeErr := s.run.sink.Events(block); writeErr != nil {
			err = &CallerGoneError{Err: writeErr}
		}
		s.mu.Lock()
		s.spare = block[:0]
		s.release(eventBlockBytes)
		s.mu.Unlock()
	}
	s.mu.Lock()
	s.stopped = true
	s.changed.Broadcast()
	s.mu.Unlock()
	s.cancel(nil)
	<-s.readOnDone
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(s.held)
	if s.tooSlow {
		return &CallerGoneError{Err: &SlowReaderError{After: s.run.SlowReaderTimeout}}
	}
	return err
}

// next waits for the next block of events. It returns nil and the error that ended the answer once
// all blocks have been taken.
func (s *stream) next() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.blocks) == 0 && s.readErr == nil {
		s.changed.Wait()
	}
	if len(s.blocks) == 0 {
		return nil, s.readErr
	}
	block := s.blocks[0]
	s.blocks = slices.Delete(s.blocks, 0, 1)
	return block, nil
}
