package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

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
