package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
)

var _ = Describe("A catalog", func() {
	routes := []catalog.Route{
		{Name: "short", Host: "A.example", Prefix: "/x/", Targets: []catalog.WeightedTarget{{Service: "s", Weight: 1}}},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Public: true},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}
	team := &catalog.Team{Name: "merchants", Priority: 3, HasPriority: true}
	c := catalog.New(7, routes, nil, map[string]*catalog.Team{"key": team}, catalog.Limits{})

	It("selects the longest prefix of the host", func() {
		Expect(c.Route("a.example", "/x/y/z").Name).To(Equal("long"))
		Expect(c.Route("a.EXAMPLE", "/x/z").Name).To(Equal("short"))
		Expect(c.Route("b.example", "/x/y/z").Name).To(Equal("other"))
		Expect(c.Route("a.example", "/x")).To(BeNil())
		Expect(c.Route("c.example", "/x/")).To(BeNil())
	})

	// Deployments that rank nothing are served as before: nothing is admitted or planned by demand there.
	It("knows the services whose routes differ in priority", func() {
		to := func(service string, priority int) catalog.Route {
			return catalog.Route{Host: "a.example", Prefix: "/x/", Priority: priority, Targets: []catalog.WeightedTarget{{Service: service, Weight: 1}}}
		}
		ranked := catalog.New(1, []catalog.Route{to("alike", 1), to("alike", 1), to("ranked", 1), to("ranked", 0), to("gone", 0)}, []catalog.Service{{Name: "alike"}, {Name: "ranked"}, {Name: "unused"}}, nil, catalog.Limits{})
		Expect(ranked.Services["alike"].RanksRoutes).To(BeFalse())
		Expect(ranked.Services["ranked"].RanksRoutes).To(BeTrue())
		Expect(ranked.Services["unused"].RanksRoutes).To(BeFalse())
	})

	It("requires a key except on public routes", func() {
		_, allowed := c.Authorize(c.Route("a.example", "/x/"), "wrong")
		Expect(allowed).To(BeFalse())
		_, allowed = c.Authorize(c.Route("a.example", "/x/y/"), "wrong")
		Expect(allowed).To(BeTrue())
		found, allowed := c.Authorize(c.Route("a.example", "/x/"), "key")
		Expect(allowed).To(BeTrue())
		Expect(found).To(Equal(team))
		Expect(catalog.RequestPriority(&routes[0], found)).To(Equal(3))
	})

	It("refuses every request when the key list is empty, and none when no key list is configured", func() {
		noKeys := catalog.New(8, routes, nil, map[string]*catalog.Team{}, catalog.Limits{})
		_, allowed := noKeys.Authorize(&routes[0], "key")
		Expect(allowed).To(BeFalse())
		keyless := catalog.New(8, routes, nil, nil, catalog.Limits{})
		_, allowed = keyless.Authorize(&routes[0], "")
		Expect(allowed).To(BeTrue())
	})

	It("splits a route by its weights", func() {
		route := catalog.Route{Targets: []catalog.WeightedTarget{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
		Expect(route.Pick(0.0)).To(Equal("a"))
		Expect(route.Pick(0.89)).To(Equal("a"))
		Expect(route.Pick(0.91)).To(Equal("b"))
		Expect(route.Pick(0.9999)).To(Equal("b"))
	})

	It("never replaces a catalog by one of the same or an older version", func() {
		var store catalog.Store
		Expect(store.Put(c)).To(BeTrue())
		Expect(store.Put(catalog.New(6, nil, nil, nil, catalog.Limits{}))).To(BeFalse())
		Expect(store.Put(catalog.New(7, nil, nil, nil, catalog.Limits{}))).To(BeFalse())
		Expect(store.Load()).To(BeIdenticalTo(c))
	})
})

var _ = Describe("The published performance model", func() {
	It("computes the longest pass of a fully loaded group that processes a full chunk in each step", func() {
		performance := &catalog.PerformanceModel{Slots: 10, StepsPerPass: 4, PrefillChunkTokens: 1000, StepDuration: 5 * time.Millisecond, PerRequest: 100 * time.Microsecond, PrefillTokensPerSecond: 50000}
		Expect(performance.MaxPassDuration(&catalog.Model{StepTimeFactor: 1})).To(Equal(4 * 26 * time.Millisecond))
		Expect(performance.MaxPassDuration(&catalog.Model{StepTimeFactor: 0.5})).To(Equal(2 * 26 * time.Millisecond))
	})
})
