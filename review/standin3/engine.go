//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat    = 1200 * time.Millisecond
	healthPath   = "/health"
	reportPath   = "/api/report"
	usualWork    = 60 * time.Millisecond
	crashedFor   = 3 * time.Second
	keepAliveFor = 20 * time.Second
)

// arrival is a request that reached an engine.
type arrival struct {
	at       time.Time
	engine   string
	id, path string
}

// engine is one engine of a plain service. It registers itself in the store.
type engine struct {
	world   *world
	service string
	zone    string
	address string
	serve   func(e *engine, w http.ResponseWriter, r *http.Request) // what it does with a request that is meant for it; nil: answer

	mu       sync.Mutex
	id       string
	starts   int
	born     int64
	sequence int64
	state    string
	listener net.Listener
	conns    map[net.Conn]bool
	stop     chan struct{} // ends the heartbeats of this life
}

// addEngine adds an engine that runs.
func (w *world) addEngine(name, service, zone string) *engine {
	e := &engine{world: w, id: name, service: service, zone: zone, address: freeAddress()}
	e.start()
	return e
}

// start begins a life of the engine, under an id of its own.
func (e *engine) start() {
	if e.listener != nil {
		_ = e.listener.Close()
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		cannotRun("%v", err)
	}
	e.mu.Lock()
	e.starts++
	if e.starts > 1 {
		e.id = fmt.Sprintf("%s.%d", e.id, e.starts)
	}
	e.born, e.sequence, e.state = time.Now().UnixMilli(), 0, "ready"
	e.listener, e.conns, e.stop = listener, map[net.Conn]bool{}, make(chan struct{})
	stop := e.stop
	e.mu.Unlock()
	server := &http.Server{Handler: e, IdleTimeout: keepAliveFor, ConnState: e.observe}
	go func() { _ = server.Serve(listener) }()
	e.register()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				e.register()
			}
		}
	}()
}

func (e *engine) observe(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, conn)
	default:
	}
}

// register writes the engine's entry and returns when the store accepted it.
func (e *engine) register() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return e.world.store.putJSON(topicEngines, e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": 1, "slots": 64, "state": e.state, "cold_remaining_ms": 0,
		"sequence": e.sequence, "born": e.born,
	})
}

// drain reports that the engine is leaving and returns when the store accepted that.
func (e *engine) drain() time.Time {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	at := e.register()
	e.world.note("engine %s is draining, acknowledged", e.name())
	return at
}

func (e *engine) name() string {
	id, _ := e.life()
	return id
}

// life returns the id of the engine, and whether it has not crashed.
func (e *engine) life() (id string, alive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.stop:
		return e.id, false
	default:
		return e.id, true
	}
}

// crash ends the life of the engine: its connections are reset or, if it goes dark, stay silent for good, and its heartbeats
// end. It is back after a time.
func (e *engine) crash(dark bool) {
	e.mu.Lock()
	select {
	case <-e.stop:
		e.mu.Unlock()
		return
	default:
	}
	close(e.stop)
	if !dark { // the port of a dark one accepts connections, on which nothing is answered
		_ = e.listener.Close()
		for conn := range e.conns {
			reset(conn)
		}
	}
	id := e.id
	e.mu.Unlock()
	e.world.note("engine %s crashes", id)
	time.AfterFunc(3*heartbeat, func() { e.world.store.put(topicEngines, id, nil) })
	time.AfterFunc(crashedFor, e.start)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, alive := e.life()
	if !alive {
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case healthPath:
		w.Header().Set("Instance-Id", id)
		return
	case reportPath:
		reply(w, http.StatusOK, map[string]any{"stage": "both", "models": []string{}, "busy": false, "sequence": 0, "waiting_requests": 0, "running_requests": 0, "kv_used": 0, "kv_total": 0, "handles": 0})
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != id {
		w.Header().Set("Instance-Id", id)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.serve != nil {
		e.serve(e, w, r)
		return
	}
	e.answer(w, r, usualWork)
}

// answer reads the request, works and answers.
func (e *engine) answer(w http.ResponseWriter, r *http.Request, work time.Duration) {
	read, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	began := e.name()
	time.Sleep(work)
	if id, alive := e.life(); !alive || id != began {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "s."+r.Header.Get("Request-Id"))
	_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes\n", e.name(), r.Header.Get("Request-Id"), read)
}

// leave ends an engine that has drained: its entry is removed, its port refuses.
func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.stop)
	_ = e.listener.Close()
	e.world.store.put(topicEngines, e.id, nil)
}
