package callerapi

import (
	"context"
	"net/http"

	"github.com/plantainmux/plantainmux/internal/admit"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/relay"
	"github.com/plantainmux/plantainmux/internal/request"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

func (s *Server) completions(w http.ResponseWriter, r *http.Request, team config.Team) {
	s.complete(w, r, team, textFormat{})
}

func (s *Server) chatCompletions(w http.ResponseWriter, r *http.Request, team config.Team) {
	s.complete(w, r, team, chatFormat{})
}

// complete admits a completion, runs it and sends the answer.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, team config.Team, format answerFormat) {
	body, release, refused := s.readBody(w, r)
	defer release()
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	req, parsed, refused := s.newCompletion(r, body, team)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	if refused := s.checkModel(req); refused != nil {
		s.refuse(w, refused)
		return
	}
	if subject := suspect.Of(req); s.Relay.Suspects.Standing(subject) == suspect.Refused && !s.Relay.Suspects.TrialDue(subject) {
		s.refuse(w, refusal.New(refusal.CrashSuspect, 0, "the request crashed endpoints"))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	answered := false
	admission, refused := s.Gate.Admit(ctx, req)
	if refused != nil && refused.Reason != refusal.Overloaded {
		s.refuse(w, refused)
		return
	}
	if refused == nil {
		defer func() { admission.Done(answered) }()
	}
	run := s.newRunFunc(admission, refused)
	if parsed.Stream {
		answered = s.answerStream(ctx, w, req, format, parsed.StreamOptions, run)
		return
	}
	answered = s.answerBuffered(ctx, w, req, format, run)
}

// runFunc runs a request and passes its answer to sink.
type runFunc func(ctx context.Context, req *request.Request, sink relay.Sink) *refusal.Refusal

// newRunFunc returns the function that runs a request: in this data centre, or in
// another one if overloaded is set.
func (s *Server) newRunFunc(admission *admit.Admission, overloaded *refusal.Refusal) runFunc {
	if overloaded == nil {
		return func(ctx context.Context, req *request.Request, sink relay.Sink) *refusal.Refusal {
			return s.Relay.Run(ctx, req, sink, admission)
		}
	}
	return func(ctx context.Context, req *request.Request, sink relay.Sink) *refusal.Refusal {
		return s.Relay.RunRemote(ctx, req, sink, overloaded)
	}
}

func (s *Server) checkModel(req *request.Request) *refusal.Refusal {
	model, ok := s.Views.Load().Model(req.Model)
	if !ok {
		return refusal.New(refusal.UnknownModel, 0, "model "+string(req.Model)+" is not configured")
	}
	if req.Adapter == "" {
		return nil
	}
	for _, adapter := range model.Adapters {
		if adapter == req.Adapter {
			return nil
		}
	}
	return refusal.New(refusal.UnknownModel, 0, "adapter "+req.Adapter+" of model "+string(req.Model)+" is not configured")
}
