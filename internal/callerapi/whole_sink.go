package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/relay"
	"github.com/plantainmux/plantainmux/internal/request"
)

// maxWholeAnswerBytes is the maximum size of the text of an answer that is not streamed.
const maxWholeAnswerBytes = 8 << 20

// wholeSink collects the frames of an answer that is not streamed.
type wholeSink struct {
	text strings.Builder
	last endpoint.Frame
}

// Frame implements relay.Sink.
func (s *wholeSink) Frame(frame endpoint.Frame) error {
	if s.text.Len()+len(frame.Text) > maxWholeAnswerBytes {
		return &relay.AnswerTooLargeError{Limit: maxWholeAnswerBytes}
	}
	s.text.WriteString(frame.Text)
	s.last = frame
	return nil
}

// Flush implements relay.Sink.
func (s *wholeSink) Flush() error { return nil }

// Restart implements relay.Sink.
func (s *wholeSink) Restart() bool {
	s.text.Reset()
	return true
}

func (s *Server) answerWhole(ctx context.Context, w http.ResponseWriter, req *request.Request, form answerForm, run runFunc) bool {
	sink := &wholeSink{}
	if refused := run(ctx, req, sink); refused != nil {
		s.refuse(w, refused)
		return false
	}
	answer := form.whole(newAnswerHead(req), sink.text.String(), sink.last.FinishReason, usageOf(sink.last))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(refusal.OutcomeHeader, string(refusal.Done))
	return json.NewEncoder(w).Encode(answer) == nil
}
