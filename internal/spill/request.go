// Package spill forwards requests to a daemon in another data centre when the
// local data centre cannot serve them.
package spill

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/request"
)

// Request is the wire form of a request that is forwarded to another data centre.
type Request struct {
	Attempt   string          `json:"attempt"`
	ID        string          `json:"id"`
	Team      fleet.TeamName  `json:"team"`
	Priority  int             `json:"priority"`
	Model     fleet.ModelName `json:"model"`
	Adapter   string          `json:"adapter"`
	Body      []byte          `json:"body"`
	MaxTokens int             `json:"max_tokens"`
	// RemainingMillis is the time until the deadline in milliseconds. It is
	// relative because the clocks of data centres differ.
	RemainingMillis int64 `json:"remaining_millis"`
}

func newRequest(req *request.Request, attempt string, now time.Time) Request {
	return Request{
		Attempt:         attempt,
		ID:              req.ID,
		Team:            req.Team,
		Priority:        req.Priority,
		Model:           req.Model,
		Adapter:         req.Adapter,
		Body:            req.Body,
		MaxTokens:       req.MaxTokens,
		RemainingMillis: req.Deadline.Sub(now).Milliseconds(),
	}
}

// received returns the request as the receiving data centre handles it.
func (r Request) received(now time.Time) *request.Request {
	return &request.Request{
		ID:          r.ID,
		Team:        r.Team,
		Priority:    r.Priority,
		Model:       r.Model,
		Adapter:     r.Adapter,
		Body:        r.Body,
		MaxTokens:   r.MaxTokens,
		Fingerprint: request.Fingerprint(r.Model, r.Adapter, r.Body),
		PrefixHash:  request.PrefixHash(r.Model, r.Adapter, r.Body),
		BlockHashes: request.BlockHashes(r.Model, r.Adapter, r.Body),
		PartHashes:  request.PartHashes(r.Model, r.Adapter, r.Body),
		Deadline:    now.Add(time.Duration(r.RemainingMillis) * time.Millisecond),
		Forwarded:   true,
	}
}
