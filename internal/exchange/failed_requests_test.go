package exchange_test

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

var _ = Describe("Recognition of requests that their callers retry", func() {
	var failedRequests *exchange.FailedRequests
	isLate := func(request uint64, timeout, left time.Duration) bool {
		x := exchange.New(exchange.Dependencies{
			View: func() *placement.View { return &placement.View{} }, Daemons: func() int { return 1 }, GossipDelay: func() time.Duration { return 0 },
			Suspects: suspect.NewTable(suspect.Policy{}), FailedRequests: failedRequests, Metrics: exchange.NewMetrics(metrics.NewSet()), Logger: slog.New(slog.DiscardHandler),
			Retries: exchange.RetryBounds{Window: time.Second},
		})
		route := &catalog.Route{Name: "r", Timeout: timeout, LatencyTarget: 400 * time.Millisecond}
		now := time.Now()
		req := &exchange.Request{Route: route, Service: &catalog.Service{Name: "s"}, Fingerprint: request, Arrived: now, Deadline: now.Add(left)}
		x.Run(context.Background(), req, &sink{}) // refused because there is no target
		return req.Late
	}
	BeforeEach(func() { failedRequests = exchange.NewFailedRequests() })

	It("works by fingerprint at the daemon that refused the request and at the daemons notified", func() {
		Expect(isLate(1, 8*time.Second, 8*time.Second)).To(BeFalse())
		Expect(isLate(1, 8*time.Second, 7500*time.Millisecond)).To(BeTrue())
		published := failedRequests.Recent(time.Now())
		failedRequests = exchange.NewFailedRequests()
		Expect(isLate(2, 8*time.Second, 8*time.Second)).To(BeFalse())
		failedRequests.RecordRemote(published, time.Now())
		Expect(isLate(1, 8*time.Second, 7500*time.Millisecond)).To(BeTrue())
	})

	It("does not depend on the remaining time, since callers use different timeouts", func() {
		Expect(isLate(1, 8*time.Second, 8*time.Second)).To(BeFalse())
		Expect(isLate(2, 8*time.Second, 6900*time.Millisecond)).To(BeFalse())
	})

	It("does not depend on the route timeout, which a new configuration may shorten", func() {
		Expect(isLate(1, 8*time.Second, 8*time.Second)).To(BeFalse())
		Expect(isLate(2, 6900*time.Millisecond, 6900*time.Millisecond)).To(BeFalse())
	})

	It("publishes a request for a limited time and removes it after the retention period", func() {
		now := time.Now()
		failedRequests.Record(7, now)
		Expect(failedRequests.Recent(now.Add(400 * time.Millisecond))).To(ConsistOf(uint32(7)))
		Expect(failedRequests.Recent(now.Add(time.Second))).To(BeEmpty())
		Expect(failedRequests.Contains(7, now.Add(8*time.Second))).To(BeTrue())
		failedRequests.Prune(now.Add(time.Minute))
		Expect(failedRequests.Contains(7, now)).To(BeFalse())
	})
})
