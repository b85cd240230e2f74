package exchange

import (
	"bytes"
	"strconv"
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// events cuts the bytes of a stream into whole events. An event that a broken
// stream left unfinished is never passed on.
type events struct {
	buffer []byte
	last   string // ID of the last whole event
}

// add takes bytes as they came and returns the whole events among them, nil if
// none is whole yet. The result is valid until the next call.
func (e *events) add(data []byte) ([]byte, error) {
	e.buffer = append(e.buffer, data...)
	end := bytes.LastIndex(e.buffer, eventEnd)
	if end < 0 {
		return nil, nil
	}
	whole := e.buffer[:end+len(eventEnd)]
	if err := e.check(whole); err != nil {
		return nil, err
	}
	rest := e.buffer[end+len(eventEnd):]
	e.buffer = append([]byte(nil), rest...)
	return whole, nil
}

// unfinished reports whether bytes of an event are left.
func (e *events) unfinished() bool { return len(e.buffer) > 0 }

// restart forgets the unfinished event of a broken stream.
func (e *events) restart() { e.buffer = nil }

// check follows the IDs of whole events, which must rise.
func (e *events) check(whole []byte) error {
	for line := range bytes.Lines(whole) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id := string(bytes.TrimSpace(value))
		if !follows(e.last, id) {
			return &DisorderError{Last: e.last, Next: id}
		}
		e.last = id
	}
	return nil
}

// follows reports whether an event may come after another one. Events are
// numbered without gaps where their IDs are numbers.
func follows(last, next string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	after, err := strconv.ParseInt(next, 10, 64)
	return err != nil || after == before+1
}
