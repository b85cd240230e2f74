package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	defaultTokens    = 8
	resumeRetention  = 30 * time.Second
	requestBodyLimit = 1 << 20 // bytes
	batchPoll        = 5 * time.Millisecond
)

// Engine is the stand-in of the model engine on one VM.
type Engine struct {
	*Switches
	streamSwitches
	options EngineOptions
	batch   *batch // nil is no bound

	mu       sync.Mutex
	report   fleet.MemberReport
	highest  fleet.FencingNumber
	attempts map[string]*attempt
	events   []EngineEvent
	lagged   []loadSample
	loadStop context.CancelFunc
	prompts  *PromptCache
}

// NewEngine returns an idle engine.
func NewEngine(options EngineOptions) *Engine {
	e := &Engine{Switches: NewSwitches(), options: options}
	if options.MaxRunning > 0 {
		e.batch = newBatch(options.MaxRunning)
	}
	e.Reboot()
	return e
}

// Reboot loses all state and begins a new boot, as a restarted process does.
func (e *Engine) Reboot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loadStop != nil {
		e.loadStop()
	}
	e.report = fleet.MemberReport{VM: e.options.VM, Boot: fleet.BootID(uuid.NewString()), State: fleet.EngineIdle}
	e.highest = fleet.NoGroup
	e.attempts = map[string]*attempt{}
	e.lagged = nil
	e.prompts = NewPromptCache(e.options.CacheBlocks)
	e.note(EngineEvent{Kind: EventBoot})
}

// Note records an event that a test brought about.
func (e *Engine) Note(kind string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.note(EngineEvent{Kind: kind, Group: e.report.Group})
}

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+endpoint.PathReport, e.wrap(http.HandlerFunc(e.handleReport)))
	mux.Handle("POST "+endpoint.PathControl, e.wrap(http.HandlerFunc(e.handleControl)))
	mux.Handle("POST "+endpoint.PathGenerate, e.wrap(http.HandlerFunc(e.handleGenerate)))
	mux.Handle("DELETE "+endpoint.PathGenerate+"/{attempt}", e.wrap(http.HandlerFunc(e.handleCancel)))
	mux.HandleFunc("POST "+pathFaults, e.handleFaults)
	mux.HandleFunc("GET "+PathEvents, e.handleEvents)
	return mux
}

// Report returns the engine's state, without lag.
func (e *Engine) Report() fleet.MemberReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report
}

// SetReport overwrites the state, so that a test can make an engine lie.
func (e *Engine) SetReport(report fleet.MemberReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = report
}

// Events returns what was asked of the engine so far, over all its boots.
func (e *Engine) Events() []EngineEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]EngineEvent(nil), e.events...)
}

func (e *Engine) handleEvents(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Events())
}

func (e *Engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.report
	report.Running, report.Waiting = e.laggedLoad(time.Now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) handleControl(w http.ResponseWriter, r *http.Request) {
	var order endpoint.ControlOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && order.Fencing < e.highest {
		e.note(EngineEvent{Kind: EventRefused, Order: order})
		writeJSON(w, http.StatusConflict, endpoint.EngineError{Code: endpoint.CodeStaleFencing, Highest: e.highest})
		return
	}
	e.highest = max(e.highest, order.Fencing)
	e.obey(order)
	e.note(EngineEvent{Kind: EventControl, Group: e.report.Group, Order: order})
	writeJSON(w, http.StatusOK, e.report)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("attempt")
	e.mu.Lock()
	defer e.mu.Unlock()
	if a, ok := e.attempts[id]; ok && !a.done {
		delete(e.attempts, id)
		e.note(EngineEvent{Kind: EventCancel, Group: e.report.Group, Attempt: id})
		e.sampleLoad()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) obey(order endpoint.ControlOrder) {
	if order.Action == endpoint.Release {
		e.leave()
		return
	}
	if e.report.Group == order.Fencing {
		return
	}
	e.leave()
	e.report.Group = order.Fencing
	e.report.State = fleet.EngineLoading
	e.report.Model = order.Group.Model
	e.report.Version = order.Group.Version
	e.report.Adapters = order.Group.Adapters
	ctx, cancel := context.WithCancel(context.Background())
	e.loadStop = cancel
	go e.load(ctx, order.Fencing, e.report.Boot)
}

func (e *Engine) leave() {
	if e.loadStop != nil {
		e.loadStop()
		e.loadStop = nil
	}
	e.report.Group = fleet.NoGroup
	e.report.State = fleet.EngineIdle
	e.report.Model, e.report.Version, e.report.Adapters = "", "", nil
}

// load fetches the weights, then makes the engine ready unless it left.
func (e *Engine) load(ctx context.Context, group fleet.FencingNumber, boot fleet.BootID) {
	if !e.fetchWeights(ctx) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.report.Group == group && e.report.Boot == boot {
		e.report.State = fleet.EngineReady
	}
}

func (e *Engine) fetchWeights(ctx context.Context) bool {
	if e.options.WeightStore == "" {
		return wait.For(ctx, e.options.LoadTime)
	}
	report := e.Report()
	url := fmt.Sprintf("%s/weights/%s/%s", e.options.WeightStore, report.Model, report.Version)
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return false
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			return true
		}
		if !wait.For(ctx, 100*time.Millisecond) {
			return false
		}
	}
}

// note records an event. The caller holds mu.
func (e *Engine) note(event EngineEvent) {
	event.At = time.Now()
	event.VM = e.options.VM
	event.Boot = e.report.Boot
	e.events = append(e.events, event)
}

func (e *Engine) noteAttempt(kind string, request endpoint.GenerateRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.note(EngineEvent{Kind: kind, Group: request.Group, Attempt: request.Attempt, Body: string(request.Body)})
}

// shouldCrash reports whether a request is the one that crashes the engine.
func (e *Engine) shouldCrash(request endpoint.GenerateRequest) bool {
	return e.options.CrashOn != "" && strings.Contains(string(request.Body), e.options.CrashOn)
}
