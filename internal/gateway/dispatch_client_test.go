package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/locality"
	"github.com/plantainmux/plantainmux/internal/monotonic"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/placement"
)

// countedLinks counts its links. It implements forward.Links.
type countedLinks struct{ links *metrics.Counter }

func (l countedLinks) Address(string) string { return "address" }
func (l countedLinks) Connect(string, string) func() {
	l.links.Inc()
	return l.links.Dec
}
func (l countedLinks) Await(context.Context, string, time.Duration) bool { return true }
func (l countedLinks) Idle(string) bool                                  { return true }

var _ = Describe("A daemon whose dispatcher", func() {
	var client *dispatchClient
	var calls int
	var dispatcher string
	var clock func() time.Time
	var known func(unknownTarget) bool
	var excluded []string // of the latest call
	var respond func(ctx context.Context, answer *dispatch.Answer) error
	ask := func() dispatch.Outcome {
		return client.ask(context.Background(), dispatch.Call{Service: "s", Model: "m"})
	}
	BeforeEach(func() {
		calls, dispatcher, clock, known = 0, "hub", monotonic.Clock(), func(unknownTarget) bool { return true }
		respond = func(_ context.Context, answer *dispatch.Answer) error {
			answer.Target = "g"
			return nil
		}
		client = newDispatchClient(dispatchClientDependencies{
			self: "self", metrics: metrics.NewSet(), logger: slog.New(slog.DiscardHandler),
			call: func(ctx context.Context, to string, call dispatch.Call, answer *dispatch.Answer) error {
				excluded = call.Excluded
				Expect(to).To(Equal(dispatcher))
				calls++
				return respond(ctx, answer)
			},
			clock: func() time.Time { return clock() },
			known: func(target unknownTarget) bool { return known(target) },
			local: func(string, dispatch.Call, time.Time) dispatch.Answer { return dispatch.Answer{Target: "own"} },
		})
		client.follow("hub")
	})

	It("answers does as it says", func() {
		Expect(ask()).To(Equal(dispatch.Outcome{Asked: true, By: "hub", Answer: dispatch.Answer{Target: "g"}}))
	})
	It("is frozen costs one caller the timeout and the following ones nothing, and asks the next dispatcher at once", func() {
		healthy := respond
		respond = func(ctx context.Context, _ *dispatch.Answer) error {
			<-ctx.Done()
			return &peer.LinkError{Daemon: "hub", Err: ctx.Err()}
		}
		started := time.Now()
		Expect(ask().Local).To(Equal(dispatch.TimedOut))
		Expect(time.Since(started)).To(BeNumerically("~", 30*time.Millisecond, 12*time.Millisecond))
		for range 100 {
			Expect(ask().Local).To(Equal(dispatch.Paused))
		}
		Expect(calls).To(Equal(1))
		respond = healthy
		dispatcher = "second"
		client.follow("second")
		Expect(ask().Answer.Target).To(Equal("g"))
		client.follow("self")
		Expect(ask().Answer.Target).To(Equal("own"))
	})
	It("was frozen is asked again after the pause", func() {
		healthy := respond
		respond = func(context.Context, *dispatch.Answer) error { return errors.New("lost") }
		Expect(ask().Local).To(Equal(dispatch.CallFailed))
		respond = healthy
		Eventually(func() dispatch.LocalReason { return ask().Local }, "1s", "20ms").Should(BeEmpty())
		Expect(calls).To(Equal(2))
	})
	// Guards against pauses that end at once, or last for long, when the wall clock jumps.
	It("was frozen is asked again after the pause by the monotonic clock, whatever the wall clock shows", func() {
		now := time.Now().Add(time.Hour) // of the monotonic clock; the wall clock has jumped back by an hour
		clock = func() time.Time { return now }
		respond = func(context.Context, *dispatch.Answer) error { return errors.New("lost") }
		Expect(ask().Local).To(Equal(dispatch.CallFailed))
		Expect(ask().Local).To(Equal(dispatch.Paused))
		now = now.Add(dispatchPause)
		Expect(ask().Local).To(Equal(dispatch.CallFailed), "asked again")
		now = now.Add(-2 * time.Hour) // the wall clock has jumped forward
		client.follow("")
		client.follow("hub")
		Expect(ask().Local).To(Equal(dispatch.CallFailed))
		Expect(ask().Local).To(Equal(dispatch.Paused))
		Expect(calls).To(Equal(3))
	})
	It("is killed, so that there is no link, is not waited for", func() {
		respond = func(context.Context, *dispatch.Answer) error { return &peer.UnreachableError{Daemon: "hub"} }
		started := time.Now()
		Expect(ask().Local).To(Equal(dispatch.NoLink))
		Expect(time.Since(started)).To(BeNumerically("<", dispatchTimeout/2))
	})
	It("is cut off from the endpoints, or is stopping, chooses by itself", func() {
		for _, declined := range []dispatch.Decline{dispatch.CutOff, dispatch.Stopping} {
			respond = func(_ context.Context, answer *dispatch.Answer) error {
				answer.Declined = declined
				return nil
			}
			Expect(ask().Local).To(Equal(dispatch.Declined(declined)))
		}
		Expect(calls).To(Equal(2))
	})
	It("is of the previous version, or answers nothing, chooses by itself", func() {
		respond = func(context.Context, *dispatch.Answer) error { return nil }
		Expect(ask().Local).NotTo(BeEmpty())
		respond = func(context.Context, *dispatch.Answer) error {
			return &peer.UnknownMethodError{Method: dispatch.Method}
		}
		Expect(ask().Local).To(Equal(dispatch.OldVersion))
	})
	// Guards against requests that are placed locally one after the other, because the dispatcher knows
	// of a group that is idle and that this daemon does not know yet.
	It("names a target that this daemon does not know excludes it for a second, or until it knows it", func() {
		now := time.Now()
		clock = func() time.Time { return now }
		g := &Gateway{}
		show := func(keys ...string) {
			var targets []*placement.Target
			for _, key := range keys {
				targets = append(targets, &placement.Target{Key: key})
			}
			g.view.Store(&placement.View{Groups: map[string]map[string][]*placement.Target{"s": {"m": targets}}})
		}
		known = g.knowsTarget
		show("old")
		Expect(ask().Answer.Target).To(Equal("g"), "the exchange places it locally")
		Expect(excluded).To(BeEmpty())
		for range 2 {
			now = now.Add(499 * time.Millisecond)
			respond = func(_ context.Context, answer *dispatch.Answer) error {
				answer.Target = "old"
				return nil
			}
			client.ask(context.Background(), dispatch.Call{Service: "s", Model: "m", Excluded: []string{"suspected"}})
			Expect(excluded).To(Equal([]string{"suspected", "g"}))
		}
		client.ask(context.Background(), dispatch.Call{Service: "s", Model: "other"})
		Expect(excluded).To(BeEmpty(), "a call for another model")
		now = now.Add(2 * time.Millisecond)
		ask()
		Expect(excluded).To(BeEmpty())

		respond = func(_ context.Context, answer *dispatch.Answer) error {
			answer.Target = "new"
			return nil
		}
		ask()
		ask()
		Expect(excluded).To(Equal([]string{"new"}))
		show("old", "new")
		ask()
		Expect(excluded).To(BeEmpty())
		Expect(client.excluded.Get()).To(BeEquivalentTo(3), "g, new, and old for the other model")
	})
	// Guards against a changed configuration that takes effect only after a restart.
	It("is no longer of use for a model asks none from 60 s after the last request that shows it to be of use", func() {
		now := time.Now()
		clock = func() time.Time { return now }
		request := func(ranked bool) *exchange.Request {
			service := &catalog.Service{Name: "s", RanksRoutes: ranked, Performance: &catalog.PerformanceModel{}, Models: []catalog.Model{{Name: "m"}}}
			return &exchange.Request{Service: service, Model: "m", Route: &catalog.Route{}}
		}
		Expect(client.applies(request(false))).To(BeFalse())
		Expect(client.review()).To(BeFalse())
		Expect(client.applies(request(true))).To(BeTrue())
		now = now.Add(40 * time.Second)
		Expect(client.applies(request(true))).To(BeTrue())
		now = now.Add(59 * time.Second)
		Expect(client.applies(request(false))).To(BeTrue(), "a route without a tight target, of a model that has others")
		Expect(client.review()).To(BeTrue())
		now = now.Add(time.Second)
		Expect(client.applies(request(false))).To(BeFalse())
		links := metrics.NewSet().NewCounter("links")
		g := &Gateway{settings: Settings{Node: "self"}, dispatchClient: client, dispatcher: newDispatcher(dispatcherDependencies{})}
		g.paths = forward.NewLinkPool(countedLinks{links}, func(*locality.Allowed) []string { return nil }, clock)
		g.linkDispatcher("hub", "address")
		Expect(links.Get()).To(BeEquivalentTo(1))
		g.reviewDispatcher(now)
		Expect(ask().Local).To(Equal(dispatch.NoDispatcher))
		now = now.Add(time.Minute)
		g.paths.Sweep()
		Expect(links.Get()).To(BeZero())
		Expect(client.applies(request(true))).To(BeTrue())
		Expect(client.review()).To(BeTrue())
	})
	It("is unknown, or whose caller is gone, asks nobody again for that", func() {
		client.follow("")
		Expect(ask().Local).To(Equal(dispatch.NoDispatcher))
		client.follow("hub")
		ctx, cancel := context.WithCancel(context.Background())
		respond = func(ctx context.Context, _ *dispatch.Answer) error {
			cancel()
			return &peer.LinkError{Daemon: "hub", Err: ctx.Err()}
		}
		Expect(client.ask(ctx, dispatch.Call{}).Local).To(Equal(dispatch.CallFailed))
		respond = func(context.Context, *dispatch.Answer) error { return &peer.UnreachableError{Daemon: "hub"} }
		Expect(ask().Local).To(Equal(dispatch.NoLink), "no pause")
	})
})
