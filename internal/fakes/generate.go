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

// generateBody is what the engine reads of a caller's request.
type generateBody struct {
	MaxTokens int `json:"max_tokens"`
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var request endpoint.GenerateRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, requestBodyLimit)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status, code := e.failing(request.Attempt)
	if status != 0 {
		e.noteAttempt(EventRejected, request)
		http.Error(w, "failing", status)
		return
	}
	if code == "" {
		code = e.refuse(request)
	}
	if code != "" {
		e.noteAttempt(EventRejected, request)
		writeJSON(w, http.StatusConflict, endpoint.EngineError{Code: code})
		return
	}
	a, ok := e.begin(r.Context(), request)
	if !ok {
		writeJSON(w, http.StatusConflict, endpoint.EngineError{Code: endpoint.CodeNoAttempt})
		return
	}
	e.stream(w, r, a, request)
}

func (e *Engine) refuse(request endpoint.GenerateRequest) string {
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

// begin starts an attempt, or finds the one to resume.
func (e *Engine) begin(ctx context.Context, request endpoint.GenerateRequest) (*attempt, bool) {
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
	e.note(EngineEvent{Kind: EventStart, Group: request.Group, Attempt: request.Attempt, Body: string(request.Body)})
	e.sampleLoad()
	go e.produce(context.WithoutCancel(ctx), a, request)
	return a, true
}

// produce generates the tokens of an attempt at the engine's pace.
func (e *Engine) produce(ctx context.Context, a *attempt, request endpoint.GenerateRequest) {
	if e.shouldCrash(request) {
		if wait.For(ctx, e.options.CrashAfter) && e.alive(a, request.Attempt) {
			e.crash(request)
		}
		return
	}
	tokens := e.tokensOf(request)
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
		if !wait.For(ctx, e.options.TokenDelay) || !e.alive(a, request.Attempt) {
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

// readPrompt reads a prompt into the cache. It returns what the answer tells of
// the cache and how many blocks were not held.
func (e *Engine) readPrompt(request endpoint.GenerateRequest) (events *endpoint.CacheEvents, missed int) {
	blocks := caller.Blocks(request.Model, request.Adapter, request.Body)
	if e.options.CacheBlocks == 0 {
		return nil, len(blocks)
	}
	faults := e.cacheFaults()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	missed = len(blocks) - e.prompts.Read(blocks, now)
	events = e.prompts.Published(request.CacheAfter, now.Add(-faults.CacheLag))
	if faults.CacheGap {
		loseOldest(events, len(events.Events)/2)
	}
	return events, missed
}

// enterBatch waits for a place in the batch. It returns false when the attempt
// ended meanwhile.
func (e *Engine) enterBatch(ctx context.Context, a *attempt, request endpoint.GenerateRequest) (leave func(), ok bool) {
	if e.batch == nil {
		return func() {}, true
	}
	place := e.batch.queue(request.Priority)
	leave = func() { e.batch.leave(place) }
	for {
		select {
		case <-place.entered:
			return leave, true
		case <-time.After(batchPoll):
		}
		if !e.alive(a, request.Attempt) || ctx.Err() != nil {
			leave()
			return nil, false
		}
	}
}

// Token returns the i-th token of the answer to a request's body. It depends on
// the body, so that an answer given to the wrong caller shows.
func Token(body []byte, i int) string {
	return fmt.Sprintf("%016x-%d ", xxhash.Sum64(body), i)
}

// Answer returns the whole answer to a request's body.
func Answer(body []byte, tokens int) string {
	text := ""
	for i := range tokens {
		text += Token(body, i)
	}
	return text
}

func (e *Engine) tokensOf(request endpoint.GenerateRequest) int {
	var body generateBody
	if json.Unmarshal(request.Body, &body) == nil && body.MaxTokens > 0 {
		return body.MaxTokens
	}
	if e.options.Tokens > 0 {
		return e.options.Tokens
	}
	return defaultTokens
}

// alive reports whether the attempt still belongs to the running engine.
func (e *Engine) alive(a *attempt, id string) bool {
	faults, changed := e.faultState()
	for faults.Frozen {
		<-changed
		faults, changed = e.faultState()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attempts[id] == a
}

func (e *Engine) faultState() (Faults, <-chan struct{}) { return e.Switches.load() }

func (e *Engine) finish(a *attempt, request endpoint.GenerateRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.done = true
	e.note(EngineEvent{Kind: EventFinish, Group: request.Group, Attempt: request.Attempt})
	e.sampleLoad()
	time.AfterFunc(resumeRetention, func() { e.forget(request.Attempt) })
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

// stream sends the frames of an attempt. A connection that ends does not cancel
// it.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *attempt, request endpoint.GenerateRequest) {
	faults := e.forConnection(request.Attempt)
	if faults.CutBefore < 0 {
		e.cut(request, faults)
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
				e.cut(request, faults)
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

// cut ends a connection without an end marker.
func (e *Engine) cut(request endpoint.GenerateRequest, faults StreamFaults) {
	if faults.Forget {
		e.forget(request.Attempt)
	}
	panic(http.ErrAbortHandler)
}

// crash ends the engine as a failing process would.
func (e *Engine) crash(request endpoint.GenerateRequest) {
	e.noteAttempt(EventCrash, request)
	e.forgetAll()
	if e.options.OnCrash != nil {
		e.options.OnCrash()
	}
}
