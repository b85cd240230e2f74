package fakes

import (
	"net/http"
	"time"
)

// delayedWriter delays a response before its header and first byte.
type delayedWriter struct {
	http.ResponseWriter
	delay time.Duration
}

// delayAnswer returns a writer that delays the response, or w if delay is not
// positive.
func delayAnswer(w http.ResponseWriter, delay time.Duration) http.ResponseWriter {
	if delay <= 0 {
		return w
	}
	return &delayedWriter{ResponseWriter: w, delay: delay}
}

// WriteHeader implements http.ResponseWriter.
func (w *delayedWriter) WriteHeader(status int) {
	time.Sleep(w.delay)
	w.delay = 0
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *delayedWriter) Write(data []byte) (int, error) {
	time.Sleep(w.delay)
	w.delay = 0
	return w.ResponseWriter.Write(data)
}

// Flush implements http.Flusher.
func (w *delayedWriter) Flush() {
	if flusher, ok := w.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}
