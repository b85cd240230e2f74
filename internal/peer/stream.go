package peer

// Stream is the stream of answers of a streamed call.
type Stream interface {
	// Next decodes the next answer. It returns io.EOF after the last answer of
	// a complete stream, and BrokenError or RemoteError if the stream failed.
	Next(answer any) error
	// Close ends the call and cancels the context of the remote handler.
	Close() error
}
