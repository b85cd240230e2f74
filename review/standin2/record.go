//go:build review

package main

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// event is a line that an engine, a caller or a script records.
type event struct {
	At       int64  `json:"at_ms"` // Unix milliseconds
	Engine   string `json:"engine,omitempty"`
	What     string `json:"what"`
	Group    string `json:"group,omitempty"`
	Epoch    uint64 `json:"epoch"`
	Head     string `json:"head,omitempty"`
	OldGroup string `json:"old_group,omitempty"` // that a join replaces
	OldEpoch uint64 `json:"old_epoch"`
	OldHead  string `json:"old_head,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// What is recorded of an engine.
const (
	whatJoined = "joined" // an order to join was accepted
	whatState  = "state"  // of the engine as a member; Detail is the state
	whatLeft   = "left"
	whatPaused = "paused" // by the script

	whatArrived = "arrived" // a request; Detail is its ID
	whatGone    = "gone"    // the store has acknowledged that the engine's entry is removed
)

// recorder appends events to a file.
type recorder struct {
	mu   sync.Mutex
	file *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return &recorder{file: file}, err
}

func (r *recorder) add(e event) {
	if e.At == 0 {
		e.At = time.Now().UnixMilli()
	}
	line, err := json.Marshal(e)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.Write(append(line, '\n'))
}
