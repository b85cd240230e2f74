//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: topics of one partition, with the calls of PROTOCOL.md that the daemons
// use. It loses nothing and answers at once.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced at each append
}

type topic struct {
	records []record // from offset 0 on; nothing expires in the two minutes of a case
	newest  map[string]record
}

type record struct {
	key    string
	value  []byte // empty: the key is dropped
	offset uint64
}

func startStore() *store {
	s := &store{topics: map[string]*topic{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		couldNotRun("the store cannot listen: %v", err)
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.handleAppend)
	mux.HandleFunc("GET /api/log-read", s.handleRead)
	mux.HandleFunc("GET /api/log-newest", s.handleNewest)
	go func() { _ = http.Serve(listener, mux) }()
	return s
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}}
		s.topics[name] = t
	}
	return t
}

// append adds records if at is nil or the end of the topic. It returns the offset of the first one and the end.
func (s *store) append(name string, at *uint64, records []record) (first, end uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first = uint64(len(t.records))
	if at != nil && *at != first {
		return 0, first, false
	}
	for _, r := range records {
		r.offset = uint64(len(t.records))
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first, uint64(len(t.records)), true
}

// put writes the record of a key; without a value it drops the key.
func (s *store) put(name, key string, value []byte) {
	s.append(name, nil, []record{{key: key, value: value}})
}

func (s *store) has(name, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.topic(name).newest[key]
	return ok
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []record
	for len(data) >= 4 {
		length := int(binary.BigEndian.Uint32(data))
		if length < 1 || length > len(data)-4 || 1+int(data[4]) > length {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		content := data[4 : 4+length]
		keyEnd := 1 + int(content[0])
		records = append(records, record{key: string(content[1:keyEnd]), value: append([]byte(nil), content[keyEnd:]...)})
		data = data[4+length:]
	}
	var at *uint64
	if text := r.URL.Query().Get("at"); text != "" {
		wanted, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		at = &wanted
	}
	first, end, ok := s.append(r.URL.Query().Get("topic"), at, records)
	if !ok {
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	answerJSON(w, http.StatusOK, map[string]any{"offset": first, "end": end})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		end := uint64(len(t.records))
		var found []record
		if from < end {
			found = t.records[from:end]
		}
		s.mu.Unlock()
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timer.C:
			}
		}
		data := binary.BigEndian.AppendUint64(nil, end)
		data = binary.BigEndian.AppendUint64(data, 0)
		for _, f := range found {
			data = binary.BigEndian.AppendUint32(data, uint32(1+len(f.key)+len(f.value)))
			data = append(append(append(data, byte(len(f.key))), f.key...), f.value...)
		}
		_, _ = w.Write(data)
		return
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	end := len(t.records)
	var found []record
	for _, f := range t.newest {
		if f.key > r.URL.Query().Get("after") {
			found = append(found, f)
		}
	}
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].key < found[j].key })
	items := []map[string]any{}
	for _, f := range found {
		items = append(items, map[string]any{"key": f.key, "value": base64.StdEncoding.EncodeToString(f.value), "offset": f.offset})
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": end})
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the daemon may have gone
}
