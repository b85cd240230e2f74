package fakes

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceRun is one run of a call, as a witness for tests.
type ServiceRun struct {
	At   time.Time `json:"at"`
	Path string    `json:"path"`
	Key  string    `json:"key"`
	Body string    `json:"body"`
}

// Service is the stand-in of a plain service. It counts each run of a key.
type Service struct {
	*Switches
	refusesRepeats bool

	mu   sync.Mutex
	runs []ServiceRun
}

// NewService returns a service; one that refuses repeats answers 409 to a key
// it has run.
func NewService(refusesRepeats bool) *Service {
	return &Service{Switches: NewSwitches(), refusesRepeats: refusesRepeats}
}

// Handler serves any path of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathFaults, s.handle)
	mux.HandleFunc("GET /runs", s.handleRuns)
	mux.HandleFunc("GET /healthz", s.handleHealth)
	mux.Handle("/", s.wrap(http.HandlerFunc(s.handleCall)))
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

func (s *Service) record(run ServiceRun) (number int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusesRepeats && run.Key != "" && s.count(run.Key) > 0 {
		return 0, false
	}
	s.runs = append(s.runs, run)
	return len(s.runs), true
}

func (s *Service) count(key string) int {
	count := 0
	for _, run := range s.runs {
		if run.Key == key {
			count++
		}
	}
	return count
}

// Runs returns the runs so far.
func (s *Service) Runs() []ServiceRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ServiceRun(nil), s.runs...)
}

// RunsOf returns how often a key was run.
func (s *Service) RunsOf(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count(key)
}
