//go:build review

package main

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

const host = "x.example"

// request is one attempt of a client.
type request struct {
	method, path, id, key string
	body                  []byte
	deadline              time.Duration
	patience              time.Duration // until the client leaves; 0: as long as the deadline
}

// outcome is what the client got.
type outcome struct {
	status int // 0: no answer
	err    error
}

// send makes an attempt at a daemon, on a new connection.
func (d *daemon) send(q request) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(q.patience, q.deadline))
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+d.callers+q.path, bytes.NewReader(q.body))
	if err != nil {
		cannotRun("%v", err)
	}
	r.Host = host
	r.Close = true
	r.Header.Set("Request-Id", q.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	answer, err := transport.RoundTrip(r)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return outcome{err: err}
	}
	return outcome{status: answer.StatusCode}
}
