package exchange_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// pausing is the script of a sound endpoint that pauses before each of its chunks but the first.
func pausing(pause time.Duration, end error, chunks ...string) script {
	return func(ctx context.Context, _ exchange.Call) (*exchange.Answer, error) {
		return &exchange.Answer{Status: 200, Header: http.Header{}, Body: &pausedBody{ctx: ctx, chunks: chunks, end: end, pause: pause}}, nil
	}
}

// pausedBody is a body whose chunks, but for the first, arrive after a pause.
type pausedBody struct {
	ctx    context.Context
	chunks []string
	end    error
	pause  time.Duration
	read   int
}

func (p *pausedBody) Read(into []byte) (int, error) {
	if p.read >= len(p.chunks) {
		return 0, p.end
	}
	if p.read > 0 {
		select {
		case <-time.After(p.pause):
		case <-p.ctx.Done():
			return 0, p.ctx.Err()
		}
	}
	p.read++
	return copy(into, p.chunks[p.read-1]), nil
}

func (p *pausedBody) Close() error { return nil }

var _ = Describe("A sound attempt whose endpoint falls silent for a time", func() {
	const pause = 700 * time.Millisecond // over the silence timeout of the targets, which is 66 ms
	var t *transport
	var targets []*placement.Target
	var out *sink
	var route catalog.Route
	var x *exchange.Exchanger
	var set *metrics.Set
	var view atomic.Pointer[placement.View]
	add := func(key string, load int, scripts ...script) *placement.Target {
		meter := targetstats.NewMeter()
		meter.SetRemoteInFlight(load)
		meter.SetMaxPass(20 * time.Millisecond)
		target := &placement.Target{Key: key, ID: key, Slots: 10, Group: key, Meter: meter}
		targets = append(targets, target)
		t.scripts[key] = scripts
		return target
	}
	start := func(retries exchange.RetryBounds) {
		set = metrics.NewSet()
		x = exchange.New(exchange.Dependencies{
			View:      view.Load,
			Transport: t, Daemons: func() int { return 1 }, GossipDelay: func() time.Duration { return 0 }, Suspects: suspect.NewTable(suspect.Policy{}), OwnsTrial: func(suspect.Trait) bool { return true },
			FailedRequests: exchange.NewFailedRequests(), Metrics: exchange.NewMetrics(set), Logger: slog.New(slog.DiscardHandler), Retries: retries, BodyLimit: 100,
			ReportSuspect: func(*placement.Target, string, bool) {},
		})
	}
	run := func() *exchange.Failure {
		service := &catalog.Service{Name: "s"}
		if route.Kind == catalog.Streaming {
			service.Models = []catalog.Model{{Name: "m", GroupSize: 1}}
		}
		now := time.Now()
		out = &sink{}
		view.Store(&placement.View{Plain: map[string][]*placement.Target{"s": targets}, Groups: map[string]map[string][]*placement.Target{"s": {"m": targets}}})
		used := route // a check of the attempt may outlast the request
		return x.Run(context.Background(), &exchange.Request{ID: "r", Route: &used, Service: service, Model: "m", Arrived: now, Deadline: now.Add(3 * time.Second)}, out)
	}
	BeforeEach(func() {
		t = &transport{scripts: map[string][]script{}}
		targets = nil
		route = catalog.Route{Name: "r", Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2}
		start(exchange.RetryBounds{Share: 0.2, Slack: 100, Window: 10 * time.Second})
	})

	// Guards against giving up a sound stream for another attempt that then brings nothing.
	DescribeTable("goes on although another one is sent beside it, which",
		func(other script) {
			add("a", 0, pausing(pause, io.EOF, event(1), event(2), event(3)))
			add("b", 1, other)
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal(event(1) + event(2) + event(3)))
			Expect(t.calls).To(Equal([]string{"a", "b 1"}))
		},
		Entry("is silent too", answers(200, nil)),
		Entry("is silent before its head", func(ctx context.Context, _ exchange.Call) (*exchange.Answer, error) {
			<-ctx.Done()
			return nil, &exchange.BrokenError{Reason: exchange.Cut, Err: ctx.Err()}
		}),
		Entry("is cut off", answers(200, io.ErrUnexpectedEOF)),
		Entry("is cut off within an event", answers(200, io.ErrUnexpectedEOF, "id: 2\nda")),
		Entry("fails before its head", failsWith(&exchange.BrokenError{Reason: exchange.Cut, Err: io.EOF})),
		Entry("is not sent", failsWith(&exchange.NotSentError{Err: io.EOF})),
		Entry("is rejected", failsWith(&exchange.NotRunError{Status: 503})),
		Entry("ends with an error", answers(500, io.EOF, "no")),
		Entry("begins anew", answers(200, io.EOF, event(1))),
		Entry("is no rest of the stream", answers(200, io.EOF, "no\n\n")),
		Entry("sends comments only", answers(200, nil, ": on\n\n")),
	)

	It("goes on alone while the retry budget is used up", func() {
		start(exchange.RetryBounds{Window: time.Hour})
		for range 2 { // each daemon starts with one token
			add("a", 0, pausing(pause, io.EOF, event(1), event(2)))
			add("b", 1, answers(200, nil))
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal(event(1) + event(2)))
			targets = nil
		}
		Expect(t.calls).To(Equal([]string{"a", "b 1", "a"}))
	})

	It("goes on alone if the other targets have no room, or a known problem", func() {
		add("a", 0, pausing(pause, io.EOF, event(1), event(2))).Slots = 100 // so that all together are not nearly full
		add("b", 20)
		add("c", 1).Meter.Suspect(time.Now(), time.Minute)
		Expect(run()).To(BeNil())
		Expect(out.body).To(Equal(event(1) + event(2)))
		Expect(t.calls).To(Equal([]string{"a"}))
	})

	It("ends once the one beside it has brought the next event, and is a load of its target until then only", func() {
		ended := make(chan struct{})
		a := add("a", 0, func(ctx context.Context, call exchange.Call) (*exchange.Answer, error) {
			context.AfterFunc(ctx, func() { close(ended) })
			return pausing(time.Hour, io.EOF, event(1), event(2))(ctx, call)
		})
		b := add("b", 1, pausing(10*time.Millisecond, io.EOF, event(2), event(3)))
		Expect(run()).To(BeNil())
		Expect(out.body).To(Equal(event(1) + event(2) + event(3)))
		Eventually(ended).Should(BeClosed())
		Expect([]int{a.Meter.InFlight(), b.Meter.InFlight()}).To(Equal([]int{0, 0}))
	})

	// Guards against work that goes on for nobody, and against an event that comes twice.
	It("ends the one beside it with its next event", func() {
		var beside atomic.Bool
		a := add("a", 0, pausing(300*time.Millisecond, io.EOF, event(1), event(2), event(3), event(4)))
		b := add("b", 1, func(ctx context.Context, call exchange.Call) (*exchange.Answer, error) {
			beside.Store(true)
			context.AfterFunc(ctx, func() { beside.Store(false) })
			return answers(200, nil)(ctx, call)
		})
		Expect(run()).To(BeNil())
		Expect(out.body).To(Equal(event(1) + event(2) + event(3) + event(4)))
		Eventually(beside.Load).Should(BeFalse())
		Eventually(func() []int { return []int{a.Meter.InFlight(), b.Meter.InFlight()} }).Should(Equal([]int{0, 0}))
		Expect(t.calls).To(HaveLen(2), "both may have run, and no more may")
	})

	It("is followed by the one beside it when it breaks, without a further one", func() {
		add("a", 0, pausing(400*time.Millisecond, io.ErrUnexpectedEOF, event(1), "id: 2\nda"))
		add("b", 1, pausing(600*time.Millisecond, io.EOF, ": on\n\n", event(2)))
		add("c", 5, answers(200, io.EOF, event(2)))
		Expect(run()).To(BeNil())
		Expect(out.body).To(Equal(event(1) + ": on\n\n" + event(2)))
		Expect(t.calls).To(Equal([]string{"a", "b 1"}))
	})

	It("is followed by a third one when both groups are lost, of four", func() {
		route.MaxAttempts = 3
		add("d", 5)
		add("a", 0, answers(200, nil, event(1)))
		add("b", 1, answers(200, nil))
		add("c", 4, answers(200, io.EOF, event(2)))
		began := time.Now()
		Expect(run()).To(BeNil())
		Expect(out.body).To(Equal(event(1) + event(2)))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	// Guards against moving all streams of a service to the few groups that fall silent last.
	It("gets none beside it while most of the groups in use are silent, unless one is alive", func() {
		add("a", 0, pausing(pause, io.EOF, event(1), event(2)), pausing(pause, io.EOF, event(1), event(2)))
		add("b", 1).Meter.Suspect(time.Now(), time.Minute)
		c := add("c", 2, answers(200, io.EOF, event(2)))
		Expect(run()).To(BeNil())
		Expect(out.body).To(Equal(event(1) + event(2)))
		Expect(t.calls).To(Equal([]string{"a"}))
		time.AfterFunc(100*time.Millisecond, func() { c.Meter.ObserveEvent(time.Now(), time.Millisecond) })
		Expect(run()).To(BeNil())
		Expect(t.calls).To(Equal([]string{"a", "a", "c 1"}))
	})

	It("without output is as well", func() {
		add("a", 0, pausing(pause, io.EOF, "", event(1)))
		add("b", 1, answers(200, io.ErrUnexpectedEOF))
		Expect(run()).To(BeNil())
		Expect(out.body).To(Equal(event(1)))
	})

	Describe("of an idempotent request", func() {
		BeforeEach(func() {
			route = catalog.Route{Name: "r", Kind: catalog.Safe, MaxAttempts: 2, LatencyTarget: 30 * time.Millisecond}
		})

		// Guards against giving up a sound attempt for its slowness without another answer.
		DescribeTable("answers although another one is sent beside it, which",
			func(other script) {
				add("a", 0, pausing(300*time.Millisecond, io.EOF, "", "ok"))
				add("b", 1, other)
				Expect(run()).To(BeNil())
				Expect([]any{out.status, out.body}).To(Equal([]any{200, "ok"}))
				Expect(t.calls).To(Equal([]string{"a", "b"}))
			},
			Entry("is silent", answers(200, nil)),
			Entry("is cut off", answers(200, io.ErrUnexpectedEOF, "o")),
			Entry("ends with an error", answers(500, io.EOF, "no")),
			Entry("is too large", answers(200, io.EOF, string(make([]byte, 101)))),
			Entry("is rejected", failsWith(&exchange.NotRunError{Status: 503})),
		)

		It("ends once the other one has its whole answer, whose failure before does not end the request", func() {
			add("a", 0, pausing(time.Hour, io.EOF, "", "late"))
			add("b", 1, failsWith(&exchange.NotRunError{Status: 503}))
			add("c", 2, pausing(100*time.Millisecond, io.EOF, "o", "k"))
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal("ok"))
			Expect(t.calls).To(Equal([]string{"a", "b", "c"}))
		})
	})
})
