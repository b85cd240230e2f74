package service_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/order"
	"github.com/plantainmux/plantainmux/internal/service"
)

// lateAnswers answers calls and orders after a time, as found by a process that has just gone on after a standstill.
type lateAnswers struct {
	after time.Duration
	asked atomic.Int32
}

func (s *lateAnswers) wait(ctx context.Context) error {
	s.asked.Add(1)
	select {
	case <-time.After(s.after):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *lateAnswers) Call(ctx context.Context, address string, _ endpoint.ServiceCall) (endpoint.ServiceAnswer, error) {
	if err := s.wait(ctx); err != nil {
		return endpoint.ServiceAnswer{}, &endpoint.BrokenError{Address: address, Err: err}
	}
	return endpoint.ServiceAnswer{Status: http.StatusOK}, nil
}

func (s *lateAnswers) Healthy(ctx context.Context, _ string) bool { return s.wait(ctx) == nil }

func (s *lateAnswers) Run(ctx context.Context, _ order.Order) order.Result {
	if s.wait(ctx) != nil {
		return order.Result{}
	}
	return order.Result{Answer: endpoint.ServiceAnswer{Status: http.StatusOK}}
}

var _ = Describe("A call whose daemon stands still", func() {
	const readAt = 10 * time.Millisecond // from waking, at the limit, until what has arrived is read
	// Guards against answers that are thrown away on waking.
	DescribeTable("gets the answer that waits", func(idempotent bool, after time.Duration, addresses ...string) {
		answers := &lateAnswers{after: after + readAt}
		caller := service.NewCaller(answers, answers, service.NewHealth(), "north", service.NewMetrics(metric.NewSet()))
		declared := config.Service{Name: "lookup"}
		for _, address := range addresses {
			declared.Endpoints = append(declared.Endpoints, config.ServiceEndpoint{Address: address, DataCentre: "north"})
		}
		call := config.Call{Method: http.MethodGet, Path: "/tickets", Idempotent: idempotent, TimeoutSeconds: 1}
		answer, refused := caller.Call(context.Background(), "merchants", declared, call, endpoint.ServiceCall{Key: "still"})
		Expect(refused).To(BeNil())
		Expect(answer.Status).To(Equal(http.StatusOK))
		Expect(answers.asked.Load()).To(BeEquivalentTo(1))
	},
		Entry("at the deadline of an idempotent call", true, time.Second, "a"),
		Entry("at the end of its first attempt", true, time.Second/2, "a", "b"),
		Entry("at the deadline of an order", false, time.Second, "a"),
	)
})
