package fakes

import "net/http"

// discardWriter is a response writer that discards the response.
type discardWriter struct {
	header http.Header
}

func newDiscardWriter() *discardWriter {
	return &discardWriter{header: http.Header{}}
}

// Header implements http.ResponseWriter.
func (d *discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (d *discardWriter) Flush() {}
