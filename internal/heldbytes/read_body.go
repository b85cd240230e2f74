package heldbytes

import "io"

// firstReadBytes is the size of the first buffer for a body: most are smaller, and a caller that
// announces a long body and sends none holds no more.
const firstReadBytes = 64 << 10

// smallRequestBytes is the length up to which a body that announces it counts as small: most prompts have less.
const smallRequestBytes = 16 << 10

// ReadRequest reads the body of a request. length is the length of the body, negative if it is not
// known. If the limit does not allow for the body, it fails with a LimitError, before anything is
// read where the length is known. The caller calls release once, also after an error.
func (a *Account) ReadRequest(body io.Reader, length int64) (data []byte, release func(), err error) {
	counted := int64(0)
	kind := Requests
	if length >= 0 && length <= smallRequestBytes {
		kind = SmallRequests
	}
	release = func() { a.Release(kind, counted) }
	if length > 0 {
		if err := a.Fits(kind, length); err != nil {
			return nil, release, err
		}
	}
	first := int64(firstReadBytes)
	if length >= 0 {
		first = min(length, firstReadBytes)
	}
	for growth := first; ; growth = nextGrowth(int64(len(data)), length) {
		if len(data) == cap(data) && growth > 0 {
			if err := a.Hold(kind, growth); err != nil {
				return nil, release, err
			}
			counted += growth
			data = append(make([]byte, 0, int64(len(data))+growth), data...)
		}
		if len(data) == cap(data) { // all of a body of known length has been read
			return data, release, nil
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, release, nil
		}
		if err != nil {
			return nil, release, err
		}
	}
}

// nextGrowth returns by how many bytes the buffer of a body grows once it is full: it doubles, up
// to the length of the body.
func nextGrowth(size, length int64) int64 {
	if length < 0 {
		return size
	}
	return min(size, length-size)
}
