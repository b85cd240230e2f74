package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// WireEngine is an endpoint as the users' platform has them: it enters itself
// into the store, takes orders, and serves streams as the head of an open group.
type WireEngine struct {
	ID      string
	Service string
	Domain  string // empty: a plain service
	Born    int64

	server   *http.Server
	listener net.Listener
	log      *KeyedLog

	mu     sync.Mutex
	group  map[string]any
	models []map[string]any
	beat   int
	ran    map[string]int // runs by request ID
	stall  bool           // streams stand still, as when a member is lost
	gone   bool
}

// StartWireEngine starts an engine on loopback and enters it into a store.
func StartWireEngine(log *KeyedLog, id, service, domain string) (*WireEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &WireEngine{ID: id, Service: service, Domain: domain, Born: time.Now().UnixMilli(), listener: listener, log: log, ran: map[string]int{}}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(listener) }()
	e.enter()
	return e, nil
}

// Ran returns how often a request ran.
func (e *WireEngine) Ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

// Stall makes the streams stand still.
func (e *WireEngine) Stall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stall = true
}

// Kill ends the engine at once and removes its entry.
func (e *WireEngine) Kill() {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	_ = e.server.Close()
	_ = e.log.Put(context.Background(), "keyed.servers", keyed.Record{Key: e.ID})
}

// Head reports whether the engine is the head of an open group.
func (e *WireEngine) Head() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group != nil && e.group["state"] == "open"
}

// enter writes the engine's entry.
func (e *WireEngine) enter() {
	e.mu.Lock()
	e.beat++
	entry := e.state()
	entry["service"] = e.Service
	entry["address"] = e.listener.Addr().String()
	entry["zone"] = "z"
	entry["version"] = "v1"
	entry["slots"] = 8
	entry["state"] = "ready"
	entry["cold_remaining_ms"] = 0
	entry["sequence"] = e.beat
	gone := e.gone
	e.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil || gone {
		return
	}
	_ = e.log.Put(context.Background(), "keyed.servers", keyed.Record{Key: e.ID, Value: value})
}

func (e *WireEngine) state() map[string]any {
	state := map[string]any{"born": e.Born, "models": e.models}
	if e.Domain != "" {
		state["domain"] = e.Domain
		state["staged"] = []string{"big"}
		state["group"] = e.group
	}
	return state
}

// ServeHTTP implements http.Handler.
func (e *WireEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if wanted := r.Header.Get("Expected-Instance"); wanted != "" && wanted != e.ID {
		w.Header().Set("Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		e.mu.Lock()
		state := e.state()
		e.mu.Unlock()
		answer(w, http.StatusOK, state)
	case "/api/order":
		e.obey(w, r)
	default:
		e.serve(w, r)
	}
}

func (e *WireEngine) obey(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation, Group, Model string
		Epoch                   uint64
		Members                 []string
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := e.carryOut(order.Operation, order.Group, order.Model, order.Epoch, order.Members)
	e.mu.Unlock()
	e.enter()
	w.WriteHeader(status)
}

func (e *WireEngine) carryOut(operation, group, model string, epoch uint64, members []string) int {
	switch operation {
	case "join":
		if e.group != nil && epoch < e.group["epoch"].(uint64) {
			return http.StatusPreconditionFailed
		}
		rank := 0
		for i, member := range members {
			if member == e.ID {
				rank = i
			}
		}
		e.group = map[string]any{"name": group, "epoch": epoch, "rank": rank, "state": "ready"}
		e.models = []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
	case "open", "close", "leave":
		if e.group == nil || e.group["name"] != group || e.group["epoch"] != epoch {
			return http.StatusConflict
		}
		switch operation {
		case "open":
			e.group["state"] = "open"
		case "close":
			e.group["state"] = "ready"
		default:
			e.group = nil
		}
	}
	return http.StatusAccepted
}

// serve answers with what it was asked, or with six events from the one after
// Last-Event-Id on.
func (e *WireEngine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	e.mu.Lock()
	open := e.Domain == "" || e.group != nil && e.group["state"] == "open"
	if open {
		e.ran[id]++
	}
	e.mu.Unlock()
	if !open {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Response-Signature", "signed-by-"+e.ID)
	if e.Domain == "" {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s tenant=%s key=%s body=%s", r.Method, r.RequestURI, r.Header.Get("Tenant"), r.Header.Get("Authorization"), body)
		return
	}
	e.stream(w, r)
}

func (e *WireEngine) stream(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id")))
	for number := last + 1; number <= 6; number++ {
		e.mu.Lock()
		stall := e.stall
		e.mu.Unlock()
		if stall {
			<-r.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", number, number)
		w.(http.Flusher).Flush()
		time.Sleep(30 * time.Millisecond)
	}
}
