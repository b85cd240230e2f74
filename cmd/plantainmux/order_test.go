package main

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

var _ = Describe("order command", func() {
	It("lists, shows and settles an unclear order without printing credentials", func() {
		bed := testbed.New()
		service := fakes.NewService(false)
		address := testbed.Serve(service.Handler()).Address()
		configuration := testbed.SampleConfig(0, "north")
		configuration.Services = []config.Service{{
			Name:        "orders",
			KeyLifetime: 600,
			Endpoints:   []config.ServiceEndpoint{{Address: address, DataCentre: "north"}},
			Calls:       []config.Call{{Method: http.MethodPost, Path: "/orders", TimeoutSeconds: 5}},
		}}
		daemon := bed.StartDaemon("north", nil)
		bed.Publish(0, configuration)
		service.Set(fakes.Faults{LoseAnswers: true})
		Eventually(func() int {
			header := http.Header{"Idempotency-Key": {"k-1"}}
			response, err := daemon.Post("/v1/services/orders/orders", testbed.TeamKey, "{}", header)
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			return response.StatusCode
		}, 15*time.Second, 50*time.Millisecond).Should(Equal(http.StatusConflict))

		tool := func(args ...string) (int, string) {
			return run(append([]string{"order"}, append(args, "--token", testbed.AdminToken, "--daemon", daemon.AdminAddress())...)...)
		}
		code, out := tool("list", "--output", "json")
		Expect(code).To(BeZero())
		Expect(out).To(ContainSubstring(`"state": "unclear"`))
		Expect(out).To(ContainSubstring(`"key": "k-1"`))
		Expect(out).NotTo(ContainSubstring(testbed.TeamKey))
		Expect(first(tool("show", "merchants", "orders", "k-2"))).To(Equal(exitOrderNotFound))
		Expect(first(tool("settle", "--operator", "ana", "merchants", "orders", "k-1"))).To(Equal(exitUsage))
		Expect(first(tool("settle", "--not-ran", "--operator", "ana", "merchants", "orders", "k-1"))).To(BeZero())
		Expect(first(tool("settle", "--ran", "--operator", "ana", "merchants", "orders", "k-1"))).To(Equal(exitOrderNotUnclear))
		code, out = tool("show", "merchants", "orders", "k-1")
		Expect(code).To(BeZero())
		Expect(out).To(ContainSubstring("closed"))
		Expect(out).To(ContainSubstring("settled by ana"))
		bed.Log.Set(fakes.Faults{Down: true})
		Expect(first(tool("list"))).To(Equal(exitLogUnavailable))
		daemon.Kill()
		Eventually(func() int { return first(tool("list")) }, 15*time.Second).Should(Equal(exitDaemonsUnhealthy))
	})
})
