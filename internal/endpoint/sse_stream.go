package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"io"

	"github.com/segmentio/encoding/json"

	"github.com/ansel1/merry/v2"
)

const (
	// maxFrameBytes is the maximum size of one event.
	maxFrameBytes   = 1 << 20
	readBufferBytes = 4 << 10
)

var dataPrefix = []byte("data: ")

// sseStream decodes frames from a stream of server-sent events.
type sseStream struct {
	address  string
	body     io.ReadCloser
	reader   *bufio.Reader
	longLine []byte // a line that exceeds the reader's buffer
	cancel   context.CancelFunc
}

func newSSEStream(address string, body io.ReadCloser, cancel context.CancelFunc) *sseStream {
	return &sseStream{address: address, body: body, reader: bufio.NewReaderSize(body, readBufferBytes), cancel: cancel}
}

// Next implements Stream.
func (s *sseStream) Next() (Frame, error) {
	for {
		line, err := s.line()
		if err != nil {
			return Frame{}, &BrokenError{Address: s.address, Err: merry.Wrap(err)}
		}
		payload, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		var frame Frame
		if err := json.Unmarshal(payload, &frame); err != nil {
			return Frame{}, &BrokenError{Address: s.address, Err: merry.Wrap(err)}
		}
		return frame, nil
	}
}

// Buffered implements Stream.
func (s *sseStream) Buffered() bool {
	buffered, _ := s.reader.Peek(s.reader.Buffered())
	return bytes.Contains(buffered, dataPrefix) && bytes.HasSuffix(buffered, []byte("\n"))
}

// line returns the next complete line. The result is valid until the next call.
func (s *sseStream) line() ([]byte, error) {
	s.longLine = s.longLine[:0]
	for {
		part, err := s.reader.ReadSlice('\n')
		switch {
		case err == nil && len(s.longLine) == 0:
			return part, nil
		case err == nil:
			s.longLine = append(s.longLine, part...)
			return s.longLine, nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != bufio.ErrBufferFull:
			return nil, err
		}
		if len(s.longLine)+len(part) > maxFrameBytes {
			return nil, bufio.ErrTooLong
		}
		s.longLine = append(s.longLine, part...)
	}
}

// Close implements Stream.
func (s *sseStream) Close() error {
	s.cancel()
	return s.body.Close()
}
