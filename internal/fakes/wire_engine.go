package fakes

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

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

	listen   func(address string) (net.Listener, error)
	hearing  *Hearing // nil: it always reads
	server   *http.Server
	listener net.Listener
	log      *KeyedLog
	silence  *FaultInjector // Frozen holds requests and the events of streams

	mu        sync.Mutex
	group     map[string]any
	members   []string // of the last group
	seenEpoch uint64   // the highest of a join in this life
	models    []map[string]any
	sequence  int
	runs      map[string]int // number of runs by request ID
	work      time.Duration  // a plain service works on each request
	stalled   bool           // streams send no more events, as after the loss of a member
	leaving   bool           // all answers announce that the engine is leaving
	hold      string         // Retry-After of a 503 that answers every request; empty: serve normally
	arrivals  []time.Time    // of requests
	limit     string         // named as its limit in all answers; empty: none
	cold      time.Time      // until when the engine is cold
	mute      bool           // neither entry nor answers say for how long the engine stays cold
	killed    bool
	padding   int                         // bytes added to each event
	lastEvent int                         // number of the last event of each stream
	crashOn   string                      // ID of a prompt part on which the engine crashes as it begins to write; empty: none
	crashes   []time.Time                 // when it has crashed on that part
	conns     map[net.Conn]http.ConnState // open connections
	halves    int                         // requests that get half a head for an answer
	whole     map[string][]time.Time      // when requests to a plain service had arrived whole, by ID
	departed  time.Time                   // when this life announced in its entry that it leaves; zero: not
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

// Head reports whether the engine is the head of an open group.
func (e *WireEngine) Head() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group != nil && e.group["state"] == "open"
}

// ServeHTTP implements http.Handler.
func (e *WireEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.silence.waitWhileFrozen(r) {
		return
	}
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
