package retry

// reasoner is an error that knows its own reason.
type reasoner interface {
	error
	RetryReason() Reason
}
