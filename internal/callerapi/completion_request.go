package callerapi

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/heldbytes"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/request"
)

// deadlineHeader is the header with the caller's timeout in milliseconds.
const deadlineHeader = "Plantainmux-Timeout-Ms"

// maxDeadlineMillis is the maximum timeout of a request, one day.
const maxDeadlineMillis = 24 * 60 * 60 * 1000

// decodedCopies is how often the text of a body is copied while it is decoded.
const decodedCopies = 2

// adapterSeparator separates the name of a model from that of its adapter.
const adapterSeparator = ":"

// completionRequest holds the fields that the daemon reads from the body of a
// completion. The engine gets the body unchanged.
type completionRequest struct {
	Model               string        `json:"model"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"` // newer name of max_tokens
	request.Prompt
}

// newCompletion validates the body of a completion.
func (s *Server) newCompletion(r *http.Request, body []byte, team config.Team) (*request.Request, completionRequest, *refusal.Refusal) {
	var parsed completionRequest
	decoded := int64(decodedCopies * len(body))
	if err := s.Held.Hold(heldbytes.Requests, decoded); err != nil {
		return nil, parsed, outOfMemory(err)
	}
	defer s.Held.Release(heldbytes.Requests, decoded)
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, parsed, refusal.New(refusal.Malformed, 0, "the body is not valid JSON: "+err.Error())
	}
	name, adapter, _ := strings.Cut(parsed.Model, adapterSeparator)
	deadline, refused := s.deadline(r)
	if refused != nil {
		return nil, parsed, refused
	}
	req := &request.Request{
		ID:          uuid.NewString(),
		Team:        team.Name,
		Priority:    team.Priority,
		Model:       fleet.ModelName(name),
		Adapter:     adapter,
		Body:        body,
		MaxTokens:   cmp.Or(parsed.MaxTokens, parsed.MaxCompletionTokens),
		Fingerprint: request.Fingerprint(fleet.ModelName(name), adapter, body),
		PrefixHash:  request.PrefixHash(fleet.ModelName(name), adapter, body),
		BlockHashes: parsed.BlockHashes(fleet.ModelName(name), adapter),
		PartHashes:  parsed.PartHashes(fleet.ModelName(name), adapter),
		Deadline:    deadline,
	}
	parsed.Prompt = request.Prompt{} // copies of what is in the body
	return req, parsed, nil
}

func (s *Server) deadline(r *http.Request) (time.Time, *refusal.Refusal) {
	value := r.Header.Get(deadlineHeader)
	if value == "" {
		return time.Now().Add(s.DefaultDeadline), nil
	}
	millis, err := strconv.Atoi(value)
	if err != nil || millis <= 0 || millis > maxDeadlineMillis {
		return time.Time{}, refusal.New(refusal.Malformed, 0, deadlineHeader+" is not a number from 1 to "+strconv.Itoa(maxDeadlineMillis))
	}
	return time.Now().Add(time.Duration(millis) * time.Millisecond), nil
}
