package keyed

// UnreachedError reports that a call was not sent to the store because the store has not
// answered this daemon for some time.
type UnreachedError struct{}

// Error implements error.
func (*UnreachedError) Error() string { return "the store does not answer this daemon" }
