package callerapi

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/request"
)

const (
	// writeTimeout is how long a caller may leave one write unread.
	writeTimeout = 5 * time.Second
	// heldBytes bounds what is held back before it is sent.
	heldBytes  = 16 << 10
	eventStart = "data: "
	eventEnd   = "\n\n"
	endMarker  = eventStart + "[DONE]" + eventEnd
)

// streamSink sends frames to the caller as server-sent events. The headers go
// out with the first bytes, so that a request refused before has a status.
type streamSink struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	encoder      *chunkEncoder
	held         bytes.Buffer
	writeTimeout time.Duration
	tellsUsage   bool // before the end marker
	started      bool
}

func (s *Server) newStreamSink(w http.ResponseWriter, req *request.Request, form answerForm) (*streamSink, error) {
	encoder, err := newChunkEncoder(form, newAnswerHead(req))
	if err != nil {
		return nil, err
	}
	return &streamSink{
		w:            w,
		controller:   http.NewResponseController(w),
		encoder:      encoder,
		writeTimeout: cmp.Or(s.WriteTimeout, writeTimeout),
	}, nil
}

// Frame implements relay.Sink.
func (s *streamSink) Frame(frame endpoint.Frame) error {
	s.held.WriteString(eventStart)
	if err := s.encoder.encode(&s.held, frame.Text, frame.FinishReason); err != nil {
		return err
	}
	s.held.WriteString(eventEnd)
	if frame.Done {
		if err := s.end(frame); err != nil {
			return err
		}
	}
	if s.held.Len() < heldBytes {
		return nil
	}
	return s.Flush()
}

// end holds what follows the last frame.
func (s *streamSink) end(last endpoint.Frame) error {
	if s.tellsUsage {
		s.held.WriteString(eventStart)
		if err := s.encoder.end(&s.held, usageOf(last)); err != nil {
			return err
		}
		s.held.WriteString(eventEnd)
	}
	s.held.WriteString(endMarker)
	return nil
}

// Flush implements relay.Sink. A caller that does not read blocks it for a
// bounded time and no memory beyond the buffers.
func (s *streamSink) Flush() error {
	s.start()
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	_, err := s.w.Write(s.held.Bytes())
	s.held.Reset()
	if err != nil {
		return err
	}
	return s.controller.Flush()
}

// Restart implements relay.Sink.
func (s *streamSink) Restart() bool {
	if s.started {
		return false
	}
	s.held.Reset()
	s.encoder.restart()
	return true
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

// fail ends a started stream with an error event.
func (s *streamSink) fail(refused *refusal.Refusal) {
	s.held.WriteString("event: error\n" + eventStart)
	if encodeJSON(&s.held, newErrorBody(refused)) == nil {
		s.held.WriteString(eventEnd)
		_ = s.Flush()
	}
}

// answerStream returns whether the caller got the whole answer.
func (s *Server) answerStream(ctx context.Context, w http.ResponseWriter, req *request.Request, form answerForm, options streamOptions, run runFunc) bool {
	sink, err := s.newStreamSink(w, req, form)
	if err != nil {
		s.refuse(w, refusal.New(refusal.Malformed, 0, "the request cannot be answered as a stream"))
		return false
	}
	sink.tellsUsage = options.IncludeUsage
	refused := run(ctx, req, sink)
	switch {
	case refused == nil:
		w.Header().Set(refusal.OutcomeHeader, string(refusal.Done))
	case !sink.started:
		s.refuse(w, refused)
	default:
		s.Metrics.Refused(refused.Reason)
		s.Evidence.Refused(refused)
		sink.fail(refused)
		w.Header().Set(refusal.OutcomeHeader, string(refused.Outcome))
	}
	_ = sink.controller.SetWriteDeadline(time.Time{})
	return refused == nil
}
