package logstream

import "fmt"

// ProposalError reports that the result of a proposal was not read back.
type ProposalError struct {
	Stream string
	Sent   bool // the record may be in the stream or may still reach it; when false, it never takes effect
	Err    error
}

// Error implements error.
func (e *ProposalError) Error() string {
	if e.Sent {
		return fmt.Sprintf("stream %s: proposal sent, no verdict: %v", e.Stream, e.Err)
	}
	return fmt.Sprintf("stream %s: proposal not sent: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *ProposalError) Unwrap() error { return e.Err }
