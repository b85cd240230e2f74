package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// otherAttempt is the attempt ID of the injected frames of another attempt.
const otherAttempt = "another-attempt"

// frameWriter sends the frames of an attempt on one connection and injects the
// stream faults.
type frameWriter struct {
	w      http.ResponseWriter
	faults StreamFaults
	sent   int
	held   *endpoint.Frame // the first frame of a reordered pair, sent after the second
}

// write sends a frame. It returns false if the connection is to be closed before
// this frame or the send fails.
func (f *frameWriter) write(frame endpoint.Frame) bool {
	if f.cutsBefore(frame) {
		return false
	}
	if f.faults.Cross && !f.send(endpoint.Frame{Attempt: otherAttempt, Index: frame.Index, Text: "not yours ", Done: frame.Done}) {
		return false
	}
	if f.faults.Duplicate && !f.send(frame) {
		return false
	}
	if f.faults.Reorder && f.held == nil && !frame.Done {
		f.held = &frame
		return true
	}
	if !f.send(frame) {
		return false
	}
	return f.sendHeld()
}

// cutsBefore reports whether the faults close the connection before a frame.
func (f *frameWriter) cutsBefore(frame endpoint.Frame) bool {
	if f.faults.CutEach && f.sent > 0 {
		return true
	}
	return f.faults.CutBefore > 0 && frame.Index == f.faults.CutBefore
}

// sendHeld sends the held frame of a reordered pair, if any.
func (f *frameWriter) sendHeld() bool {
	if f.held == nil {
		return true
	}
	held := *f.held
	f.held = nil
	return f.send(held)
}

func (f *frameWriter) send(frame endpoint.Frame) bool {
	data, err := json.Marshal(frame)
	if err != nil {
		return false
	}
	f.sent++
	_, err = fmt.Fprintf(f.w, "data: %s\n\n", data)
	return err == nil
}
