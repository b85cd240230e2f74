package callerapi

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

const (
	bearerPrefix   = "Bearer "
	retryNotReady  = 2 * time.Second
	retryDraining  = time.Second
	detailNotReady = "no configuration is in force yet"
)

// teamHandler serves a request of an authenticated team.
type teamHandler func(w http.ResponseWriter, r *http.Request, team config.Team)

// authenticated finds the team of a request by the hash of its key.
func (s *Server) authenticated(next teamHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		current := s.Views.Load()
		if s.draining.Load() {
			s.refuse(w, refusal.New(refusal.Draining, retryDraining, "this daemon is stopping"))
			return
		}
		if current.Config.Version == 0 {
			s.refuse(w, refusal.New(refusal.NotReady, retryNotReady, detailNotReady))
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
		r.Body = newTimedBody(w, r.Body, cmp.Or(s.BodyTimeout, bodyTimeout))
		next(w, r, team)
	}
}

// HashKey returns the hex SHA-256 of a key, the only form in which keys are
// kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
