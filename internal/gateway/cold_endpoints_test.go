package gateway

import (
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/notice"
	"github.com/plantainmux/plantainmux/internal/registry"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

var _ = Describe("Cold endpoints", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	service := &catalog.Service{Name: "s", ColdStart: 3 * time.Second, ColdPerS: 20}
	services := map[string]*catalog.Service{"s": service}
	var daemons []string
	var withdrawn map[string]time.Time // when evacuations were withdrawn, by data centre
	var limits *targetstats.Limits
	var cold *coldEndpoints
	var set *metrics.Set
	build := func(overshoot *float64) {
		slack := 5.0
		limits, set, daemons, withdrawn = targetstats.NewLimits(), metrics.NewSet(), []string{"n"}, map[string]time.Time{}
		s := Settings{Node: "n", Bounds: Bounds{ColdOvershoot: overshoot, ColdSlack: &slack}}
		sharing := func(time.Time) ([]string, int) { return daemons, len(daemons) }
		cold = newColdEndpoints(s, limits, func(dataCentre string) time.Time { return withdrawn[dataCentre] }, sharing, slog.New(slog.DiscardHandler), set)
	}
	observe := func(e registry.Endpoint, traffic bool, now time.Time) {
		e.ID, e.Incarnation, e.Service = "e", 1, "s"
		snapshot := &registry.Snapshot{ByID: map[string]*registry.Endpoint{"e": &e}, ByService: map[string][]*registry.Endpoint{"s": {&e}}}
		cold.observe(snapshot, services, traffic, now)
	}
	limit := func() *targetstats.Limit { return limits.GetOrCreate("e", 1) }
	BeforeEach(func() {
		overshoot := 1.5
		build(&overshoot)
	})

	It("are limited by their entries until they are warm", func() {
		observe(registry.Endpoint{ColdStated: true, ColdUntil: at(3000)}, true, at(0))
		Expect(cold.count()).To(Equal(1))
		Expect(limit().Take(at(40))).To(BeFalse())
		Expect(limit().Take(at(60))).To(BeTrue())
		cold.review(at(2999))
		Expect(cold.count()).To(Equal(1))
		cold.review(at(3000))
		Expect(cold.count()).To(BeZero())
		Expect(limit().Take(at(3000))).To(BeTrue())
		Expect(set.GetOrCreateCounter(`plantainmux_endpoint_cold_total{source="entry"}`).Get()).To(Equal(uint64(1)))
	})

	It("include a new incarnation that does not say, once there is traffic", func() {
		observe(registry.Endpoint{AppearedAt: at(0)}, false, at(100))
		Expect(cold.count()).To(BeZero())
		observe(registry.Endpoint{AppearedAt: at(0)}, true, at(200))
		Expect(limit().Cold(at(2999))).To(BeTrue())
		Expect(limit().Cold(at(3000))).To(BeFalse())
	})

	// Their entries may be older than the moment at which they turned cold without requests.
	It("include all endpoints of a data centre whose evacuation was withdrawn", func() {
		observe(registry.Endpoint{DataCentre: "z", ColdStated: true}, true, at(0))
		Expect(cold.count()).To(BeZero())
		withdrawn["z"] = at(100)
		observe(registry.Endpoint{DataCentre: "z", ColdStated: true}, true, at(110))
		Expect(limit().Take(at(110))).To(BeFalse())
		Expect(limit().Cold(at(3099))).To(BeTrue())
		Expect(limit().Cold(at(3100))).To(BeFalse())
		observe(registry.Endpoint{DataCentre: "z", ColdStated: true}, true, at(4000))
		Expect(limit().Cold(at(4000))).To(BeFalse())
	})

	It("are told by any of their answers", func() {
		cold.observeAnswer(notice.Notice{Endpoint: "e", Incarnation: 1, ColdMS: "500"}, service, at(0))
		Expect(limit().Cold(at(499))).To(BeTrue())
		cold.observeAnswer(notice.Notice{Endpoint: "e", Incarnation: 1, ColdMS: "-500"}, service, at(0))
		Expect(set.GetOrCreateCounter(`plantainmux_endpoint_cold_ignored_total{reason="negative"}`).Get()).To(Equal(uint64(1)))
	})

	// A daemon that does not know who else may send must not send.
	It("get nothing of a daemon that has not read the registrations, and its share once it has", func() {
		daemons = nil
		observe(registry.Endpoint{ColdStated: true, ColdUntil: at(3000)}, true, at(0))
		Expect(limit().Take(at(1000))).To(BeFalse())
		cold.review(at(1000))
		daemons = []string{"m", "n"}
		cold.review(at(1000))
		Expect(limit().Take(at(1090))).To(BeFalse())
		Expect(limit().Take(at(1110))).To(BeTrue())
	})

	// Daemons that have not yet heard of a new one divide the limit among themselves alone.
	It("are shared by a daemon that has read the registrations and has been registered for 2 s", func() {
		registered := at(0)
		Expect(mayShare(nil, true, at(10_000))).To(BeFalse())
		Expect(mayShare(&registered, false, at(10_000))).To(BeFalse())
		Expect(mayShare(&registered, true, at(1999))).To(BeFalse())
		Expect(mayShare(&registered, true, at(2000))).To(BeTrue())
	})

	It("report an unusable time once for each incarnation", func() {
		_, err := notice.ColdTime(-1)
		for range 3 {
			observe(registry.Endpoint{ColdError: err}, true, at(0))
		}
		Expect(set.GetOrCreateCounter(`plantainmux_endpoint_cold_ignored_total{reason="negative"}`).Get()).To(Equal(uint64(1)))
		Expect(cold.count()).To(BeZero())
	})

	DescribeTable("are not limited on deployments that do not ask for it", func(overshoot float64, of *catalog.Service) {
		build(nil)
		if overshoot > 0 {
			build(&overshoot)
		}
		services["s"] = of
		DeferCleanup(func() { services["s"] = service })
		observe(registry.Endpoint{ColdStated: true, ColdUntil: at(3000), AppearedAt: at(0)}, true, at(0))
		cold.observeAnswer(notice.Notice{Endpoint: "e", Incarnation: 1, ColdMS: "500"}, of, at(0))
		Expect(cold.count()).To(BeZero())
		Expect(limit().Admits(at(0))).To(BeTrue())
	},
		Entry("no bounds", 0.0, service),
		Entry("a service that does not start cold", 1.5, &catalog.Service{Name: "s"}),
	)
})
