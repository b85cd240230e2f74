package callerapi

import (
	"net/http"
	"strings"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/requestpath"
)

// Path and headers of a call of a service.
const (
	servicesPrefix    = "/v1/services/"
	idempotencyHeader = "Idempotency-Key"
	teamHeader        = "Plantainmux-Team" // the team whose idempotency key the service gets
)

// service forwards a call to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request, team config.Team) {
	declared, call, refused := s.findCall(r)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	body, release, refused := s.readBody(w, r)
	defer release()
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	answer, refused := s.Services.Call(r.Context(), team.Name, declared, call, serviceCall(r, team, call, body))
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	s.Evidence.AnswerDone(true)
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set(refusal.OutcomeHeader, string(refusal.Done))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func serviceCall(r *http.Request, team config.Team, call config.Call, body []byte) endpoint.ServiceCall {
	return endpoint.ServiceCall{
		Method: r.Method,
		Path:   call.Path,
		Header: http.Header{
			"Content-Type": r.Header.Values("Content-Type"),
			teamHeader:     []string{string(team.Name)},
		},
		Key:  r.Header.Get(idempotencyHeader),
		Body: body,
	}
}

func (s *Server) findCall(r *http.Request) (config.Service, config.Call, *refusal.Refusal) {
	service, ok := s.Views.Load().Services[r.PathValue("name")]
	if !ok {
		return service, config.Call{}, refusal.New(refusal.UnknownService, 0, "service "+r.PathValue("name")+" is not configured")
	}
	path := calledPath(r.RequestURI)
	for _, call := range service.Calls {
		if call.Method == r.Method && call.Path == path {
			return service, call, nil
		}
	}
	return service, config.Call{}, refusal.New(refusal.UnknownService, 0, r.Method+" "+path+" of service "+service.Name+" is not configured")
}

// calledPath returns the path of a call below /v1/services/NAME. An encoded slash stays encoded, as it is
// data.
func calledPath(target string) string {
	sent, _ := requestpath.Parse(target)
	_, path, _ := strings.Cut(strings.TrimPrefix(requestpath.Escapes.Read(sent), servicesPrefix), "/")
	return "/" + path
}
