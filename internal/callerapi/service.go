package callerapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/order"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

const (
	idempotencyHeader = "Idempotency-Key"
	retryServiceDown  = 2 * time.Second
)

// service passes a call on to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request, team config.Team) {
	service, call, refused := s.findCall(r)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	body, refused := s.readBody(r)
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), call.TimeoutSeconds.Duration())
	defer cancel()
	out := endpoint.ServiceCall{
		Method: r.Method,
		Path:   call.Path,
		Header: http.Header{"Content-Type": r.Header.Values("Content-Type")},
		Key:    r.Header.Get(idempotencyHeader),
		Body:   body,
	}
	var answer endpoint.ServiceAnswer
	if call.Idempotent {
		answer, refused = s.callIdempotent(ctx, service, out)
	} else {
		answer, refused = s.runOrder(ctx, team, service, call, out)
	}
	if refused != nil {
		s.refuse(w, refused)
		return
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set(refusal.OutcomeHeader, string(refusal.Done))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func (s *Server) findCall(r *http.Request) (config.Service, config.Call, *refusal.Refusal) {
	service, ok := s.Views.Load().Services[r.PathValue("name")]
	if !ok {
		return service, config.Call{}, refusal.New(refusal.UnknownService, 0, "service "+r.PathValue("name")+" is not configured")
	}
	path := "/" + r.PathValue("path")
	for _, call := range service.Calls {
		if call.Method == r.Method && call.Path == path {
			return service, call, nil
		}
	}
	return service, config.Call{}, refusal.New(refusal.UnknownService, 0, r.Method+" "+path+" of service "+service.Name+" is not configured")
}

// callIdempotent tries the endpoints of the own data centre first, then the
// others.
func (s *Server) callIdempotent(ctx context.Context, service config.Service, call endpoint.ServiceCall) (endpoint.ServiceAnswer, *refusal.Refusal) {
	ran := false
	for _, address := range s.addresses(service) {
		answer, err := s.Service.Call(ctx, address, call)
		if err == nil {
			return answer, nil
		}
		var unreachable *endpoint.UnreachableError
		ran = ran || !errors.As(err, &unreachable)
	}
	if ran {
		return endpoint.ServiceAnswer{}, refusal.NewUnknown(refusal.RetriesExhausted, retryServiceDown, "no endpoint of the service answered")
	}
	return endpoint.ServiceAnswer{}, refusal.New(refusal.ServiceDown, retryServiceDown, "no endpoint of the service can be reached")
}

func (s *Server) addresses(service config.Service) []string {
	var own, others []string
	for _, e := range service.Endpoints {
		if e.DataCentre == s.DataCentre {
			own = append(own, e.Address)
			continue
		}
		others = append(others, e.Address)
	}
	return append(own, others...)
}

func (s *Server) runOrder(ctx context.Context, team config.Team, service config.Service, call config.Call, out endpoint.ServiceCall) (endpoint.ServiceAnswer, *refusal.Refusal) {
	if out.Key == "" {
		return endpoint.ServiceAnswer{}, refusal.New(refusal.MissingKey, 0, "a call that is not idempotent needs the header "+idempotencyHeader)
	}
	for _, address := range s.addresses(service) {
		if !s.Service.Healthy(ctx, address) {
			continue
		}
		return s.Orders.Run(ctx, order.Order{
			Claim: order.Claim{
				Key:            order.NewKey(team.Name, service.Name, out.Key),
				BodyHash:       xxhash.Sum64(out.Body),
				Method:         out.Method,
				Path:           out.Path,
				DeadlineMillis: time.Now().Add(call.TimeoutSeconds.Duration()).UnixMilli(),
				LifetimeMillis: service.KeyLifetime.Duration().Milliseconds(),
			},
			Address: address,
			Call:    out,
		})
	}
	return endpoint.ServiceAnswer{}, refusal.New(refusal.ServiceDown, retryServiceDown, "no endpoint of the service can be reached")
}
