package fakes

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// Defaults of the log service.
const (
	DefaultAppendRate  = 300 // appends per second
	defaultAppendBurst = 30  // appends
)

// Log is a fake of the log service: streams with offsets, limited retention and a
// limited rate of appends.
type Log struct {
	*FaultInjector
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*logStream
	appends int
	changed chan struct{} // closed and replaced at each append
}

// logStream is one stream. Records with offsets below oldest have expired.
type logStream struct {
	oldest  infra.Offset
	records []infra.Record
}

func (s *logStream) next() infra.Offset {
	return s.oldest + infra.Offset(len(s.records))
}

// NewLog returns an empty log that accepts appendRate appends per second.
func NewLog(appendRate int) *Log {
	return &Log{
		FaultInjector: NewFaultInjector(),
		limiter:       rate.NewLimiter(rate.Limit(appendRate), defaultAppendBurst),
		streams:       map[string]*logStream{},
		changed:       make(chan struct{}),
	}
}

// Handler serves the log's protocol.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /streams/{stream}", l.withFaults(http.HandlerFunc(l.handleAppend)))
	mux.Handle("GET /streams/{stream}", l.withFaults(http.HandlerFunc(l.handleRead)))
	mux.HandleFunc("POST "+pathFaults, l.handleSetFaults)
	return mux
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	if !l.limiter.Allow() {
		w.Header().Set("Retry-After", "0")
		http.Error(w, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	var request infra.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	first, next := l.Append(r.PathValue("stream"), request.Records)
	writeJSON(w, http.StatusOK, infra.AppendResponse{First: first, Next: next})
}

// Append adds records to a stream, regardless of faults and rate limit. It returns
// the offset of the first record and the one after the last.
func (l *Log) Append(name string, records [][]byte) (first, next infra.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.stream(name)
	first = stream.next()
	for _, data := range records {
		stream.records = append(stream.records, infra.Record{Offset: stream.next(), Data: data})
	}
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	return first, stream.next()
}

func (l *Log) stream(name string) *logStream {
	stream, ok := l.streams[name]
	if !ok {
		stream = &logStream{oldest: infra.FirstOffset}
		l.streams[name] = stream
	}
	return stream
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(query.Get("limit"))
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	wait := time.Duration(waitMS) * time.Millisecond
	page, err := l.Read(r.Context(), r.PathValue("stream"), infra.Offset(from), limit, wait)
	switch {
	case r.Context().Err() != nil:
		return
	case err != nil:
		writeJSON(w, http.StatusGone, page)
	default:
		writeJSON(w, http.StatusOK, page)
	}
}

// Read returns records of a stream as infra.Log does, regardless of faults.
func (l *Log) Read(ctx context.Context, name string, from infra.Offset, limit int, wait time.Duration) (infra.Page, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, expired, changed := l.read(name, from, limit)
		if expired {
			return page, &infra.ExpiredError{Stream: name, From: from, Oldest: page.Oldest}
		}
		if len(page.Records) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			wait = 0
		case <-ctx.Done():
			return page, &infra.UnavailableError{Operation: "read", Err: ctx.Err()}
		}
	}
}

func (l *Log) read(name string, from infra.Offset, limit int) (page infra.Page, expired bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.stream(name)
	page = infra.Page{Oldest: stream.oldest, Next: stream.next()}
	if from < stream.oldest {
		return page, true, l.changed
	}
	if from < page.Next {
		records := stream.records[from-stream.oldest:]
		page.Records = records[:min(limit, len(records))]
	}
	return page, false, l.changed
}

// Expire drops the records of a stream with offsets below an offset, as retention
// does.
func (l *Log) Expire(name string, below infra.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.stream(name)
	for len(stream.records) > 0 && stream.oldest < below {
		stream.records = stream.records[1:]
		stream.oldest++
	}
}

// Truncate drops the records of a stream from an offset on, as a log service that
// loses acknowledged records does.
func (l *Log) Truncate(name string, from infra.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.stream(name)
	if from < stream.next() {
		stream.records = stream.records[:from-stream.oldest]
	}
}

// Records returns the retained records of a stream.
func (l *Log) Records(name string) []infra.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]infra.Record(nil), l.stream(name).records...)
}

// Appends returns the number of accepted appends.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}
