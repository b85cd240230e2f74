package forward

import (
	"errors"
	"io"
	"sync"
)

// releasedBody calls release once, with the error that ended the body, when it is closed.
type releasedBody struct {
	io.ReadCloser
	onRead  func() // called when a part of the body has been read; nil: not called
	release func(err error)
	err     error
	once    sync.Once
}

// Read implements io.Reader.
func (b *releasedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && b.onRead != nil {
		b.onRead()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *releasedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.release(b.err) })
	return err
}
