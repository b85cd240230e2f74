package fakes

import (
	"net"
	"net/http"
	"strings"
	"time"
)

// crashDelay is how long an engine reads a prompt before it crashes on it.
const crashDelay = 50 * time.Millisecond

func (e *WireEngine) trackConn(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive, http.StateIdle:
		e.conns[conn] = state
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, conn)
	}
}

// Crash closes all connections and starts the engine again at once, as a new incarnation without a group.
func (e *WireEngine) Crash() {
	e.mu.Lock()
	e.crashes = append(e.crashes, time.Now())
	e.startIncarnation()
	for conn := range e.conns {
		_ = conn.Close()
	}
	e.mu.Unlock()
	e.register()
}

// startIncarnation gives the engine the state of a new process. The caller holds mu.
func (e *WireEngine) startIncarnation() {
	e.group, e.models, e.leaving, e.departed = nil, nil, false, time.Time{}
	e.Born = max(time.Now().UnixMilli(), e.Born+1)
	e.sequence, e.seenEpoch, e.members = 0, 0, nil
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
