package callerconn

import (
	"io"
	"net/http"
	"time"
)

// timedBody limits the time to read a body. The read deadline is set only during a read:
// if it passed later, it would look as if the caller had disconnected.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
	deadline   time.Time
}

// TimedBody returns a body whose reads fail with os.ErrDeadlineExceeded after a deadline.
func TimedBody(w http.ResponseWriter, body io.ReadCloser, deadline time.Time) io.ReadCloser {
	return &timedBody{ReadCloser: body, controller: http.NewResponseController(w), deadline: deadline}
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	_ = b.controller.SetReadDeadline(b.deadline)
	n, err := b.ReadCloser.Read(p)
	_ = b.controller.SetReadDeadline(time.Time{})
	return n, err
}
