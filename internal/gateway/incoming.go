package gateway

import (
	"net/http"
	"time"
)

// Incoming is the head of a caller's request.
type Incoming struct {
	ID        string
	Method    string
	Target    string // path and query
	Path      string
	Host      string
	Header    http.Header
	Key       string        // of the caller's team; empty: none
	Patience  time.Duration // for which the caller waits; 0: not told
	Model     string
	Prompt    int // tokens; 0: not told
	LastEvent string
	Arrived   time.Time
}
