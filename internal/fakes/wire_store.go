package fakes

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// WireStore serves a KeyedLog over HTTP with the protocol of the users' platform,
// its error statuses among it.
type WireStore struct {
	Log          *KeyedLog
	Faults       *FaultInjector
	refuseStatus atomic.Int32 // HTTP status of every answer; 0: serve normally
	dropAnswers  atomic.Bool  // appends take effect, then the connection is closed without an answer
}

// NewWireStore returns an empty store.
func NewWireStore() *WireStore { return &WireStore{Log: NewKeyedLog(), Faults: NewFaultInjector()} }

// Refuse makes every call fail with an HTTP status; 0 restores normal service.
func (s *WireStore) Refuse(status int) { s.refuseStatus.Store(int32(status)) }

// Mute makes appends take effect without an answer while mute is true.
func (s *WireStore) Mute(mute bool) { s.dropAnswers.Store(mute) }

// ServeHTTP implements http.Handler.
func (s *WireStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Faults.withFaults(http.HandlerFunc(s.serve)).ServeHTTP(w, r)
}

func (s *WireStore) serve(w http.ResponseWriter, r *http.Request) {
	if status := s.refuseStatus.Load(); status != 0 {
		w.WriteHeader(int(status))
		return
	}
	setEra(w, s.Log.Era())
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.append(w, r)
	case "GET /api/log-read":
		s.read(w, r)
	case "GET /api/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *WireStore) append(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records := decodeFrames(data)
	at, err := strconv.ParseUint(r.URL.Query().Get("at"), 10, 64)
	if err != nil {
		page, _ := s.Log.Newest(r.Context(), topic, "")
		at = page.End
	}
	first, err := s.Log.Append(r.Context(), topic, at, records)
	setEra(w, s.Log.Era())
	var conflict *keyed.ConflictError
	if errors.As(err, &conflict) {
		writeAnswer(w, http.StatusPreconditionFailed, map[string]any{"end": conflict.End})
		return
	}
	if s.dropAnswers.Load() {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, http.StatusOK, map[string]any{"offset": first.Offset, "end": first.Offset + uint64(len(records))})
}

func (s *WireStore) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	page, err := s.Log.Read(r.Context(), query.Get("topic"), from, time.Duration(wait)*time.Millisecond)
	setEra(w, s.Log.Era())
	var expired *keyed.ExpiredError
	if errors.As(err, &expired) {
		writeAnswer(w, http.StatusGone, map[string]any{"first": expired.First})
		return
	}
	setEra(w, page.Era)
	data := binary.BigEndian.AppendUint64(nil, page.End)
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, record := range page.Records {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(record.Key)+len(record.Value)))
		data = append(append(append(data, byte(len(record.Key))), record.Key...), record.Value...)
	}
	_, _ = w.Write(data)
}

// newest returns pages of only two records, so that clients always need paging.
func (s *WireStore) newest(w http.ResponseWriter, r *http.Request) {
	page, _ := s.Log.Newest(r.Context(), r.URL.Query().Get("topic"), "")
	setEra(w, page.Era)
	sortByKey(page.Records)
	items := []map[string]any{}
	more := false
	for _, record := range page.Records {
		if record.Key <= r.URL.Query().Get("after") {
			continue
		}
		if len(items) == 2 {
			more = true
			break
		}
		items = append(items, map[string]any{"key": record.Key, "value": base64.StdEncoding.EncodeToString(record.Value), "offset": record.Offset})
	}
	writeAnswer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": page.End})
}

func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
}

// decodeFrames decodes the length-prefixed records of an append.
func decodeFrames(data []byte) []keyed.Record {
	var records []keyed.Record
	for len(data) >= 4 {
		length := int(binary.BigEndian.Uint32(data))
		content := data[4 : 4+length]
		record := keyed.Record{Key: string(content[1 : 1+int(content[0])])}
		if value := content[1+int(content[0]):]; len(value) > 0 {
			record.Value = append([]byte(nil), value...)
		}
		records = append(records, record)
		data = data[4+length:]
	}
	return records
}

// writeAnswer answers with a status and a JSON body.
func writeAnswer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}
