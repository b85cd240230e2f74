package service_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/alitto/pond/v2"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/service"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// fakeEndpoints are three fake endpoints of one service: two in the caller's data
// centre, "north", and one in "south".
type fakeEndpoints struct {
	services []*fakes.Service
	servers  []*fakes.Server
	declared config.Service
	health   *service.Health
	caller   *service.Caller
}

func newFakeEndpoints() *fakeEndpoints {
	e := &fakeEndpoints{declared: config.Service{Name: "lookup"}, health: service.NewHealth()}
	for _, dataCentre := range []fleet.DataCentre{"north", "north", "south"} {
		s := fakes.NewService(false)
		server := testbed.Serve(s.Handler())
		e.services = append(e.services, s)
		e.servers = append(e.servers, server)
		e.declared.Endpoints = append(e.declared.Endpoints, config.ServiceEndpoint{Address: server.Address(), DataCentre: dataCentre})
	}
	e.caller = service.NewCaller(endpoint.NewHTTPService(), nil, e.health, "north", service.NewMetrics(metric.NewSet()))
	return e
}

func (e *fakeEndpoints) call(body string) *refusal.Refusal {
	call := config.Call{Method: http.MethodGet, Path: "/tickets", Idempotent: true, TimeoutSeconds: 2}
	out := endpoint.ServiceCall{Method: http.MethodPost, Path: "/tickets", Body: []byte(body)}
	_, refused := e.caller.Call(context.Background(), "merchants", e.declared, call, out)
	return refused
}

func (e *fakeEndpoints) runs() (runs []int) {
	for _, s := range e.services {
		runs = append(runs, len(s.Runs()))
	}
	return runs
}

var _ = Describe("An idempotent call", func() {
	It("is balanced over the endpoints of the own data centre and uses others only when those fail", func() {
		e := newFakeEndpoints()
		for i := range 20 {
			Expect(e.call(fmt.Sprint(i))).To(BeNil())
		}
		Expect(e.runs()).To(Equal([]int{10, 10, 0}))
		e.servers[0].Kill()
		e.services[1].Set(fakes.Faults{Frozen: true})
		for i := range 5 {
			Expect(e.call(fmt.Sprint("later", i))).To(BeNil())
		}
		Expect(e.runs()).To(Equal([]int{10, 10, 5}))
	})

	It("is retried within the retry budget and reports whether it may have run", func() {
		e := newFakeEndpoints()
		for _, s := range e.services {
			s.Set(fakes.Faults{LoseAnswers: true})
		}
		for i := range 100 {
			refused := e.call(fmt.Sprint(i))
			Expect(refused).NotTo(BeNil())
			Expect(refused.Outcome).To(Equal(refusal.Unknown))
			for _, server := range e.servers {
				e.health.Succeeded(server.Address())
			}
		}
		total := 0
		for _, runs := range e.runs() {
			total += runs
		}
		Expect(total).To(BeNumerically("<=", 100+10+10)) // calls, burst, a tenth of the calls
		for _, server := range e.servers {
			server.Kill()
		}
		Expect(e.call("none").Outcome).To(Equal(refusal.NotRun))
	})

	It("uses an endpoint again after a background health check succeeds", func() {
		e := newFakeEndpoints()
		pool := pond.NewPool(4)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		checker := service.NewChecker(endpoint.NewHTTPService(), e.health, "north", pool, func() map[string]config.Service {
			return map[string]config.Service{"lookup": e.declared}
		})
		go checker.Run(ctx)
		usable := func() bool { return e.health.Usable(e.servers[0].Address()) }
		e.servers[0].Kill()
		Eventually(usable, 20*time.Second, 50*time.Millisecond).Should(BeFalse())
		Expect(e.servers[0].Start()).To(Succeed())
		Eventually(usable, 20*time.Second, 50*time.Millisecond).Should(BeTrue())
	})
})
