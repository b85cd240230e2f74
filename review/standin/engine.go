//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat  = 1200 * time.Millisecond
	formTime   = 300 * time.Millisecond
	rejoinTime = 200 * time.Millisecond
	warmTime   = 300 * time.Millisecond
	stallTime  = 6 * time.Second // stall_ms
)

// group is what an engine is a member of.
type group struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`

	members []string
}

// engine is a stand-in of an engine, by PROTOCOL.md. Without a domain it is a plain service.
type engine struct {
	id, service, zone, domain, address string
	born                               int64
	slots                              int
	store                              *store
	serve                              func(e *engine, w http.ResponseWriter, r *http.Request) // a request that it runs
	beforeOrder                        func(order order) (answered bool)                       // nil: none

	mu        sync.Mutex
	group     *group
	seen      uint64 // highest epoch that this life has seen
	model     string
	staged    []string
	sequence  int
	cut       bool // its link to the store is silent
	lastWrite time.Time
	still     bool // its group has lost a member: nothing moves
}

type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	CloseMode string   `json:"close_mode"`
}

func startEngine(s *store, id, service, zone, domain string, staged []string, serve func(*engine, http.ResponseWriter, *http.Request)) *engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		couldNotRun("engine %s cannot listen: %v", id, err)
	}
	e := &engine{id: id, service: service, zone: zone, domain: domain, address: listener.Addr().String(), born: time.Now().UnixMilli(), slots: 6, store: s, serve: serve, staged: staged}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", e.handleReport)
	mux.HandleFunc("POST /api/order", e.handleOrder)
	mux.HandleFunc("/", e.handleRequest)
	go func() { _ = http.Serve(listener, mux) }()
	e.register()
	go func() {
		for range time.Tick(heartbeat) {
			e.register()
			e.expire()
		}
	}()
	return e
}

// state returns what the entry and the report have in common. The caller holds mu.
func (e *engine) state() map[string]any {
	models := []map[string]any{}
	if e.model != "" {
		models = append(models, map[string]any{"name": e.model, "version": 1, "adapters": []string{}})
	}
	state := map[string]any{"born": e.born, "stage": "both", "models": models}
	if e.domain != "" {
		state["domain"], state["staged"] = e.domain, slices.Clone(e.staged)
		if e.group != nil {
			state["group"] = *e.group
		}
	}
	return state
}

// register writes the entry, unless the link to the store is cut.
func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cut {
		return
	}
	e.sequence++
	entry := e.state()
	entry["service"], entry["address"], entry["zone"] = e.service, e.address, e.zone
	entry["version"], entry["slots"], entry["state"], entry["cold_remaining_ms"], entry["sequence"] = "v1", e.slots, "ready", 0, e.sequence
	value, _ := json.Marshal(entry)
	e.store.put("keyed.servers", e.id, value)
	e.lastWrite = time.Now()
}

func (e *engine) isOpen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group != nil && e.group.State == "open"
}

func (e *engine) setCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = cut
}

// expire is the platform's part: an entry is removed after three heartbeat intervals of silence.
func (e *engine) expire() {
	e.mu.Lock()
	silent := time.Since(e.lastWrite) > 3*heartbeat
	e.mu.Unlock()
	if silent && e.store.has("keyed.servers", e.id) {
		note("platform: the entry of %s is removed, after three heartbeats of silence", e.id)
		e.store.put("keyed.servers", e.id, nil)
	}
}

func (e *engine) misdirected(w http.ResponseWriter, r *http.Request) bool {
	wanted := r.Header.Get("Expected-Instance")
	if wanted == "" || wanted == e.id {
		return false
	}
	w.Header().Set("Instance-Id", e.id)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (e *engine) handleReport(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	e.mu.Lock()
	state := e.state()
	e.mu.Unlock()
	answerJSON(w, http.StatusOK, state)
}

func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.beforeOrder != nil && !e.beforeOrder(o) {
		<-r.Context().Done() // no answer; the daemon gives up
		return
	}
	status := e.carryOut(o)
	note("engine %s: order %s of group %q epoch %d: %d", e.id, o.Operation, o.Group, o.Epoch, status)
	w.WriteHeader(status)
}

// carryOut carries an order out and returns the status of its answer.
func (e *engine) carryOut(o order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer func() { go e.register() }() // reported immediately after a change
	switch o.Operation {
	case "stage":
		if !slices.Contains(e.staged, o.Model) {
			e.staged = []string{o.Model} // a host keeps one
		}
		return http.StatusAccepted
	case "join":
		return e.join(o)
	}
	g := e.group
	if g == nil || g.Name != o.Group || g.Epoch != o.Epoch {
		return http.StatusConflict
	}
	switch o.Operation {
	case "open":
		switch {
		case g.State == "open":
			return http.StatusOK
		case g.State != "ready" || g.Rank != 0:
			return http.StatusConflict
		}
		time.AfterFunc(formTime, func() { e.become(g, "ready", "open") })
		return http.StatusAccepted
	case "close":
		if g.State == "open" {
			g.State = "ready"
		}
		return http.StatusAccepted
	case "leave":
		e.group, e.still = nil, false
		return http.StatusAccepted
	default:
		return http.StatusBadRequest
	}
}

func (e *engine) join(o order) int {
	g := e.group
	if o.Epoch < e.seen || g != nil && g.Name == o.Group && g.Epoch == o.Epoch && !slices.Equal(g.members, o.Members) {
		return http.StatusPreconditionFailed
	}
	if g != nil && g.Name == o.Group && g.Epoch == o.Epoch {
		return http.StatusOK
	}
	joined := &group{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.id), State: "joining", members: slices.Clone(o.Members)}
	takes := warmTime
	if e.model == o.Model {
		takes = rejoinTime
	}
	onJoin(e, joined)
	e.group, e.seen, e.model, e.still = joined, o.Epoch, o.Model, false
	time.AfterFunc(takes, func() { e.become(joined, "joining", "ready") })
	return http.StatusAccepted
}

func (e *engine) become(g *group, from, to string) {
	e.mu.Lock()
	changed := e.group == g && g.State == from
	if changed {
		g.State = to
	}
	e.mu.Unlock()
	if changed {
		e.register()
	}
}

// standStill is called when the group of an open head has lost a member: nothing moves, and after some time it is broken.
func (e *engine) standStill(g *group) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.group != g || e.still {
		return
	}
	e.still = true
	note("engine %s: group %q epoch %d has lost a member and stands still", e.id, g.Name, g.Epoch)
	time.AfterFunc(stallTime, func() {
		note("engine %s: group %q epoch %d is broken", e.id, g.Name, g.Epoch)
		e.become(g, "open", "broken")
	})
}

// moves reports whether the engine goes on with its requests.
func (e *engine) moves() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.still
}

func (e *engine) handleRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if e.misdirected(w, r) {
		return
	}
	if e.domain != "" {
		e.mu.Lock()
		open := e.group != nil && e.group.State == "open"
		e.mu.Unlock()
		if !open {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	w.Header().Set("Response-Signature", "by-"+e.id)
	e.serve(e, w, r)
}

// onJoin is called with each join that an engine accepts, before its state changes. The engine's mutex is held.
var onJoin = func(e *engine, joined *group) {}

// serveStream answers with ten events, 20 ms apart, those after Last-Event-Id.
func serveStream(e *engine, w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id")))
	for number := last + 1; number <= 10; number++ {
		for !e.moves() {
			select {
			case <-time.After(20 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", number, number)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}
