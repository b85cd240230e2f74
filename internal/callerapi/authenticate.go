package callerapi

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/plantainmux/plantainmux/internal/callerconn"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

const (
	bodyTimeout        = 15 * time.Second // within which a caller must send a body, by default
	bearerPrefix       = "Bearer "
	retryAfterNotReady = 2 * time.Second
	retryAfterDraining = time.Second
	// retryAfterConnections is for a daemon whose connections are all in use: another one may have some.
	retryAfterConnections = time.Second
	detailNotReady        = "no configuration is in force yet"
)

// teamHandler handles a request of an authenticated team.
type teamHandler func(w http.ResponseWriter, r *http.Request, team config.Team)

// authenticated identifies the team of a request by the hash of its key, and refuses
// requests without a valid key, while the daemon drains, and before it has a
// configuration.
func (s *Server) authenticated(next teamHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		current := s.Views.Load()
		if s.draining.Load() {
			s.refuse(w, refusal.New(refusal.Draining, retryAfterDraining, "this daemon is stopping"))
			return
		}
		if current.Config.Version == 0 {
			s.refuse(w, refusal.New(refusal.NotReady, retryAfterNotReady, detailNotReady))
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		if !ok {
			s.refuse(w, refusal.New(refusal.Unauthenticated, 0, "a bearer key is needed"))
			return
		}
		team, ok := current.Teams[HashKey(key)]
		if !ok {
			s.refuse(w, refusal.New(refusal.Unauthenticated, 0, "the key is not known"))
			return
		}
		r.Body = callerconn.TimedBody(w, r.Body, time.Now().Add(cmp.Or(s.BodyTimeout, bodyTimeout)))
		next(w, r, team)
	}
}

// HashKey returns the hex SHA-256 of a key. Keys are stored in this form only.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
