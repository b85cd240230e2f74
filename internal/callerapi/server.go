package callerapi

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/admit"
	"github.com/plantainmux/plantainmux/internal/evidence"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/heldbytes"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/relay"
	"github.com/plantainmux/plantainmux/internal/requestpath"
	"github.com/plantainmux/plantainmux/internal/service"
	"github.com/plantainmux/plantainmux/internal/view"
)

// Dependencies are the components and settings of a Server.
type Dependencies struct {
	DataCentre      fleet.DataCentre
	Views           *view.Store
	Gate            *admit.Gate
	Relay           *relay.Relay
	Services        *service.Caller
	Metrics         *metric.Set
	Evidence        *evidence.Recorder
	Logger          *slog.Logger
	Held            *heldbytes.Account // counts and limits what is held for requests; nil: not limited
	BodyLimit       int64              // bytes
	DefaultDeadline time.Duration
	BodyTimeout     time.Duration // to read the body of a request; 0: bodyTimeout
	WriteTimeout    time.Duration // of one write to a caller; 0: writeTimeout
}

// Server serves the HTTP API for callers.
type Server struct {
	Dependencies
	draining atomic.Bool
}

// New returns a server.
func New(dependencies Dependencies) *Server {
	if dependencies.Held == nil {
		dependencies.Held = heldbytes.NewAccount(0, metrics.NewSet())
	}
	return &Server{Dependencies: dependencies}
}

// Drain makes the server refuse all further requests.
func (s *Server) Drain() { s.draining.Store(true) }

// Handler returns the handler of the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.authenticated(s.completions))
	mux.HandleFunc("POST /v1/chat/completions", s.authenticated(s.chatCompletions))
	mux.HandleFunc("GET /v1/models", s.authenticated(s.models))
	mux.HandleFunc(servicesPrefix+"{name}/{path...}", s.authenticated(s.service))
	mux.HandleFunc("/", s.unknownPath)
	return s.withPath(mux)
}

// withPath refuses targets without a path, and paths with dot segments or empty ones, which the mux
// would redirect without an outcome header.
func (s *Server) withPath(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path, bad := requestpath.Parse(r.RequestURI)
		if bad != nil {
			s.refuse(w, refusal.New(refusal.Malformed, 0, bad.Error()))
			return
		}
		if requestpath.Resolved.Read(path) != requestpath.Escapes.Read(path) {
			s.refuse(w, refusal.New(refusal.Malformed, 0, "the path has dot segments or empty ones"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// RefuseConnection refuses a request on a connection beyond the limit.
func (s *Server) RefuseConnection(w http.ResponseWriter, _ *http.Request) {
	s.refuse(w, refusal.New(refusal.Overloaded, retryAfterConnections, "all connections of this daemon are in use"))
}

// unknownPath refuses requests that match no other handler, so that every answer has an
// outcome header.
func (s *Server) unknownPath(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, refusal.New(refusal.UnknownService, 0, r.Method+" "+r.URL.Path+" is not served"))
}
