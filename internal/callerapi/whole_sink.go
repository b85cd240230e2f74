package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/request"
)

// wholeSink collects the frames of an answer that is sent in one piece.
type wholeSink struct {
	text strings.Builder
	last endpoint.Frame
}

// Frame implements relay.Sink.
func (s *wholeSink) Frame(frame endpoint.Frame) error {
	s.text.WriteString(frame.Text)
	s.last = frame
	return nil
}

func (s *wholeSink) usage() usage {
	return usage{
		PromptTokens:     s.last.PromptTokens,
		CompletionTokens: s.last.OutputTokens,
		TotalTokens:      s.last.PromptTokens + s.last.OutputTokens,
	}
}

func (s *Server) answerWhole(ctx context.Context, w http.ResponseWriter, req *request.Request, form answerForm) {
	sink := &wholeSink{}
	if refused := s.Relay.Run(ctx, req, sink); refused != nil {
		s.refuse(w, refused)
		return
	}
	answer := form.whole(req.ID, string(req.Model), sink.text.String(), sink.last.FinishReason, sink.usage())
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(refusal.OutcomeHeader, string(refusal.Done))
	_ = json.NewEncoder(w).Encode(answer)
}
