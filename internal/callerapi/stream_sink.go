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
	// writeTimeout is the default timeout of one write to a caller.
	writeTimeout = 5 * time.Second
	// flushThresholdBytes is the size of the buffer from which on it is flushed.
	flushThresholdBytes = 16 << 10
	eventStart          = "data: "
	eventEnd            = "\n\n"
	endMarker           = eventStart + "[DONE]" + eventEnd
)

// streamSink sends frames to the caller as server-sent events. The headers are sent with
// the first flush, so that a request that is refused before gets an error status.
type streamSink struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	encoder      *chunkEncoder
	buffer       bytes.Buffer
	writeTimeout time.Duration
	includeUsage bool // send the token usage before the end marker
	started      bool
}

func (s *Server) newStreamSink(w http.ResponseWriter, req *request.Request, format answerFormat) (*streamSink, error) {
	encoder, err := newChunkEncoder(format, newAnswerHead(req))
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
	s.buffer.WriteString(eventStart)
	if err := s.encoder.encode(&s.buffer, frame.Text, frame.FinishReason); err != nil {
		return err
	}
	s.buffer.WriteString(eventEnd)
	if frame.Done {
		if err := s.finish(frame); err != nil {
			return err
		}
	}
	if s.buffer.Len() < flushThresholdBytes {
		return nil
	}
	return s.Flush()
}

// finish buffers the events that follow the last frame.
func (s *streamSink) finish(lastFrame endpoint.Frame) error {
	if s.includeUsage {
		s.buffer.WriteString(eventStart)
		if err := s.encoder.encodeUsage(&s.buffer, usageOf(lastFrame)); err != nil {
			return err
		}
		s.buffer.WriteString(eventEnd)
	}
	s.buffer.WriteString(endMarker)
	return nil
}

// Flush implements relay.Sink. A caller that does not read blocks it for at most
// writeTimeout, and uses no memory beyond the buffers.
func (s *streamSink) Flush() error {
	s.start()
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	_, err := s.w.Write(s.buffer.Bytes())
	s.buffer.Reset()
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
	s.buffer.Reset()
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
	s.buffer.WriteString("event: error\n" + eventStart)
	if encodeJSON(&s.buffer, newErrorBody(refused)) == nil {
		s.buffer.WriteString(eventEnd)
		_ = s.Flush()
	}
}

// answerStream runs a request and streams its answer. It reports whether the caller got
// the complete answer.
func (s *Server) answerStream(ctx context.Context, w http.ResponseWriter, req *request.Request, format answerFormat, options streamOptions, run runFunc) bool {
	sink, err := s.newStreamSink(w, req, format)
	if err != nil {
		s.refuse(w, refusal.New(refusal.Malformed, 0, "the request cannot be answered as a stream"))
		return false
	}
	sink.includeUsage = options.IncludeUsage
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
