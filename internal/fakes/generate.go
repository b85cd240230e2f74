package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	caller "github.com/plantainmux/plantainmux/internal/request"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// generateBody holds the fields of a caller's request that the engine uses.
type generateBody struct {
	MaxTokens int `json:"max_tokens"`
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var request endpoint.GenerateRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, requestBodyLimit)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status, code := e.faultBeforeRun(request.Attempt)
	if status != 0 {
		e.addAttemptEvent(EventRejected, request)
		http.Error(w, "failing", status)
		return
	}
	if code == "" {
		code = e.refusalCode(request)
	}
	if code != "" {
		e.addAttemptEvent(EventRejected, request)
		writeJSON(w, http.StatusConflict, endpoint.EngineError{Code: code})
		return
	}
	a, ok := e.startOrResume(r.Context(), request)
	if !ok {
		writeJSON(w, http.StatusConflict, endpoint.EngineError{Code: endpoint.CodeNoAttempt})
		return
	}
	e.stream(w, r, a, request)
}

// refusalCode returns the code to refuse a request with, or an empty string.
func (e *Engine) refusalCode(request endpoint.GenerateRequest) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.report.Group != request.Group:
		return endpoint.CodeWrongGroup
	case e.report.State != fleet.EngineReady:
		return endpoint.CodeNotReady
	case e.report.Model != request.Model:
		return endpoint.CodeUnknownModel
	default:
		return ""
	}
}

// startOrResume starts an attempt or returns the existing one of the same ID. It
// returns false if the request resumes an attempt that the engine does not know.
func (e *Engine) startOrResume(ctx context.Context, request endpoint.GenerateRequest) (*attempt, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if running, ok := e.attempts[request.Attempt]; ok {
		return running, true
	}
	if request.ResumeFrom > 0 {
		return nil, false
	}
	a := newAttempt()
	e.attempts[request.Attempt] = a
	e.addEvent(EngineEvent{Kind: EventStart, Group: request.Group, Attempt: request.Attempt, Body: string(request.Body)})
	e.sampleLoad()
	go e.generate(context.WithoutCancel(ctx), a, request)
	return a, true
}

// generate adds the frames of an attempt, one every TokenDelay, until the answer
// is complete or the attempt is cancelled.
func (e *Engine) generate(ctx context.Context, a *attempt, request endpoint.GenerateRequest) {
	if e.shouldCrash(request) {
		if wait.For(ctx, e.options.CrashAfter) && e.waitRunning(a, request.Attempt) {
			e.crash(request)
		}
		return
	}
	tokens := e.tokenCount(request)
	leave, ok := e.enterBatch(ctx, a, request)
	if !ok {
		return
	}
	defer leave()
	cache, missed := e.readPrompt(request)
	if !wait.For(ctx, time.Duration(missed)*e.options.ReadDelay) {
		return
	}
	for i := range tokens {
		if !wait.For(ctx, e.options.TokenDelay) || !e.waitRunning(a, request.Attempt) {
			return
		}
		frame := endpoint.Frame{Attempt: request.Attempt, Index: i, Text: Token(request.Body, i)}
		if i == 0 {
			frame.Cache = cache
		}
		if e.options.OnFrame != nil {
			e.options.OnFrame(frame)
		}
		a.add(frame)
	}
	a.add(endpoint.Frame{
		Attempt: request.Attempt, Index: tokens, Done: true,
		FinishReason: "stop", PromptTokens: len(request.Body), OutputTokens: tokens,
	})
	e.finish(a, request)
}

// readPrompt adds a prompt to the prefix cache. It returns the cache events for the
// answer and the number of blocks that were not cached.
func (e *Engine) readPrompt(request endpoint.GenerateRequest) (events *endpoint.CacheEvents, missed int) {
	blocks := caller.BlockHashes(request.Model, request.Adapter, request.Body)
	if e.options.CacheBlocks == 0 {
		return nil, len(blocks)
	}
	faults := e.streamFaults()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	missed = len(blocks) - e.promptCache.Read(blocks, now)
	events = e.promptCache.Published(request.CacheAfter, now.Add(-faults.CacheLag))
	if faults.CacheGap {
		dropOldest(events, len(events.Events)/2)
	}
	return events, missed
}

