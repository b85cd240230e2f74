package exchange

import (
	"io"

	"github.com/plantainmux/plantainmux/internal/heldbytes"
)

const (
	// maxBufferedBytes bounds the bodies that are buffered at the same time: a tenth of the
	// memory of a small entry VM.
	maxBufferedBytes = 24 << 20
	// bufferedShare bounds them as well, as a share of what may be held for exchanges: that is 0.4 of the
	// memory, and a body takes up to three times its size while its buffer grows and until garbage is collected.
	bufferedShare  = 0.25
	bodyChunkBytes = 4 << 10
	smallBodyBytes = 64 << 10 // which is buffered however much the others take
)

// readAll reads a body of at most limit bytes and counts it as held. The caller must call release
// once. It fails with a BodyTooLargeError if the body, or all that is held, is too large. Bodies
// below smallBodyBytes are read whatever is held, as their requests have run already.
func readAll(held *heldbytes.Account, body io.Reader, limit int64) (data []byte, release func(), err error) {
	counted, most := int64(0), maxBuffered(held)
	release = func() { held.Release(heldbytes.Answers, counted) }
	for {
		if len(data) == cap(data) {
			growth := int64(max(len(data), bodyChunkBytes))
			if len(data) < smallBodyBytes {
				held.HoldAlways(heldbytes.Answers, growth)
			} else if held.Held(heldbytes.Answers)+growth > most || held.Hold(heldbytes.Answers, growth) != nil {
				return nil, release, &BodyTooLargeError{Limit: most, Shared: true}
			}
			counted += growth
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

// maxBuffered returns how many bytes of bodies may be buffered at the same time.
func maxBuffered(held *heldbytes.Account) int64 {
	if limit := held.Limit(); limit > 0 {
		return min(maxBufferedBytes, int64(bufferedShare*float64(limit)))
	}
	return maxBufferedBytes
}
