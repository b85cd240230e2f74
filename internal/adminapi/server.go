package adminapi

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/plantainmux/plantainmux/internal/metric"
)

const bearerPrefix = "Bearer "

// Server serves the HTTP interface for operators and the load balancer.
type Server struct {
	token   string
	status  func() Status
	metrics *metric.Set

	Orders OrderStore
}

// New returns a server. Operators authenticate with token as a bearer token or
// with a client certificate.
func New(token string, status func() Status, metrics *metric.Set) *Server {
	return &Server{token: token, status: status, metrics: metrics}
}

// Handler returns the handler of the interface. Health, readiness and metrics
// need no authentication.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { s.metrics.Write(w) })
	mux.HandleFunc("GET /admin/status", s.authenticated(s.writeStatus))
	mux.HandleFunc("GET /debug/pprof/profile", s.authenticated(pprof.Profile))
	mux.HandleFunc("GET /debug/pprof/{name}", s.authenticated(pprof.Index))
	s.routeOrders(mux)
	return mux
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	status := s.status()
	if status.Ready && !status.Draining {
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// hasClientCertificate reports whether the client presented a certificate that
// the listener verified against its CA.
func hasClientCertificate(r *http.Request) bool {
	return r.TLS != nil && len(r.TLS.VerifiedChains) > 0
}

func (s *Server) authenticated(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if hasClientCertificate(r) {
			next(w, r)
			return
		}
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		if subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func (s *Server) writeStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.status())
}
