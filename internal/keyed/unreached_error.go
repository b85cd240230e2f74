package keyed

// UnreachedError says that the store has not answered this daemon for a while, so
// that it was not asked.
type UnreachedError struct{}

// Error implements error.
func (*UnreachedError) Error() string { return "the store does not answer this daemon" }
