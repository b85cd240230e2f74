package order_test

import (
	"context"
	"net/http/httptrace"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// lateService is a service whose answer is found at a time, as by a process that has just gone on after a standstill.
type lateService struct{ at time.Time }

func (s *lateService) Call(ctx context.Context, address string, _ endpoint.ServiceCall) (endpoint.ServiceAnswer, error) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	select {
	case <-time.After(time.Until(s.at)):
		return endpoint.ServiceAnswer{Status: 201}, nil
	case <-ctx.Done():
		return endpoint.ServiceAnswer{}, &endpoint.BrokenError{Address: address, Err: ctx.Err()}
	}
}

func (s *lateService) Healthy(context.Context, string) bool { return true }
