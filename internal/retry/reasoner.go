package retry

// reasoner is an error that provides the reason of the retry.
type reasoner interface {
	error
	RetryReason() Reason
}
