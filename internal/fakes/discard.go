package fakes

import "net/http"

// discard is a response writer whose answer is lost.
type discard struct {
	header http.Header
}

func newDiscard() *discard {
	return &discard{header: http.Header{}}
}

// Header implements http.ResponseWriter.
func (d *discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discard) WriteHeader(int) {}

// Flush implements http.Flusher.
func (d *discard) Flush() {}
