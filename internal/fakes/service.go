package fakes

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceRun is one execution of a call, recorded for the checks of tests.
type ServiceRun struct {
	At   time.Time `json:"at"`
	Path string    `json:"path"`
	Key  string    `json:"key"`
	Body string    `json:"body"`
}

// Service is a fake of a plain service. It records every execution of a call with
// its idempotency key.
type Service struct {
	*FaultInjector
	refusesRepeats bool

	mu   sync.Mutex
	runs []ServiceRun
}

// NewService returns a service. With refusesRepeats it answers 409 to an
// idempotency key that it has executed before.
func NewService(refusesRepeats bool) *Service {
	return &Service{FaultInjector: NewFaultInjector(), refusesRepeats: refusesRepeats}
}

// Handler returns the handler of the service, which executes calls on any other
// path than /runs, /healthz and the faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathFaults, s.handleSetFaults)
	mux.HandleFunc("GET /runs", s.handleRuns)
	mux.HandleFunc("GET /healthz", s.handleHealth)
	mux.Handle("/", s.withFaults(http.HandlerFunc(s.handleCall)))
	return mux
}

func (s *Service) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if s.Get().Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
	}
}

func (s *Service) handleRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Runs())
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, requestBodyLimit))
	if err != nil {
		return
	}
	run := ServiceRun{At: time.Now(), Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key"), Body: string(body)}
	number, ok := s.record(run)
	if !ok {
		http.Error(w, "key was run before", http.StatusConflict)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Number int    `json:"number"`
		Echo   string `json:"echo"`
	}{number, string(body)})
}

// record adds a run and returns the number of runs so far, or false if the key is
// refused as a repeat.
func (s *Service) record(run ServiceRun) (number int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusesRepeats && run.Key != "" && s.count(run.Key) > 0 {
		return 0, false
	}
	s.runs = append(s.runs, run)
	return len(s.runs), true
}

// count returns the number of runs of a key. The caller holds mu.
func (s *Service) count(key string) int {
	count := 0
	for _, run := range s.runs {
		if run.Key == key {
			count++
		}
	}
	return count
}

// Runs returns all runs so far.
func (s *Service) Runs() []ServiceRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ServiceRun(nil), s.runs...)
}

// RunsOf returns the number of runs of a key.
func (s *Service) RunsOf(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count(key)
}
