package callerapi

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/admit"
	"github.com/plantainmux/plantainmux/internal/evidence"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/relay"
	"github.com/plantainmux/plantainmux/internal/service"
	"github.com/plantainmux/plantainmux/internal/view"
)

// Dependencies are what the interface works with.
type Dependencies struct {
	DataCentre      fleet.DataCentre
	Views           *view.Store
	Gate            *admit.Gate
	Relay           *relay.Relay
	Services        *service.Caller
	Metrics         *metric.Set
	Evidence        *evidence.Recorder
	Logger          *slog.Logger
	BodyLimit       int64 // bytes
	DefaultDeadline time.Duration
	BodyTimeout     time.Duration // of the body of a request; 0 is the default
	WriteTimeout    time.Duration // of one write to a caller; 0 is the default
}

// Server serves callers.
type Server struct {
	Dependencies
	draining atomic.Bool
}

// New returns a server.
func New(dependencies Dependencies) *Server {
	return &Server{Dependencies: dependencies}
}

// Drain refuses new work from now on.
func (s *Server) Drain() { s.draining.Store(true) }

// Handler serves the interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.authenticated(s.completions))
	mux.HandleFunc("POST /v1/chat/completions", s.authenticated(s.chatCompletions))
	mux.HandleFunc("GET /v1/models", s.authenticated(s.models))
	mux.HandleFunc("/v1/services/{name}/{path...}", s.authenticated(s.service))
	mux.HandleFunc("/", s.unknownPath)
	return mux
}

// unknownPath refuses what no other handler takes, so that each answer carries
// an outcome.
func (s *Server) unknownPath(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, refusal.New(refusal.UnknownService, 0, r.Method+" "+r.URL.Path+" is not served"))
}
