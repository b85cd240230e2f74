package fakes

import (
	"net/http"
	"time"
)

// heldWriter holds an answer back before its first byte.
type heldWriter struct {
	http.ResponseWriter
	held time.Duration
}

func holdBack(w http.ResponseWriter, held time.Duration) http.ResponseWriter {
	if held <= 0 {
		return w
	}
	return &heldWriter{ResponseWriter: w, held: held}
}

// WriteHeader implements http.ResponseWriter.
func (w *heldWriter) WriteHeader(status int) {
	time.Sleep(w.held)
	w.held = 0
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *heldWriter) Write(data []byte) (int, error) {
	time.Sleep(w.held)
	w.held = 0
	return w.ResponseWriter.Write(data)
}

// Flush implements http.Flusher.
func (w *heldWriter) Flush() {
	if flusher, ok := w.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}
