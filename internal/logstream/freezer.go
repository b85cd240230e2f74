package logstream

// Freezer is implemented by a fold that can encode a point-in-time copy of its
// state while it applies further records. Other folds are encoded under the
// stream's lock.
type Freezer interface {
	// Freeze returns a function that encodes the state as of the call to Freeze.
	// Freeze must return quickly; the function may be called later and from
	// another goroutine.
	Freeze() func() ([]byte, error)
}
