package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/heldbytes"
)

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
	s.attempt.cancel(nil)
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
