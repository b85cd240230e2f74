package gateway

import (
	"net/http"
	"time"
)

// Incoming is the head of a caller's request.
type Incoming struct {
	ID           string
	Method       string
	Target       string // path and query, as sent
	Host         string
	Header       http.Header
	APIKey       string        // identifies the caller's team; empty: none
	Timeout      time.Duration // how long the caller waits; 0: not given
	Model        string
	PromptTokens int      // 0: not given
	OutputTokens int      // the caller's estimate; 0: not given
	PromptParts  []uint64 // IDs of the parts of the prompt that other requests may share, in order
	LastEvent    string
	Arrived      time.Time
}
