package exchange

import "io"

// endedReader is the rest of a body whose last read returned an error.
type endedReader struct {
	err  error // nil: the body goes on
	rest io.Reader
}

// Read implements io.Reader.
func (e *endedReader) Read(into []byte) (int, error) {
	if e.err != nil {
		return 0, e.err
	}
	return e.rest.Read(into)
}
