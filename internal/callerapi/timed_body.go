package callerapi

import (
	"io"
	"net/http"
	"time"
)

// bodyTimeout is the default time within which a caller must send a body.
const bodyTimeout = 15 * time.Second

// timedBody limits the time to read a body. The read deadline is set only during a read:
// if it passed later, it would look as if the caller had disconnected.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
	deadline   time.Time
}

func newTimedBody(w http.ResponseWriter, body io.ReadCloser, timeout time.Duration) *timedBody {
	return &timedBody{ReadCloser: body, controller: http.NewResponseController(w), deadline: time.Now().Add(timeout)}
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	_ = b.controller.SetReadDeadline(b.deadline)
	n, err := b.ReadCloser.Read(p)
	_ = b.controller.SetReadDeadline(time.Time{})
	return n, err
}
