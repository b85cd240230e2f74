package peerlog

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// Path is the HTTP path at which a daemon serves reads of other daemons.
const Path = "/store"

const (
	paramTopic = "topic"
	paramAfter = "after"
	paramFrom  = "from" // when absent, the newest records are read
	paramWait  = "wait_ms"
	maxWait    = 5 * time.Second
)

// Handler returns a handler that serves reads of other daemons from a log.
func Handler(log keyed.Log) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		page, err := read(log, r)
		body := newPageResponse(page)
		var expired *keyed.ExpiredError
		if errors.As(err, &expired) {
			body = pageResponse{Expired: true, First: expired.First}
		} else if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		data, err := cbor.Marshal(body)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data) // on failure the client has disconnected and will retry
	})
}

func read(log keyed.Log, r *http.Request) (keyed.Page, error) {
	query := r.URL.Query()
	if !query.Has(paramFrom) {
		return log.Newest(r.Context(), query.Get(paramTopic), query.Get(paramAfter))
	}
	from, err := strconv.ParseUint(query.Get(paramFrom), 10, 64)
	if err != nil {
		return keyed.Page{}, err
	}
	millis, err := strconv.ParseInt(query.Get(paramWait), 10, 64)
	if err != nil {
		return keyed.Page{}, err
	}
	return log.Read(r.Context(), query.Get(paramTopic), from, min(time.Duration(millis)*time.Millisecond, maxWait))
}
