//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	rejoinTime    = 200 * time.Millisecond
	formTime      = 100 * time.Millisecond // from the order to open until the head serves
	stallTime     = 6 * time.Second        // stall_ms
	eventInterval = 60 * time.Millisecond
	lastEvent     = 10
	fabricPeriod  = 100 * time.Millisecond // between two looks of a head at its members
	earlyShare    = 10                     // before the first request loads take one tenth
	slots         = 26
)

type engineCommand struct {
	ID      string   `long:"id" required:"true"`
	Listen  string   `long:"listen" required:"true"`
	Store   string   `long:"store" required:"true"`
	Zone    string   `long:"zone" required:"true"`
	Domain  string   `long:"domain" required:"true"`
	Traffic string   `long:"traffic" required:"true" description:"file that is there once traffic has begun"`
	Record  string   `long:"record" required:"true"`
	Fabric  []string `long:"fabric" description:"ID=ADDRESS of each engine of the domain"`
	Models  []string `long:"model" description:"NAME=LOAD_MS,WARM_MS"`
}

// loadTimes are how long a model takes to load, from the weight store and from the host.
type loadTimes struct{ load, warm time.Duration }

// engine is one model engine.
type engine struct {
	engineCommand
	record *recorder
	born   int64
	fabric map[string]string // addresses by ID
	models map[string]loadTimes

	mu       sync.Mutex
	sequence int64 // of entries
	orders   int64
	group    string // empty: in none
	epoch    uint64
	members  []string
	state    string
	seen     uint64 // highest epoch of an order to join
	model    string // of the last group
	staged   string // the last model on the host
	change   int    // counts the memberships, so that what was begun for an earlier one has no effect
	running  int
	lostAt   time.Time // since when the head misses a member; zero: it does not
	dirty    chan struct{}
	listener net.Listener
	cutUntil time.Time
}

// Execute runs the engine.
func (c *engineCommand) Execute([]string) error {
	record, err := newRecorder(c.Record)
	if err != nil {
		return err
	}
	e := &engine{engineCommand: *c, record: record, born: time.Now().UnixMilli(), fabric: map[string]string{}, models: map[string]loadTimes{}, dirty: make(chan struct{}, 1)}
	for _, entry := range c.Fabric {
		id, address, _ := strings.Cut(entry, "=")
		e.fabric[id] = address
	}
	for _, entry := range c.Models {
		name, times, _ := strings.Cut(entry, "=")
		load, warm, _ := strings.Cut(times, ",")
		loadMS, _ := strconv.Atoi(load)
		warmMS, _ := strconv.Atoi(warm)
		e.models[name] = loadTimes{time.Duration(loadMS) * time.Millisecond, time.Duration(warmMS) * time.Millisecond}
	}
	go e.writeEntries()
	go e.watchMembers()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", e.serveReport)
	mux.HandleFunc("POST /api/order", e.serveOrder)
	mux.HandleFunc("GET /fabric", e.serveFabric)
	mux.HandleFunc("/", e.serveRequest)
	mux.HandleFunc("POST /standin/cut", e.serveCut) // by the script
	return e.serve(mux)
}

// serve accepts connections, but for the times in which the engine is cut off: new ones are refused then.
func (e *engine) serve(handler http.Handler) error {
	server := &http.Server{Handler: handler}
	for {
		listener, err := net.Listen("tcp", e.Listen)
		if err != nil {
			return err
		}
		e.mu.Lock()
		e.listener = listener
		e.mu.Unlock()
		_ = server.Serve(listener) // until the listener is closed
		for e.isCut() {
			time.Sleep(fabricPeriod)
		}
	}
}

// serveCut cuts the engine off from the store and from new connections for a time. Connections that are open go on, as
// does its link to the members of its group.
func (e *engine) serveCut(w http.ResponseWriter, r *http.Request) {
	length, err := time.ParseDuration(r.URL.Query().Get("for"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutUntil = time.Now().Add(length)
	_ = e.listener.Close()
}

func (e *engine) isCut() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.cutUntil)
}

func (e *engine) early() bool {
	_, err := os.Stat(e.Traffic)
	return err != nil
}

// loadTime returns how long a load takes now.
func (e *engine) loadTime(full time.Duration) time.Duration {
	if e.early() {
		return full / earlyShare
	}
	return full
}

// said is what an engine says of itself in its entry and its reports. The caller holds mu.
func (e *engine) said() map[string]any {
	said := map[string]any{"born": e.born, "domain": e.Domain, "models": []any{}, "staged": []string{}, "pace": 1.0}
	if e.model != "" {
		said["models"] = []any{map[string]any{"name": e.model, "version": 1, "adapters": []string{}}}
	}
	if e.staged != "" {
		said["staged"] = []string{e.staged}
	}
	if e.group != "" {
		said["group"] = map[string]any{"name": e.group, "epoch": e.epoch, "rank": slices.Index(e.members, e.ID), "state": e.state}
	}
	return said
}

