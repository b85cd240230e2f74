package exchange

// StoppedError is the cause of ending a request since the daemon ends.
type StoppedError struct{}

// Error implements error.
func (e *StoppedError) Error() string { return "the daemon ends" }
