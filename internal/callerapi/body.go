package callerapi

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/plantainmux/plantainmux/internal/callerconn"
	"github.com/plantainmux/plantainmux/internal/heldbytes"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

// retryAfterMemory is for a daemon that holds as much for requests as it may: by then some have ended.
const retryAfterMemory = time.Second

// readBody reads the body of a request. The caller calls release once, also after a refusal.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), refused *refusal.Refusal) {
	var err error
	release = func() {}
	if r.ContentLength > s.BodyLimit {
		err = &http.MaxBytesError{Limit: s.BodyLimit}
	} else {
		body, release, err = s.Held.ReadRequest(http.MaxBytesReader(nil, r.Body, s.BodyLimit), r.ContentLength)
	}
	var tooLarge *http.MaxBytesError
	var limit *heldbytes.LimitError
	switch {
	case errors.As(err, &tooLarge):
		return nil, release, refusal.New(refusal.TooLarge, 0, "the body exceeds "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	case errors.As(err, &limit):
		w.Header().Set("Connection", "close") // otherwise the server reads the rest of the body before it answers
		return nil, release, outOfMemory(err)
	case err != nil:
		return nil, release, refusal.New(refusal.Malformed, 0, "the body could not be read")
	}
	callerconn.Received(r.Context())
	if callerconn.Left(r.Context()) {
		return nil, release, refusal.New(refusal.CallerGone, 0, "the caller left before its request was read")
	}
	return body, release, nil
}

// outOfMemory returns the refusal of a request that this daemon cannot hold.
func outOfMemory(err error) *refusal.Refusal {
	return refusal.New(refusal.Overloaded, retryAfterMemory, "this daemon cannot hold the request: "+err.Error())
}
