package keyed

// StoreUnreachableError reports that a call was not sent to the store because the store
// has not answered this daemon for some time.
type StoreUnreachableError struct{}

// Error implements error.
func (*StoreUnreachableError) Error() string { return "the store does not answer this daemon" }
