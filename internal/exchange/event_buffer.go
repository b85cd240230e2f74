package exchange

import (
	"bytes"
	"strconv"
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// maxEventBytes is the maximum size of one event: thousands of tokens.
const maxEventBytes = 256 << 10

// eventBuffer splits the bytes of a stream into complete events. The partial event
// that a broken stream leaves behind is never forwarded.
type eventBuffer struct {
	buffer   []byte
	lastID   string // ID of the last complete event
	resuming bool   // the next event is the first one of a stream that goes on with another answer
}

// add appends received bytes and returns the events that are now complete, nil if
// there are none. Later calls do not overwrite the result.
func (e *eventBuffer) add(data []byte) ([]byte, error) {
	// What was buffered holds no end of an event, but may end with its first byte. Searching all of it
	// for each read took seconds for an event without end.
	from := max(len(e.buffer)-len(eventEnd)+1, 0)
	e.buffer = append(e.buffer, data...)
	end := bytes.LastIndex(e.buffer[from:], eventEnd)
	if end < 0 && len(e.buffer) > maxEventBytes {
		return nil, &EventTooLargeError{Limit: maxEventBytes}
	}
	if end < 0 {
		return nil, nil
	}
	end += from
	complete := e.buffer[:end+len(eventEnd)]
	if err := e.checkResumed(complete); err != nil {
		return nil, err
	}
	previous := e.lastID
	if err := e.checkIDs(complete); err != nil {
		e.lastID = previous // none of them is forwarded, so that the stream resumes before the first one
		return nil, err
	}
	rest := e.buffer[end+len(eventEnd):]
	e.buffer = append([]byte(nil), rest...)
	return complete, nil
}

// hasPartial reports whether bytes of an incomplete event are buffered.
func (e *eventBuffer) hasPartial() bool { return len(e.buffer) > 0 }

// begin drops the incomplete event of a broken stream, as another answer follows. resuming states
// that the caller has events of the broken one.
func (e *eventBuffer) begin(resuming bool) { e.buffer, e.resuming = nil, resuming }

// checkResumed verifies that a resumed stream begins with an event that follows the last one.
func (e *eventBuffer) checkResumed(complete []byte) error {
	if !e.resuming {
		return nil
	}
	found, ok := beginsWithID(complete)
	if found && (!ok || e.lastID == "") {
		return &ResumedEventError{Last: e.lastID}
	}
	e.resuming = !found
	return nil
}

// checkIDs verifies that the IDs of complete events are consecutive.
func (e *eventBuffer) checkIDs(complete []byte) error {
	for line := range bytes.Lines(complete) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id := string(bytes.TrimSpace(value))
		if !follows(e.lastID, id) {
			return &EventOrderError{Last: e.lastID, Next: id}
		}
		e.lastID = id
	}
	return nil
}

// follows reports whether the event next may come directly after last. Numeric IDs
// must be consecutive; other IDs are not checked.
func follows(last, next string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	after, err := strconv.ParseInt(next, 10, 64)
	return err != nil || after == before+1
}
