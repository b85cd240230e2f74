package fakes

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

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
	half := 0
	open := e.Domain == "" || e.group != nil && e.group["state"] == "open"
	if open {
		e.runs[id]++
		half = e.takeHalf()
	}
	e.mu.Unlock()
	if !open {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if half > 0 {
		_, _ = io.Copy(io.Discard, r.Body)
		answerHalf(w, half)
		return
	}
	w.Header().Set("Response-Signature", "signed-by-"+e.ID)
	if e.Domain == "" {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			e.recordWhole(id)
		}
		select {
		case <-time.After(e.workTime()):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s tenant=%s key=%s body=%s", r.Method, r.RequestURI, r.Header.Get("Tenant"), r.Header.Get("Authorization"), body)
		return
	}
	e.stream(w, r)
}

func (e *WireEngine) stream(w http.ResponseWriter, r *http.Request) {
	if e.crashesOn(r) {
		time.Sleep(crashDelay)
		e.Crash()
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
		if !e.silence.waitWhileFrozen(r) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d%s\n\n", number, number, padding)
		w.(http.Flusher).Flush()
		time.Sleep(30 * time.Millisecond)
	}
}
