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
	signed bool
	body   string
	err    error
	took   time.Duration
}

// send makes an attempt at a daemon, on a new connection.
func (d *daemon) send(q request) outcome {
	began := time.Now()
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
		return outcome{err: err, took: time.Since(began)}
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return outcome{err: err, took: time.Since(began)}
	}
	return outcome{status: answer.StatusCode, signed: answer.Header.Get("Response-Signature") != "", body: string(data), took: time.Since(began)}
}
