//go:build review

package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/keyed"
)

const (
	operatorsTopic = "keyed.op"
	serversTopic   = "keyed.servers"
	heartbeat      = 1200 * time.Millisecond
	missedBeats    = 3 // after which an entry is removed
	sweepInterval  = 50 * time.Millisecond
)

type storeCommand struct {
	Listen string `long:"listen" required:"true"`
	Config string `long:"config" required:"true" description:"file with the operators' configuration"`
}

// platformStore is the platform's store. It removes the entries of engines that have been silent for three heartbeats.
type platformStore struct {
	wire *fakes.WireStore
	mu   sync.Mutex
	beat map[string]time.Time     // of the last entry that the engine wrote itself, by ID
	late map[string]time.Duration // after which the next entry of an engine is written, without an answer, by ID
}

// Execute runs the store.
func (c *storeCommand) Execute([]string) error {
	config, err := os.ReadFile(c.Config)
	if err != nil {
		return err
	}
	s := &platformStore{wire: fakes.NewWireStore(), beat: map[string]time.Time{}, late: map[string]time.Duration{}}
	if err := s.wire.Log.Put(context.Background(), operatorsTopic, keyed.Record{Key: "config", Value: config}); err != nil {
		return err
	}
	go s.sweep()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.appendRecords)
	mux.HandleFunc("PUT /entries/{id}", s.writeEntry)      // of an engine
	mux.HandleFunc("DELETE /entries/{id}", s.removeEntry)  // of an engine that has left
	mux.HandleFunc("PUT /other-writer/{id}", s.otherEntry) // of another writer
	mux.HandleFunc("POST /standin/late/{id}", s.delayNext) // by the script
	mux.Handle("/", s.wire)
	return http.ListenAndServe(c.Listen, mux)
}

// appendRecords appends records of the system, which may not write to the platform's own topics.
func (s *platformStore) appendRecords(w http.ResponseWriter, r *http.Request) {
	if topic := r.URL.Query().Get("topic"); topic == operatorsTopic || topic == serversTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.wire.ServeHTTP(w, r)
}

// writeEntry writes an engine's own entry. A call without an answer is carried out seconds later.
func (s *platformStore) writeEntry(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	defer s.mu.Unlock()
	if late := s.late[id]; late > 0 {
		delete(s.late, id)
		value, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.AfterFunc(late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_ = s.wire.Log.Put(context.Background(), serversTopic, keyed.Record{Key: id, Value: value})
			s.beat[id] = time.Now()
		})
		panic(http.ErrAbortHandler)
	}
	if s.put(w, r, id) {
		s.beat[id] = time.Now()
	}
}

// delayNext has the next entry of an engine written late.
func (s *platformStore) delayNext(w http.ResponseWriter, r *http.Request) {
	late, err := time.ParseDuration(r.URL.Query().Get("by"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late[r.PathValue("id")] = late
}

// removeEntry removes the entry of an engine that has left.
func (s *platformStore) removeEntry(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.beat, id)
	if err := s.wire.Log.Put(r.Context(), serversTopic, keyed.Record{Key: id}); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *platformStore) otherEntry(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(w, r, r.PathValue("id"))
}

// put writes an entry. The caller holds mu.
func (s *platformStore) put(w http.ResponseWriter, r *http.Request, id string) bool {
	value, err := io.ReadAll(r.Body)
	if err == nil {
		err = s.wire.Log.Put(r.Context(), serversTopic, keyed.Record{Key: id, Value: value})
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return err == nil
}

func (s *platformStore) sweep() {
	for range time.Tick(sweepInterval) {
		s.mu.Lock()
		for id, at := range s.beat {
			if time.Since(at) > missedBeats*heartbeat {
				delete(s.beat, id)
				_ = s.wire.Log.Put(context.Background(), serversTopic, keyed.Record{Key: id})
			}
		}
		s.mu.Unlock()
	}
}
