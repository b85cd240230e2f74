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

// maxBufferedAnswerBytes is the maximum size of the text of an answer that is not streamed.
const maxBufferedAnswerBytes = 8 << 20

// bufferedSink collects the frames of an answer that is not streamed.
type bufferedSink struct {
	text      strings.Builder
	lastFrame endpoint.Frame
}

// Frame implements relay.Sink.
func (s *bufferedSink) Frame(frame endpoint.Frame) error {
	if s.text.Len()+len(frame.Text) > maxBufferedAnswerBytes {
		return &relay.AnswerTooLargeError{Limit: maxBufferedAnswerBytes}
	}
	s.text.WriteString(frame.Text)
	s.lastFrame = frame
	return nil
}

// Flush implements relay.Sink.
func (s *bufferedSink) Flush() error { return nil }

// Restart implements relay.Sink.
func (s *bufferedSink) Restart() bool {
	s.text.Reset()
	return true
}

func (s *Server) answerBuffered(ctx context.Context, w http.ResponseWriter, req *request.Request, format answerFormat, run runFunc) bool {
	sink := &bufferedSink{}
	if refused := run(ctx, req, sink); refused != nil {
		s.refuse(w, refused)
		return false
	}
	answer := format.full(newAnswerHead(req), sink.text.String(), sink.lastFrame.FinishReason, usageOf(sink.lastFrame))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(refusal.OutcomeHeader, string(refusal.Done))
	return json.NewEncoder(w).Encode(answer) == nil
}
