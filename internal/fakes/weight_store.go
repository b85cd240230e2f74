package fakes

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// WeightStore is a fake of the rate-limited weight store. A load by one VM consumes
// one token of the rate limiter.
type WeightStore struct {
	*FaultInjector
	limiter *rate.Limiter
}

// NewWeightStore returns a store that serves loadsPerSecond loads per second.
func NewWeightStore(loadsPerSecond float64) *WeightStore {
	return &WeightStore{FaultInjector: NewFaultInjector(), limiter: rate.NewLimiter(rate.Limit(loadsPerSecond), 1)}
}

// Handler returns the handler of the store. A GET is answered when the rate limit
// admits the load; the weights themselves are not sent.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /weights/{model}/{version}", s.withFaults(http.HandlerFunc(s.handleLoad)))
	mux.HandleFunc("POST "+pathFaults, s.handleSetFaults)
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
