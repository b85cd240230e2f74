package exchange_test

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/locality"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// regionRig is an exchanger in the data centre "s" of the region south before endpoints of two regions.
type regionRig struct {
	transport *transport
	targets   []*placement.Target
	sink      *sink
	set       *metrics.Set
	forwards  []*locality.Allowed // restrictions for which it was asked whether attempts are forwarded
}

func newRegionRig() *regionRig {
	return &regionRig{transport: &transport{scripts: map[string][]script{}}, sink: &sink{}, set: metrics.NewSet()}
}

func (r *regionRig) add(dataCentre, key string, load int, scripts ...script) {
	meter := targetstats.NewMeter()
	meter.SetRemoteInFlight(load)
	meter.SetMaxPass(20 * time.Millisecond)
	r.targets = append(r.targets, &placement.Target{Key: key, ID: key, DataCentre: dataCentre, Slots: 10, Group: key, Meter: meter})
	r.transport.scripts[key] = scripts
}

func (r *regionRig) run(allowed *locality.Allowed) *exchange.Failure {
	service := &catalog.Service{Name: "s", Models: []catalog.Model{{Name: "m", GroupSize: 1}}}
	x := exchange.New(exchange.Dependencies{
		View: func() *placement.View {
			return &placement.View{Groups: map[string]map[string][]*placement.Target{"s": {"m": r.targets}}}
		},
		Transport: r.transport, DataCentre: "s", Regions: locality.Regions{"n": "north", "n2": "north", "s": "south"},
		Daemons: func() int { return 1 }, GossipDelay: func() time.Duration { return 0 }, Suspects: suspect.NewTable(suspect.Policy{}),
		OwnsTrial: func(suspect.Trait) bool { return false }, FailedRequests: exchange.NewFailedRequests(), Metrics: exchange.NewMetrics(r.set),
		Logger: slog.New(slog.DiscardHandler), Retries: exchange.RetryBounds{Share: 0.2, Slack: 100, Window: 10 * time.Second}, BodyLimit: 100,
		Forwards: func(asked *locality.Allowed) bool {
			r.forwards = append(r.forwards, asked)
			return false
		},
		ReportSuspect: func(*placement.Target, string, bool) {},
	})
	now := time.Now()
	route := &catalog.Route{Name: "r", Kind: catalog.Streaming, Resumable: true, MaxAttempts: 4}
	return x.Run(context.Background(), &exchange.Request{ID: "r", Route: route, Service: service, Model: "m", Allowed: allowed, Arrived: now, Deadline: now.Add(2 * time.Second)}, r.sink)
}

var _ = Describe("A request that may be handled in one region", func() {
	var r *regionRig
	north := &locality.Allowed{Regions: []string{"north"}}
	BeforeEach(func() {
		r = newRegionRig()
		r.add("s", "near", 0, answers(200, io.EOF, event(1)), answers(200, io.EOF, event(2)))
	})

	It("is sent to its endpoints only, though others are nearer and free", func() {
		r.add("n", "far", 8, answers(200, io.EOF, event(1)))
		Expect(r.run(north)).To(BeNil())
		Expect(r.transport.calls).To(Equal([]string{"far"}))
	})

	// Guards against a retry that, for want of another endpoint, leaves the region.
	It("is retried in the region, and is given up on when no endpoint of it is left", func() {
		r.add("n", "a", 1, failsWith(&exchange.NotSentError{Err: io.EOF}))
		r.add("n2", "b", 2, failsWith(&exchange.NotRunError{Status: 503}))
		failure := r.run(north)
		Expect(failure.Reason).To(Equal(exchange.NoTarget))
		Expect(failure.NotRun).To(BeTrue())
		Expect(r.transport.calls).To(Equal([]string{"a", "b"}))
	})

	It("is resumed in the region after its stream broke", func() {
		r.add("n", "a", 1, answers(200, io.ErrUnexpectedEOF, event(1)))
		r.add("n2", "b", 8, answers(200, io.EOF, event(2)))
		Expect(r.run(north)).To(BeNil())
		Expect(r.transport.calls).To(Equal([]string{"a", "b 1"}))
		Expect(r.sink.body).To(Equal(event(1) + event(2)))
	})

	It("is cut off rather than resumed in another region", func() {
		r.add("n", "a", 1, answers(200, io.ErrUnexpectedEOF, event(1)))
		failure := r.run(north)
		Expect(failure.Started).To(BeTrue())
		Expect(failure.NotRun).To(BeFalse())
		Expect(r.transport.calls).To(Equal([]string{"a"}))
	})

	It("is refused at once as not run, with a retry delay that spreads callers, if none serves there", func() {
		began := time.Now()
		delays := map[time.Duration]bool{}
		for range 5 {
			failure := r.run(north)
			Expect(failure.Reason).To(Equal(exchange.NoAllowedRegion))
			Expect(failure.NotRun).To(BeTrue())
			Expect(failure.RetryAfter).To(BeNumerically("~", 1250*time.Millisecond, 250*time.Millisecond))
			delays[failure.RetryAfter] = true
		}
		Expect(len(delays)).To(BeNumerically(">", 1))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(r.transport.calls).To(BeEmpty())
		Expect(r.set.GetOrCreateCounter(`plantainmux_exchange_failures_total{reason="no_allowed_region"}`).Get()).To(BeEquivalentTo(5))
	})

	// Guards against a Retry-After taken from an endpoint that the request may not use.
	It("waits for the endpoints of its region, if they want no requests for a time", func() {
		r.add("n", "held", 0)
		r.targets[0].Hold, r.targets[1].Hold = &targetstats.Hold{}, &targetstats.Hold{}
		r.targets[0].Hold.Extend(time.Now(), time.Second)
		r.targets[1].Hold.Extend(time.Now(), 5*time.Second)
		failure := r.run(north)
		Expect(failure.Reason).To(Equal(exchange.HeldBack))
		Expect(failure.RetryAfter).To(BeNumerically(">", 4*time.Second))
	})

	It("asks by its own regions whether its attempts are forwarded", func() {
		r.add("n", "far", 0, answers(200, io.EOF, event(1)))
		Expect(r.run(north)).To(BeNil())
		Expect(r.forwards).To(HaveEach(north))
	})
})
