//go:build review

package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store: keyed topics with one partition each. Nothing expires in the two minutes of a
// case.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storedRecord
	changed chan struct{} // closed at the next append
}

type storedRecord struct {
	key   string
	value []byte // nil: the key is dropped
}

func newStore() *store {
	return &store{topics: map[string][]storedRecord{}, changed: make(chan struct{})}
}

// put appends one record and returns when it was accepted.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, []storedRecord{{key, value}})
	return time.Now()
}

// putJSON appends one record whose value is v as JSON.
func (s *store) putJSON(topic, key string, v any) time.Time {
	data, err := json.Marshal(v)
	if err != nil {
		cannotRun("encoding a record: %v", err)
	}
	return s.put(topic, key, data)
}

// append adds records and wakes the readers that wait. The caller holds mu.
func (s *store) append(topic string, records []storedRecord) {
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	switch {
	case !strings.HasPrefix(topic, "keyed."):
		http.Error(w, `{"error":"not a keyed topic"}`, http.StatusBadRequest)
	case r.URL.Path == "/api/log-append":
		s.serveAppend(w, r, topic)
	case r.URL.Path == "/api/log-read":
		s.serveRead(w, r, topic)
	case r.URL.Path == "/api/log-newest":
		s.serveNewest(w, topic)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	if topic == topicOperators || topic == topicEngines {
		http.Error(w, `{"error":"not yours"}`, http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []storedRecord
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+length]
		body = body[4+length:]
		record := storedRecord{key: string(content[1 : 1+int(content[0])])}
		if value := content[1+int(content[0]):]; len(value) > 0 {
			record.value = slices.Clone(value)
		}
		records = append(records, record)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(first) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": first})
		return
	}
	s.append(topic, records)
	reply(w, http.StatusOK, map[string]any{"offset": first, "end": first + len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(records) || ctx.Err() != nil {
			data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			data = binary.BigEndian.AppendUint64(data, 0)
			for _, record := range records[min(from, len(records)):] {
				data = binary.BigEndian.AppendUint32(data, uint32(1+len(record.key)+len(record.value)))
				data = append(data, byte(len(record.key)))
				data = append(data, record.key...)
				data = append(data, record.value...)
			}
			_, _ = w.Write(data)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]int{}
	for offset, record := range s.topics[topic] {
		newest[record.key] = offset
	}
	items := []map[string]any{}
	for key, offset := range newest {
		if value := s.topics[topic][offset].value; value != nil {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(s.topics[topic])})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
