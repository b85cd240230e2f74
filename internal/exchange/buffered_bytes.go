package exchange

import (
	"io"
	"sync/atomic"
)

const (
	// maxBufferedBytes bounds the bodies that are buffered at the same time: a tenth of the
	// memory of a small entry VM.
	maxBufferedBytes = 24 << 20
	bodyChunkBytes   = 4 << 10
	smallBodyBytes   = 64 << 10 // which is buffered however much the others take
)

// bufferedBytes counts the bytes of all bodies that are buffered, so that endpoints which send
// without end do not use up the memory together.
type bufferedBytes struct{ count atomic.Int64 }

// readAll reads a body of at most limit bytes. The caller must call release once. It fails with a
// BodyTooLargeError if the body, or all of them together, are too large.
func (b *bufferedBytes) readAll(body io.Reader, limit int64) (data []byte, release func(), err error) {
	counted := int64(0)
	release = func() { b.count.Add(-counted) }
	for {
		if len(data) == cap(data) {
			growth := int64(max(len(data), bodyChunkBytes))
			counted += growth
			if b.count.Add(growth) > maxBufferedBytes && len(data) >= smallBodyBytes {
				return nil, release, &BodyTooLargeError{Limit: maxBufferedBytes}
			}
			data = append(make([]byte, 0, int64(len(data))+growth), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, release, &BodyTooLargeError{Limit: limit}
		case err == io.EOF:
			return data, release, nil
		case err != nil:
			return nil, release, err
		}
	}
}
