package exchange

import "io"

// readAheadBody is the body of an answer whose beginning was read before.
type readAheadBody struct {
	io.Reader // the whole body
	rest      io.Closer
	release   func() // ends the count of what was read; nil: not counted
}

// Close implements io.Closer.
func (b *readAheadBody) Close() error {
	if b.release != nil {
		b.release()
	}
	return b.rest.Close()
}
