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
	defaultTokens     = 8                    // tokens of an answer
	attemptRetention  = 30 * time.Second     // how long a finished attempt can be resumed
	requestBodyLimit  = 1 << 20              // bytes
	batchPollInterval = 5 * time.Millisecond // between checks that a queued attempt was not cancelled
)

// Engine is a fake of the model engine on one VM.
type Engine struct {
	*FaultInjector
	streamFaultInjector
	options EngineOptions
	batch   *batch // nil if the batch is unbounded

	mu             sync.Mutex
	report         fleet.MemberReport
	highestFencing fleet.FencingNumber
	attempts       map[string]*attempt
	events         []EngineEvent
	loadSamples    []loadSample
	cancelLoad     context.CancelFunc
	promptCache    *PromptCache
}

// NewEngine returns an idle engine.
func NewEngine(options EngineOptions) *Engine {
	e := &Engine{FaultInjector: NewFaultInjector(), options: options}
	if options.MaxRunning > 0 {
		e.batch = newBatch(options.MaxRunning)
	}
	e.Reboot()
	return e
}

// Reboot discards all state but the recorded events and starts with a new boot ID,
// as a restarted process does.
func (e *Engine) Reboot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelLoad != nil {
		e.cancelLoad()
	}
	e.report = fleet.MemberReport{VM: e.options.VM, Boot: fleet.BootID(uuid.NewString()), State: fleet.EngineIdle}
	e.highestFencing = fleet.NoGroup
	e.attempts = map[string]*attempt{}
	e.loadSamples = nil
	e.promptCache = NewPromptCache(e.options.CacheBlocks)
	e.addEvent(EngineEvent{Kind: EventBoot})
}

// RecordEvent records an event that a test caused.
func (e *Engine) RecordEvent(kind string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addEvent(EngineEvent{Kind: kind, Group: e.report.Group})
}

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+endpoint.PathReport, e.withFaults(http.HandlerFunc(e.handleReport)))
	mux.Handle("POST "+endpoint.PathControl, e.withFaults(http.HandlerFunc(e.handleControl)))
	mux.Handle("POST "+endpoint.PathGenerate, e.withFaults(http.HandlerFunc(e.handleGenerate)))
	mux.Handle("DELETE "+endpoint.PathGenerate+"/{attempt}", e.withFaults(http.HandlerFunc(e.handleCancel)))
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

// SetReport overwrites the state, so that a test can make an engine report a false
// one.
func (e *Engine) SetReport(report fleet.MemberReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = report
}

// Events returns the events recorded so far, over all boots of the engine.
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
	if e.options.ChecksFencing && order.Fencing < e.highestFencing {
		e.addEvent(EngineEvent{Kind: EventRefused, Order: order})
		writeJSON(w, http.StatusConflict, endpoint.EngineError{Code: endpoint.CodeStaleFencing, Highest: e.highestFencing})
		return
	}
	e.highestFencing = max(e.highestFencing, order.Fencing)
	e.applyOrder(order)
	e.addEvent(EngineEvent{Kind: EventControl, Group: e.report.Group, Order: order})
	writeJSON(w, http.StatusOK, e.report)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("attempt")
	e.mu.Lock()
	defer e.mu.Unlock()
	if a, ok := e.attempts[id]; ok && !a.done {
		delete(e.attempts, id)
		e.addEvent(EngineEvent{Kind: EventCancel, Group: e.report.Group, Attempt: id})
		e.sampleLoad()
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyOrder joins or releases a group. The caller holds mu.
func (e *Engine) applyOrder(order endpoint.ControlOrder) {
	if order.Action == endpoint.Release {
		e.leaveGroup()
		return
	}
	if e.report.Group == order.Fencing {
		return
	}
	e.leaveGroup()
	e.report.Group = order.Fencing
	e.report.State = fleet.EngineLoading
	e.report.Model = order.Group.Model
	e.report.Version = order.Group.Version
	e.report.Adapters = order.Group.Adapters
	ctx, cancel := context.WithCancel(context.Background())
	e.cancelLoad = cancel
	go e.load(ctx, order.Fencing, e.report.Boot)
}

// leaveGroup cancels a load and makes the engine idle. The caller holds mu.
func (e *Engine) leaveGroup() {
	if e.cancelLoad != nil {
		e.cancelLoad()
		e.cancelLoad = nil
	}
	e.report.Group = fleet.NoGroup
	e.report.State = fleet.EngineIdle
	e.report.Model, e.report.Version, e.report.Adapters = "", "", nil
}

// load fetches the weights, then makes the engine ready unless it has left the
// group or rebooted meanwhile.
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

// fetchWeights loads the weights from the store and retries every 100 ms on
// failure. Without a store it waits for LoadTime. It returns false when ctx ends.
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

// addEvent records an event. The caller holds mu.
func (e *Engine) addEvent(event EngineEvent) {
	event.At = time.Now()
	event.VM = e.options.VM
	event.Boot = e.report.Boot
	e.events = append(e.events, event)
}

func (e *Engine) addAttemptEvent(kind string, request endpoint.GenerateRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addEvent(EngineEvent{Kind: kind, Group: request.Group, Attempt: request.Attempt, Body: string(request.Body)})
}

// shouldCrash reports whether a request contains the CrashOn text.
func (e *Engine) shouldCrash(request endpoint.GenerateRequest) bool {
	return e.options.CrashOn != "" && strings.Contains(string(request.Body), e.options.CrashOn)
}
