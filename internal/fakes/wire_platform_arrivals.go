package fakes

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// arrivals writes a line for each request that has arrived at an endpoint: data centre, ID of the
// endpoint, time in Unix milliseconds. The lines of an endpoint are in the order of time.
func (p *WirePlatform) arrivals(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, engine := range p.engines {
		for _, at := range engine.ArrivalTimes() {
			_, _ = fmt.Fprintln(w, engine.Zone, id, at.UnixMilli())
		}
	}
}

// restart restarts the endpoint that the query names (endpoint, down_ms, cold_ms) and writes when the
// new incarnation started, in Unix milliseconds.
func (p *WirePlatform) restart(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	p.mu.Lock()
	engine := p.engines[query.Get("endpoint")]
	p.mu.Unlock()
	down, downErr := strconv.Atoi(query.Get("down_ms"))
	cold, coldErr := strconv.Atoi(query.Get("cold_ms"))
	if engine == nil || downErr != nil || coldErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	started, err := engine.Restart(time.Duration(down)*time.Millisecond, time.Duration(cold)*time.Millisecond)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintln(w, started.UnixMilli())
}
