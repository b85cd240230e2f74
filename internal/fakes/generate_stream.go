package fakes

import (
	"net/http"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// stream sends the frames of an attempt. A closed connection does not cancel the
// attempt.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *attempt, request endpoint.GenerateRequest) {
	faults := e.forConnection(request.Attempt)
	if faults.CutBefore < 0 {
		e.cutConnection(request, faults)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	writer := &frameWriter{w: w, faults: faults}
	from := request.ResumeFrom
	for {
		frames, more := a.from(from)
		for _, frame := range frames {
			if !writer.write(frame) {
				flush(w)
				e.cutConnection(request, faults)
			}
			if frame.Done {
				return
			}
		}
		from += len(frames)
		flush(w)
		if len(frames) > 0 {
			continue
		}
		select {
		case <-more:
		case <-r.Context().Done():
			return
		}
	}
}

func flush(w http.ResponseWriter) {
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}

// cutConnection aborts a connection without an end marker.
func (e *Engine) cutConnection(request endpoint.GenerateRequest, faults StreamFaults) {
	if faults.Forget {
		e.forget(request.Attempt)
	}
	panic(http.ErrAbortHandler)
}
