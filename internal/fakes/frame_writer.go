package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// otherAttempt is the attempt of frames that are sent to the wrong caller.
const otherAttempt = "another-attempt"

// frameWriter sends the frames of one connection, with its faults.
type frameWriter struct {
	w      http.ResponseWriter
	faults StreamFaults
	sent   int
	held   *endpoint.Frame // the earlier frame of a pair that is reordered
}

// write sends a frame. It returns false when the connection ends before it.
func (f *frameWriter) write(frame endpoint.Frame) bool {
	if f.cuts(frame) {
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
	return f.release()
}

func (f *frameWriter) cuts(frame endpoint.Frame) bool {
	if f.faults.CutEach && f.sent > 0 {
		return true
	}
	return f.faults.CutBefore > 0 && frame.Index == f.faults.CutBefore
}

// release sends the earlier frame of a pair.
func (f *frameWriter) release() bool {
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