// enterBatch waits for a place in the batch. It returns false if the attempt is
// cancelled meanwhile. The caller calls leave when the attempt ends.
func (e *Engine) enterBatch(ctx context.Context, a *attempt, request endpoint.GenerateRequest) (leave func(), ok bool) {
	if e.batch == nil {
		return func() {}, true
	}
	entry := e.batch.enqueue(request.Priority)
	leave = func() { e.batch.remove(entry) }
	for {
		select {
		case <-entry.entered:
			return leave, true
		case <-time.After(batchPollInterval):
		}
		if !e.waitRunning(a, request.Attempt) || ctx.Err() != nil {
			leave()
			return nil, false
		}
	}
}

// Token returns the i-th token of the answer to a request's body. It contains a
// hash of the body, so that tests detect an answer that reaches the wrong caller.
func Token(body []byte, i int) string {
	return fmt.Sprintf("%016x-%d ", xxhash.Sum64(body), i)
}

// Answer returns the complete text of the answer to a request's body.
func Answer(body []byte, tokens int) string {
	text := ""
	for i := range tokens {
		text += Token(body, i)
	}
	return text
}

func (e *Engine) tokenCount(request endpoint.GenerateRequest) int {
	var body generateBody
	if json.Unmarshal(request.Body, &body) == nil && body.MaxTokens > 0 {
		return body.MaxTokens
	}
	if e.options.Tokens > 0 {
		return e.options.Tokens
	}
	return defaultTokens
}

// waitRunning waits while the engine is frozen, then reports whether the attempt
// is still current: not cancelled, and not lost in a crash or reboot.
func (e *Engine) waitRunning(a *attempt, id string) bool {
	faults, changed := e.faultState()
	for faults.Frozen {
		<-changed
		faults, changed = e.faultState()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attempts[id] == a
}

func (e *Engine) faultState() (Faults, <-chan struct{}) { return e.FaultInjector.load() }

func (e *Engine) finish(a *attempt, request endpoint.GenerateRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.done = true
	e.addEvent(EngineEvent{Kind: EventFinish, Group: request.Group, Attempt: request.Attempt})
	e.sampleLoad()
	time.AfterFunc(attemptRetention, func() { e.forget(request.Attempt) })
}

func (e *Engine) forgetAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = map[string]*attempt{}
}

func (e *Engine) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.attempts, id)
}

// stream sends the frames of an attempt. A closed connection does not cancel the
// attempt.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *attempt, request endpoint.GenerateRequest) {
	faults := e.forConnection(request.Attempt)
	if faults.CutBefore < 0 {
		e.cutConnection(request, faults)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	writer := &frameWriter{w: w, faults: faults}
	from := request.ResumeFrom
	for {
		frames, more := a.from(from)
		for _, frame := range frames {
			if !writer.write(frame) {
				flush(w)
				e.cutConnection(request, faults)
			}
			if frame.Done {
				return
			}
		}
		from += len(frames)
		flush(w)
		if len(frames) > 0 {
			continue
		}
		select {
		case <-more:
		case <-r.Context().Done():
			return
		}
	}
}

func flush(w http.ResponseWriter) {
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}

// cutConnection aborts a connection without an end marker.
func (e *Engine) cutConnection(request endpoint.GenerateRequest, faults StreamFaults) {
	if faults.Forget {
		e.forget(request.Attempt)
	}
	panic(http.ErrAbortHandler)
}

// crash discards all attempts, as a crash of the process does, and calls OnCrash.
func (e *Engine) crash(request endpoint.GenerateRequest) {
	e.addAttemptEvent(EventCrash, request)
	e.forgetAll()
	if e.options.OnCrash != nil {
		e.options.OnCrash()
	}
}
