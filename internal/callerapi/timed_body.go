package callerapi

import (
	"io"
	"net/http"
	"time"
)

// bodyTimeout is how long a caller may take to send a body.
const bodyTimeout = 15 * time.Second

// timedBody bounds how long a body may take. The deadline holds only while the
// body is read: a later one would look like the caller's departure.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
	until      time.Time
}

func newTimedBody(w http.ResponseWriter, body io.ReadCloser, limit time.Duration) *timedBody {
	return &timedBody{ReadCloser: body, controller: http.NewResponseController(w), until: time.Now().Add(limit)}
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	_ = b.controller.SetReadDeadline(b.until)
	n, err := b.ReadCloser.Read(p)
	_ = b.controller.SetReadDeadline(time.Time{})
	return n, err
}