// base returns the fields of an entry that every service has. The caller holds mu.
func (e *engine) base() map[string]any {
	return map[string]any{"service": "redactor", "address": e.Listen, "zone": e.Zone, "version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0, "sequence": e.sequence}
}

// writeEntries writes the entry at each heartbeat and after each change.
func (e *engine) writeEntries() {
	client := &http.Client{Timeout: time.Second}
	for {
		e.mu.Lock()
		e.sequence++
		entry := e.base()
		for name, value := range e.said() {
			entry[name] = value
		}
		e.mu.Unlock()
		value, _ := json.Marshal(entry)
		request, err := http.NewRequest(http.MethodPut, "http://"+e.Store+"/entries/"+e.ID, bytes.NewReader(value))
		if err == nil && !e.isCut() {
			if answer, err := client.Do(request); err == nil {
				_ = answer.Body.Close()
			}
		}
		select {
		case <-e.dirty:
		case <-time.After(heartbeat):
		}
	}
}

// changed has the entry written now.
func (e *engine) changed() {
	select {
	case e.dirty <- struct{}{}:
	default:
	}
}

// setState records a new state of the membership. The caller holds mu.
func (e *engine) setState(state string) {
	e.state = state
	e.record.add(event{Engine: e.ID, What: whatState, Group: e.group, Epoch: e.epoch, Head: e.members[0], Detail: state})
	e.changed()
}

// later calls do once a time has passed, unless the membership has changed by then.
func (e *engine) later(after time.Duration, do func()) {
	number := e.change
	time.AfterFunc(after, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.change == number {
			do()
		}
	})
}

// misdirected answers a call to another engine.
func (e *engine) misdirected(w http.ResponseWriter, r *http.Request) bool {
	wanted := r.Header.Get("Expected-Instance")
	if wanted == "" || wanted == e.ID {
		return false
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Instance-Id", e.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (e *engine) serveReport(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	e.mu.Lock()
	report := e.said()
	for name, value := range map[string]any{"stage": "both", "busy": e.state == "joining", "sequence": e.orders, "waiting_requests": 0, "running_requests": e.running, "kv_used": 0, "kv_total": 2470000, "handles": 0} {
		report[name] = value
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// serveFabric tells a head of which group this engine is a member.
func (e *engine) serveFabric(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(w, "%s %d", e.group, e.epoch)
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	e.mu.Lock()
	head, state, number := len(e.members) > 0 && e.members[0] == e.ID, e.state, e.change
	if e.group != "" && !head {
		e.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.group == "" || state != "open" || e.running >= slots {
		e.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.mu.Unlock()
	defer e.finishRequest()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Signature", "signed."+e.ID)
	w.Header().Set("Weight-Versions", "1")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := after + 1; id <= lastEvent; id++ {
		time.Sleep(eventInterval)
		for e.stands(number) {
			if r.Context().Err() != nil {
				return
			}
			time.Sleep(eventInterval)
		}
		if e.ended(number) || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
		_ = http.NewResponseController(w).Flush()
	}
}

// stands reports whether the work of a membership stands still for want of a member.
func (e *engine) stands(number int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.change == number && !e.lostAt.IsZero() && e.state != "broken"
}

// ended reports whether the work of a membership is cut off.
func (e *engine) ended(number int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.change != number || e.state == "broken"
}

func (e *engine) finishRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if e.running == 0 && e.state == "closing" {
		e.setState("ready")
	}
}

// watchMembers finds out whether the members of the group that this engine heads are there. Without one of them
// the group stands still, and is broken after the stall.
func (e *engine) watchMembers() {
	client := &http.Client{Timeout: 3 * fabricPeriod}
	for range time.Tick(fabricPeriod) {
		e.mu.Lock()
		heads := len(e.members) > 0 && e.members[0] == e.ID && (e.state == "open" || e.state == "closing")
		group, epoch, members, number := e.group, e.epoch, e.members, e.change
		e.mu.Unlock()
		if !heads {
			continue
		}
		missing := ""
		for _, member := range members[1:] {
			if !e.isMember(client, member, group, epoch) {
				missing = member
			}
		}
		e.mu.Lock()
		if e.change == number {
			e.observeMissing(missing)
		}
		e.mu.Unlock()
	}
}

func (e *engine) isMember(client *http.Client, member, group string, epoch uint64) bool {
	answer, err := client.Get("http://" + e.fabric[member] + "/fabric")
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	var itsGroup string
	var itsEpoch uint64
	_, err = fmt.Fscan(answer.Body, &itsGroup, &itsEpoch)
	return err == nil && itsGroup == group && itsEpoch == epoch
}

// observeMissing records that a member is missing, or that none is. The caller holds mu.
func (e *engine) observeMissing(missing string) {
	switch {
	case missing == "":
		e.lostAt = time.Time{}
	case e.lostAt.IsZero():
		e.lostAt = time.Now()
		e.record.add(event{Engine: e.ID, What: "stands still", Group: e.group, Epoch: e.epoch, Detail: "without " + missing})
	case time.Since(e.lostAt) >= stallTime && e.state != "broken":
		e.setState("broken")
	}
}
