package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
)

// maxFrameBytes bounds one event of an engine.
const maxFrameBytes = 1 << 20

var dataPrefix = []byte("data: ")

// sseStream reads frames from server-sent events.
type sseStream struct {
	address string
	body    io.ReadCloser
	scanner *bufio.Scanner
	cancel  context.CancelFunc
}

func newSSEStream(address string, body io.ReadCloser, cancel context.CancelFunc) *sseStream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxFrameBytes)
	return &sseStream{address: address, body: body, scanner: scanner, cancel: cancel}
}

// Next implements Stream.
func (s *sseStream) Next() (Frame, error) {
	for s.scanner.Scan() {
		payload, ok := bytes.CutPrefix(s.scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		var frame Frame
		if err := json.Unmarshal(payload, &frame); err != nil {
			return Frame{}, &BrokenError{Address: s.address, Err: err}
		}
		return frame, nil
	}
	err := s.scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return Frame{}, &BrokenError{Address: s.address, Err: err}
}

// Close implements Stream.
func (s *sseStream) Close() error {
	s.cancel()
	return s.body.Close()
}
