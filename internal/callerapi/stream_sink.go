package callerapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/request"
)

// streamSink sends frames to the caller as server-sent events. The headers go
// out with the first frame, so that a request refused before it has a status.
type streamSink struct {
	w       http.ResponseWriter
	req     *request.Request
	form    answerForm
	started bool
}

// Frame implements relay.Sink.
func (s *streamSink) Frame(frame endpoint.Frame) error {
	s.start()
	chunk := s.form.chunk(s.req.ID, string(s.req.Model), frame.Text, frame.FinishReason)
	if err := s.event("", chunk); err != nil {
		return err
	}
	if !frame.Done {
		return nil
	}
	_, err := fmt.Fprint(s.w, "data: [DONE]\n\n")
	return err
}

func (s *streamSink) start() {
	if s.started {
		return
	}
	s.started = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Trailer", refusal.OutcomeHeader)
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) event(name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if name != "" {
		if _, err := fmt.Fprintf(s.w, "event: %s\n", name); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *Server) answerStream(ctx context.Context, w http.ResponseWriter, req *request.Request, form answerForm) {
	sink := &streamSink{w: w, req: req, form: form}
	refused := s.Relay.Run(ctx, req, sink)
	switch {
	case refused == nil:
		w.Header().Set(refusal.OutcomeHeader, string(refusal.Done))
	case !sink.started:
		s.refuse(w, refused)
	default:
		s.Metrics.Refused(refused.Reason)
		_ = sink.event("error", newErrorBody(refused))
		w.Header().Set(refusal.OutcomeHeader, string(refused.Outcome))
	}
}
