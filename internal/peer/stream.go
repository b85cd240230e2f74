package peer

// Stream yields the answers of a streamed call.
type Stream interface {
	// Next decodes the next answer. It returns io.EOF after the last one of a
	// whole stream, and BrokenError or RemoteError otherwise.
	Next(answer any) error
	// Close ends the call. The remote handler's context is cancelled.
	Close() error
}
