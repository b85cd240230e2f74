package fakes

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

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

// crash discards all attempts, as a crash of the process does, and calls OnCrash.
func (e *Engine) crash(request endpoint.GenerateRequest) {
	e.addAttemptEvent(EventCrash, request)
	e.forgetAll()
	if e.options.OnCrash != nil {
		e.options.OnCrash()
	}
}
