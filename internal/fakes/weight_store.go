package fakes

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// WeightStore is the stand-in of the rate-limited weight store. A load of one
// VM takes one token.
type WeightStore struct {
	*Switches
	limiter *rate.Limiter
}

// NewWeightStore returns a store that serves loadsPerSecond loads a second.
func NewWeightStore(loadsPerSecond float64) *WeightStore {
	return &WeightStore{Switches: NewSwitches(), limiter: rate.NewLimiter(rate.Limit(loadsPerSecond), 1)}
}

// Handler serves the store's protocol: a GET ends when the weights are loaded.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /weights/{model}/{version}", s.wrap(http.HandlerFunc(s.handleLoad)))
	mux.HandleFunc("POST "+pathFaults, s.handle)
	return mux
}

func (s *WeightStore) handleLoad(w http.ResponseWriter, r *http.Request) {
	if err := s.limiter.Wait(r.Context()); err != nil {
		return
	}
	writeJSON(w, http.StatusOK, struct {
		LoadedAt time.Time `json:"loaded_at"`
	}{time.Now()})
}
