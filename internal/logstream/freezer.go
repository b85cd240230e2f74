package logstream

// Freezer is implemented by a fold whose state can be encoded while the fold
// goes on changing. Other folds are encoded while their stream waits.
type Freezer interface {
	// Freeze returns a function that encodes the state as of now. Freeze is
	// quick; the function may be called at any time, by another goroutine.
	Freeze() func() ([]byte, error)
}
