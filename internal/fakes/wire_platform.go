package fakes

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// wirePlatformConfig has a route of streams that any region may serve, one for the region north, and
// one of requests that must not be repeated.
const wirePlatformConfig = `{"version":1,"routes":[
 {"name":"talk","host":"x.example","path_prefix":"/talk/","kind":"streaming","timeout_ms":5000,"target_latency_ms":400,"service":"engines","max_attempts":3,"stream_resumption":true},
 {"name":"home","host":"x.example","path_prefix":"/home/","kind":"streaming","timeout_ms":5000,"service":"engines","max_attempts":3,"stream_resumption":true,"allowed_regions":["north"]},
 {"name":"order","host":"x.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":3000,"service":"desk","max_attempts":1}],
 "services":[{"name":"engines","engine":{"slots":8,"stride":1,"chunk":100,"step_ms":20,"read_per_s":10000,"loads_per_s":50,"models":[{"name":"big","size":2,"share":1,"pace":1,"load_s":1,"warm_s":0.1}]}},{"name":"desk"}],
 "limits":{"max_body_bytes":100000},"tenants":[{"name":"merchants","api_keys":["k1"]}]}`

// WirePlatform is the users' platform in one process: a store with a configuration, and engines and a
// plain service in some data centres. Calls below /fake/ are for scripts; the platform has none of them.
type WirePlatform struct {
	store   *WireStore
	mux     *http.ServeMux
	mu      sync.Mutex
	engines map[string]*WireEngine // by ID
}

// StartWirePlatform starts engines, a plain service in each data centre, and a store.
func StartWirePlatform(dataCentres []string, engines int) (*WirePlatform, error) {
	p := &WirePlatform{store: NewWireStore(), engines: map[string]*WireEngine{}, mux: http.NewServeMux()}
	for _, dataCentre := range dataCentres {
		for i := range engines {
			if err := p.startEngine(dataCentre, fmt.Sprintf("%s-e%d", dataCentre, i), "engines", "domain-"+dataCentre); err != nil {
				return nil, err
			}
		}
		if err := p.startEngine(dataCentre, dataCentre+"-desk", "desk", ""); err != nil {
			return nil, err
		}
	}
	if err := p.store.Log.Put(context.Background(), operatorsTopic, keyed.Record{Key: "config", Value: []byte(wirePlatformConfig)}); err != nil {
		return nil, err
	}
	p.mux.Handle("/", p.store)
	p.mux.HandleFunc("POST /fake/kill-head", p.killHead)
	p.mux.HandleFunc("GET /fake/runs", p.runs)
	p.mux.HandleFunc("GET /fake/arrivals", p.arrivals)
	p.mux.HandleFunc("POST /fake/restart", p.restart)
	p.mux.HandleFunc("GET /fake/operators/{key...}", p.operatorsRecord)
	p.mux.HandleFunc("PUT /fake/operators/{key...}", p.writeOperatorsRecord)
	p.mux.HandleFunc("DELETE /fake/operators/{key...}", p.deleteOperatorsRecord)
	return p, nil
}

// StartDeafenedDesk starts one more plain service, which can be made deaf.
func (p *WirePlatform) StartDeafenedDesk(dataCentre, id string) (*WireEngine, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	desk, err := StartDeafenedWireEngine(p.store.Log, dataCentre, id, "desk")
	if err == nil {
		p.engines[id] = desk
	}
	return desk, err
}

// StartDesk starts one more plain service.
func (p *WirePlatform) StartDesk(dataCentre, id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startEngine(dataCentre, id, "desk", "")
}

func (p *WirePlatform) startEngine(dataCentre, id, service, domain string) error {
	engine, err := StartWireEngineIn(p.store.Log, dataCentre, id, service, domain)
	if err != nil {
		return err
	}
	p.engines[id] = engine
	return nil
}

// ServeHTTP implements http.Handler.
func (p *WirePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// killHead kills the head of an open group of the data centre that the query names, and writes its ID.
func (p *WirePlatform) killHead(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, engine := range p.engines {
		if engine.Zone == r.URL.Query().Get("zone") && engine.Head() {
			engine.Kill()
			delete(p.engines, id)
			_, _ = fmt.Fprintln(w, id)
			return
		}
	}
	w.WriteHeader(http.StatusNotFound)
}

// runs writes a line for each request that a plain service has run: data centre, ID, number of runs.
func (p *WirePlatform) runs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, engine := range p.engines {
		if engine.Domain != "" {
			continue
		}
		for _, id := range engine.RequestsRun() {
			_, _ = fmt.Fprintln(w, engine.Zone, id, engine.Ran(id))
		}
	}
}

// Store returns the store.
func (p *WirePlatform) Store() *WireStore { return p.store }

// Engines returns the endpoints, in the order of their IDs.
func (p *WirePlatform) Engines() []*WireEngine {
	p.mu.Lock()
	defer p.mu.Unlock()
	engines := slices.Collect(maps.Values(p.engines))
	slices.SortFunc(engines, func(a, b *WireEngine) int { return strings.Compare(a.ID, b.ID) })
	return engines
}

// SetLastEvent sets the number of the last event of streams that begin from now on, at all engines.
func (p *WirePlatform) SetLastEvent(number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, engine := range p.engines {
		engine.SetLastEvent(number)
	}
}

// SetWorkTime sets how long plain services work on each request.
func (p *WirePlatform) SetWorkTime(work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, engine := range p.engines {
		engine.SetWorkTime(work)
	}
}
