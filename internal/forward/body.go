package forward

import (
	"errors"
	"io"

	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// body is the body of a forwarded response.
type body struct {
	via     string
	stream  peer.Stream
	pending []byte
	err     error // of all further reads
}

// next returns the next message that is not a failure.
func (b *body) next() (message, error) {
	var m message
	if err := b.stream.Next(&m); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return m, &outbound.PathLostError{Via: b.via, Err: err}
	}
	if m.Failure != nil {
		return m, m.Failure.err(b.via)
	}
	return m, nil
}

// Read implements io.Reader. It returns io.EOF only at the end of the endpoint's body.
func (b *body) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		m, err := b.next()
		switch {
		case err != nil:
			b.err = err
		case m.End:
			b.err = io.EOF
		}
		b.pending = m.Data
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// Close implements io.Closer. It cancels the exchange unless it is complete.
func (b *body) Close() error { return b.stream.Close() }
