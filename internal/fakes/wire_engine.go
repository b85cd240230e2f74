package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// crashDelay is how long an engine reads a prompt before it crashes on it.
const crashDelay = 50 * time.Millisecond

const defaultLastEvent = 6 // of a stream

// WireEngine is a fake of an endpoint on the users' platform: it registers itself in
// the store, executes group orders, and serves streams while it is the head of an
// open group. Without a fabric domain it is a plain service.
type WireEngine struct {
	ID      string
	Service string
	Zone    string // data centre
	Domain  string // fabric domain; empty: a plain service
	Born    int64  // start time, Unix milliseconds

	server   *http.Server
	listener net.Listener
	log      *KeyedLog

	mu        sync.Mutex
	group     map[string]any
	models    []map[string]any
	sequence  int
	runs      map[string]int // number of runs by request ID
	stalled   bool           // streams send no more events, as after the loss of a member
	leaving   bool           // all answers announce that the engine is leaving
	hold      string         // Retry-After of a 503 that answers every request; empty: serve normally
	arrivals  []time.Time    // of requests
	limit     string         // named as its limit in all answers; empty: none
	cold      time.Time      // until when the engine is cold
	mute      bool           // neither entry nor answers say for how long the engine stays cold
	killed    bool
	padding   int                   // bytes added to each event
	lastEvent int                   // number of the last event of each stream
	crashOn   string                // ID of a prompt part on which the engine crashes as it begins to write; empty: none
	crashes   []time.Time           // when it has crashed on that part
	conns     map[net.Conn]struct{} // open connections
}

// Ran returns the number of runs of a request ID.
func (e *WireEngine) Ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// RequestsRun returns the IDs of the requests that have run.
func (e *WireEngine) RequestsRun() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Keys(e.runs))
}

// Stall stops the events of all streams; their connections stay open.
func (e *WireEngine) Stall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = true
}

// SetLastEvent sets the number of the last event of streams that begin from now on. An event takes
// 30 ms.
func (e *WireEngine) SetLastEvent(number int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastEvent = number
}

// PadEvents adds bytes to each event of streams that begin from now on.
func (e *WireEngine) PadEvents(bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.padding = bytes
}

// Announce makes all answers announce that the engine is leaving. Its entry stays as it is.
func (e *WireEngine) Announce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// HoldOff answers every request with a 503 that names a Retry-After; empty ends this.
func (e *WireEngine) HoldOff(retryAfter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hold = retryAfter
}

// NameLimit makes all answers name a limit of requests a second; empty ends this.
func (e *WireEngine) NameLimit(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// TurnCold makes the engine cold for a time. Its entry says so at once.
func (e *WireEngine) TurnCold(remaining time.Duration) {
	e.mu.Lock()
	e.cold = time.Now().Add(remaining)
	e.mu.Unlock()
	e.register()
}

// coldRemaining returns how long the engine stays cold. The caller holds mu.
func (e *WireEngine) coldRemaining() time.Duration { return max(time.Until(e.cold), 0) }

// Arrivals returns the number of requests that have arrived, rejected ones included.
func (e *WireEngine) Arrivals() int { return len(e.ArrivalTimes()) }

// ArrivalTimes returns when these requests arrived.
func (e *WireEngine) ArrivalTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// CrashOn makes the engine crash whenever it begins to write an answer to a request whose prompt
// has a part. It starts again at once, as a new incarnation without a group.
func (e *WireEngine) CrashOn(part string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashOn = part
}

// Crashes returns when the engine has crashed on a prompt part.
func (e *WireEngine) Crashes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.crashes)
}

func (e *WireEngine) trackConn(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, conn)
	}
}

// crash closes all connections and starts the engine again as a new incarnation.
func (e *WireEngine) crash() {
	e.mu.Lock()
	e.crashes = append(e.crashes, time.Now())
	e.group, e.models = nil, nil
	e.Born = max(time.Now().UnixMilli(), e.Born+1)
	e.sequence = 0
	for conn := range e.conns {
		_ = conn.Close()
	}
	e.mu.Unlock()
	e.register()
}

// crashesOn reports whether a request's prompt has the part on which the engine crashes.
func (e *WireEngine) crashesOn(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashOn == "" {
		return false
	}
	for entry := range strings.SplitSeq(r.Header.Get("Prompt-Prefix"), ",") {
		if id, _, _ := strings.Cut(entry, ":"); id == e.crashOn {
			return true
		}
	}
	return false
}

// Epoch returns the epoch of the engine's group, 0 if it is in none.
func (e *WireEngine) Epoch() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.group == nil {
		return 0
	}
	return e.group["epoch"].(uint64)
}

// Kill closes the engine's connections at once and removes its entry from the
// store.
func (e *WireEngine) Kill() {
	e.mu.Lock()
	e.killed = true
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

// register writes the engine's entry to the store, unless it was killed.
func (e *WireEngine) register() {
	e.mu.Lock()
	e.sequence++
	entry := e.state()
	entry["service"] = e.Service
	entry["address"] = e.listener.Addr().String()
	entry["zone"] = e.Zone
	entry["version"] = "v1"
	entry["slots"] = 8
	entry["state"] = "ready"
	if !e.mute {
		entry["cold_remaining_ms"] = e.coldRemaining().Milliseconds()
	}
	entry["sequence"] = e.sequence
	killed := e.killed
	e.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil || killed {
		return
	}
	_ = e.log.Put(context.Background(), "keyed.servers", keyed.Record{Key: e.ID, Value: value})
}

// state returns the fields that the entry and the report have in common. The
// caller holds mu.
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
	e.mu.Lock()
	leaving, limit, cold := e.leaving, e.limit, e.coldRemaining()
	e.mu.Unlock()
	if cold > 0 {
		w.Header().Set("Cold-Remaining-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
	}
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
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
		writeAnswer(w, http.StatusOK, state)
	case "/api/order":
		e.handleOrder(w, r)
	default:
		e.handleRequest(w, r)
	}
}

func (e *WireEngine) handleOrder(w http.ResponseWriter, r *http.Request) {
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
	status := e.applyOrder(order.Operation, order.Group, order.Model, order.Epoch, order.Members)
	e.mu.Unlock()
	e.register()
	w.WriteHeader(status)
}

// applyOrder executes a group order and returns the HTTP status of the answer. The
// caller holds mu.
func (e *WireEngine) applyOrder(operation, group, model string, epoch uint64, members []string) int {
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

// handleRequest answers a plain service's request with an echo of it, and an
// engine's request with the events after Last-Event-Id, up to the last one.
func (e *WireEngine) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	e.mu.Lock()
	e.arrivals = append(e.arrivals, time.Now())
	hold := e.hold
	if hold != "" {
		e.mu.Unlock()
		w.Header().Set("Retry-After", hold)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	open := e.Domain == "" || e.group != nil && e.group["state"] == "open"
	if open {
		e.runs[id]++
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
	if e.crashesOn(r) {
		time.Sleep(crashDelay)
		e.crash()
		return
	}
	e.mu.Lock()
	end, padding := e.lastEvent, strings.Repeat("x", e.padding)
	e.mu.Unlock()
	last, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id")))
	for number := last + 1; number <= end; number++ {
		e.mu.Lock()
		stalled := e.stalled
		e.mu.Unlock()
		if stalled {
			<-r.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d%s\n\n", number, number, padding)
		w.(http.Flusher).Flush()
		time.Sleep(30 * time.Millisecond)
	}
}
