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

// backs are stand-ins of one service: two here, one elsewhere.
type backs struct {
	services []*fakes.Service
	servers  []*fakes.Server
	declared config.Service
	health   *service.Health
	caller   *service.Caller
}

func newBacks() *backs {
	b := &backs{declared: config.Service{Name: "lookup"}, health: service.NewHealth()}
	for _, dataCentre := range []fleet.DataCentre{"north", "north", "south"} {
		s := fakes.NewService(false)
		server := testbed.Serve(s.Handler())
		b.services = append(b.services, s)
		b.servers = append(b.servers, server)
		b.declared.Endpoints = append(b.declared.Endpoints, config.ServiceEndpoint{Address: server.Address(), DataCentre: dataCentre})
	}
	b.caller = service.NewCaller(endpoint.NewHTTPService(), nil, b.health, "north", service.NewMetrics(metric.NewSet()))
	return b
}

func (b *backs) call(body string) *refusal.Refusal {
	call := config.Call{Method: http.MethodGet, Path: "/tickets", Idempotent: true, TimeoutSeconds: 2}
	out := endpoint.ServiceCall{Method: http.MethodPost, Path: "/tickets", Body: []byte(body)}
	_, refused := b.caller.Call(context.Background(), "merchants", b.declared, call, out)
	return refused
}

func (b *backs) runs() (runs []int) {
	for _, s := range b.services {
		runs = append(runs, len(s.Runs()))
	}
	return runs
}

var _ = Describe("An idempotent call", func() {
	It("spreads over the own data centre and leaves it only when it must", func() {
		b := newBacks()
		for i := range 20 {
			Expect(b.call(fmt.Sprint(i))).To(BeNil())
		}
		Expect(b.runs()).To(Equal([]int{10, 10, 0}))
		b.servers[0].Kill()
		b.services[1].Set(fakes.Faults{Frozen: true})
		for i := range 5 {
			Expect(b.call(fmt.Sprint("later", i))).To(BeNil())
		}
		Expect(b.runs()).To(Equal([]int{10, 10, 5}))
	})

	It("is retried within a budget, and says whether it may have run", func() {
		b := newBacks()
		for _, s := range b.services {
			s.Set(fakes.Faults{LoseAnswers: true})
		}
		for i := range 100 {
			refused := b.call(fmt.Sprint(i))
			Expect(refused).NotTo(BeNil())
			Expect(refused.Outcome).To(Equal(refusal.Unknown))
			for _, server := range b.servers {
				b.health.Succeeded(server.Address())
			}
		}
		total := 0
		for _, runs := range b.runs() {
			total += runs
		}
		Expect(total).To(BeNumerically("<=", 100+10+10)) // calls, saved retries, a tenth of the calls
		for _, server := range b.servers {
			server.Kill()
		}
		Expect(b.call("none").Outcome).To(Equal(refusal.NotRun))
	})

	It("gets its endpoint back by a background check", func() {
		b := newBacks()
		pool := pond.NewPool(4)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		checker := service.NewChecker(endpoint.NewHTTPService(), b.health, "north", pool, func() map[string]config.Service {
			return map[string]config.Service{"lookup": b.declared}
		})
		go checker.Run(ctx)
		usable := func() bool { return b.health.Usable(b.servers[0].Address()) }
		b.servers[0].Kill()
		Eventually(usable, 20*time.Second, 50*time.Millisecond).Should(BeFalse())
		Expect(b.servers[0].Start()).To(Succeed())
		Eventually(usable, 20*time.Second, 50*time.Millisecond).Should(BeTrue())
	})
})
