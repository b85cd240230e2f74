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
	"github.com/plantainmux/plantainmux/internal/evacuation"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/registry"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

var _ = Describe("A trial of a refused prompt part", func() {
	const out, in = "group/out/1", "group/in/1" // keys of the groups of the evacuated data centre and of the other one
	var set *evacuation.Set
	var t *transport
	var suspects *suspect.Table
	var x *exchange.Exchanger
	service := catalog.Service{Name: "s", Models: []catalog.Model{{Name: "m", GroupSize: 1}}}
	apply := func(value []byte, offset uint64) {
		set.Apply(keyed.Batch{Records: []keyed.Record{{Key: "evacuate/y", Value: value, Offset: offset}}, End: offset + 1}, time.Now())
	}
	BeforeEach(func() {
		set, t = evacuation.NewSet("evacuate/"), &transport{scripts: map[string][]script{}}
		endpoints := &registry.Snapshot{ByID: map[string]*registry.Endpoint{}}
		groups := &ledger.State{Groups: map[string]*ledger.Record{}}
		for group, dataCentre := range map[string]string{"out": "y", "in": "z"} {
			endpoints.ByID[group] = &registry.Endpoint{
				ID: group, Service: "s", DataCentre: dataCentre, Slots: 10, Incarnation: 1,
				Group: registry.Membership{Group: group, Epoch: 1, State: registry.Open},
			}
			groups.Groups[group] = &ledger.Record{Group: group, Service: "s", Model: "m", Epoch: 1, Members: []ledger.Member{{ID: group, Incarnation: 1}}}
		}
		meters, announced := targetstats.NewMeters(), placement.Announced{Holds: targetstats.NewHolds(), Limits: targetstats.NewLimits()}
		meters.GetOrCreate(in).SetRemoteInFlight(8) // so that the other group is the better choice
		current := catalog.New(1, nil, []catalog.Service{service}, nil, catalog.Limits{})
		suspects = suspect.NewTable(suspect.Policy{})
		for group := range 3 {
			suspects.Add(suspect.Crash{Subject: suspect.Subject{Parts: []uint64{6}}, Group: fleet.FencingNumber(group), At: time.Now().Add(-time.Minute)}, time.Now())
		}
		x = exchange.New(exchange.Dependencies{
			View: func() *placement.View {
				return placement.Build(current, endpoints, groups, meters, announced, set.Evacuated)
			},
			Transport: t, DataCentre: "y", Daemons: func() int { return 1 }, GossipDelay: func() time.Duration { return 0 },
			Suspects: suspects, OwnsTrial: func(suspect.Trait) bool { return true }, FailedRequests: exchange.NewFailedRequests(),
			Metrics: exchange.NewMetrics(metrics.NewSet()), Logger: slog.New(slog.DiscardHandler), Retries: exchange.RetryBounds{Share: 0.2, Slack: 100, Window: time.Second},
			ReportSuspect: func(*placement.Target, string, bool) {},
		})
	})
	try := func() *exchange.Failure {
		now := time.Now()
		Expect(suspects.Standing(suspect.Subject{Parts: []uint64{6}}, now)).To(Equal(suspect.Refused))
		return x.Run(context.Background(), &exchange.Request{
			ID: "r", Route: &catalog.Route{Name: "r", Kind: catalog.Streaming, MaxAttempts: 3}, Service: &service, Model: "m", PromptParts: []uint64{6}, Arrived: now, Deadline: now.Add(time.Second),
		}, &sink{})
	}

	// Guards against trials that choose among other targets than requests do: a trial may crash its
	// group, and operators evacuate a data centre in which nothing may run.
	It("reaches no endpoint of an evacuated data centre, neither at first nor when it is repeated", func() {
		t.scripts[in] = []script{answers(200, io.ErrUnexpectedEOF), answers(200, io.EOF, event(1))}
		t.scripts[out] = []script{answers(200, io.EOF, event(1))}
		apply([]byte("{}"), 1)
		_ = try()
		Expect(t.calls).NotTo(BeEmpty(), "the trial runs elsewhere")
		Expect(t.calls).To(HaveEach(in))
	})

	It("is refused as not run if all data centres are evacuated", func() {
		t.scripts[out] = []script{answers(200, io.EOF, event(1))}
		set.Apply(keyed.Batch{Records: []keyed.Record{{Key: "evacuate/z", Value: []byte("{}"), Offset: 1}}, End: 2}, time.Now())
		apply([]byte("{}"), 2)
		failure := try()
		Expect(failure).NotTo(BeNil())
		Expect(failure.Reason).To(Equal(exchange.Evacuated))
		Expect(failure.NotRun).To(BeTrue())
		Expect(t.calls).To(BeEmpty())
	})

	It("takes the better group once the evacuation is withdrawn", func() {
		t.scripts[out] = []script{answers(200, io.EOF, event(1))}
		apply([]byte("{}"), 1)
		apply(nil, 2)
		_ = try()
		Expect(t.calls).To(HaveEach(out), "so that the other specs show the evacuation")
	})
})
