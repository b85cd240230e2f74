package exchange

import (
	"bytes"
	"context"
	"io"
)

// readAhead sends an attempt beside the main one and reads the first output that the caller lacks. With
// it the attempt takes over, unless the main one has gone on meanwhile.
func (a *attempt) readAhead(from resumePoint) {
	a.send()
	if a.err == nil {
		a.err = a.awaitOutput(from)
	}
	close(a.ahead)
	race := &a.run.race
	mine := false // the answer is forwarded, or its failure handled, by the goroutine of the request
	switch {
	case a.err != nil:
		mine = race.fail(a, withCause(a.ctx, a.err))
	case !a.answer.Succeeded():
		mine = race.fail(a, &BrokenError{Reason: ErrorStatus, Err: &StatusError{Status: a.answer.Status}})
	default:
		mine = race.offer(a)
	}
	if !mine {
		a.end()
	}
}

// awaitOutput reads the first output: the next event of a stream, or a complete body.
func (a *attempt) awaitOutput(from resumePoint) error {
	if a.streams() {
		return a.awaitEvent(from)
	}
	body, release, err := readAll(a.run.Held, a.answer.Body, a.run.BodyLimit)
	if err != nil {
		release()
		return brokenBuffer(err)
	}
	a.answer.Body = &readAheadBody{Reader: bytes.NewReader(body), rest: a.answer.Body, release: release}
	return nil
}

func (a *attempt) awaitEvent(from resumePoint) error {
	if from.begun {
		if err := checkResumes(a.answer, from.contentType); err != nil {
			return err
		}
	}
	events := eventBuffer{lastID: from.lastID}
	events.begin(from.begun)
	var read []byte
	chunk := make([]byte, readBufferBytes)
	for {
		n, err := a.answer.Body.Read(chunk)
		read = append(read, chunk[:n]...)
		complete, eventErr := events.add(chunk[:n])
		switch {
		case eventErr != nil:
			return brokenStream(eventErr)
		case events.lastID != from.lastID || !from.begun && len(complete) > 0, err == io.EOF && !events.hasPartial():
			a.answer.Body = &readAheadBody{Reader: io.MultiReader(bytes.NewReader(read), &endedReader{err: err, rest: a.answer.Body}), rest: a.answer.Body}
			return nil
		case err == io.EOF:
			return brokenBody(io.ErrUnexpectedEOF)
		case err != nil:
			return brokenBody(err)
		case len(read) > maxReadAhead:
			return brokenStream(&EventTooLargeError{Limit: maxReadAhead})
		case a.ctx.Err() != nil:
			return brokenBody(context.Cause(a.ctx))
		}
	}
}

// maxReadAhead bounds what is read before the first event that the caller lacks: comments and the event.
const maxReadAhead = 2 * maxEventBytes
