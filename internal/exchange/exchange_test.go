package exchange_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/rhythm"
)

// script is how an endpoint answers one attempt.
type script func(ctx context.Context, call exchange.Call) (*exchange.Answer, error)

// transport answers each attempt by the next script of its target.
type transport struct {
	mu      sync.Mutex
	scripts map[string][]script
	calls   []string // "target after"
}

func (t *transport) Send(ctx context.Context, target *placement.Target, call exchange.Call) (*exchange.Answer, error) {
	t.mu.Lock()
	t.calls = append(t.calls, strings.TrimSpace(target.Key+" "+call.After))
	next := t.scripts[target.Key]
	if len(next) == 0 {
		t.mu.Unlock()
		return nil, &exchange.NotSentError{Err: errors.ErrUnsupported}
	}
	t.scripts[target.Key] = next[1:]
	t.mu.Unlock()
	return next[0](ctx, call)
}

// sink collects an answer.
type sink struct {
	mu     sync.Mutex
	status int
	header http.Header
	body   string
	err    error
}

func (s *sink) Whole(status int, header http.Header, body []byte) error {
	s.status, s.header, s.body = status, header, string(body)
	return s.err
}

func (s *sink) Begin(status int, header http.Header) error {
	s.status, s.header = status, header
	return s.err
}

func (s *sink) Events(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.body += string(data)
	return s.err
}

// pieces is a body that comes in pieces, and then ends, breaks or stands still.
type pieces struct {
	ctx   context.Context
	parts []string
	end   error // nil: it stands still until the attempt ends
	every time.Duration
}

func (p *pieces) Read(into []byte) (int, error) {
	if len(p.parts) > 0 {
		time.Sleep(p.every)
		n := copy(into, p.parts[0])
		p.parts = p.parts[1:]
		return n, nil
	}
	if p.end != nil {
		return 0, p.end
	}
	<-p.ctx.Done()
	return 0, p.ctx.Err()
}

func (p *pieces) Close() error { return nil }

func answers(status int, end error, parts ...string) script {
	return func(ctx context.Context, _ exchange.Call) (*exchange.Answer, error) {
		return &exchange.Answer{Status: status, Header: http.Header{"From": {fmt.Sprint(status)}}, Body: &pieces{ctx: ctx, parts: parts, end: end}}, nil
	}
}

func fails(err error) script {
	return func(context.Context, exchange.Call) (*exchange.Answer, error) { return nil, err }
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

var _ = Describe("Passing a request on", func() {
	var t *transport
	var targets []*placement.Target
	var doubted []string
	var killers *exchange.Killers
	var retries exchange.RetryBounds
	var out *sink
	route := catalog.Route{}
	prompt := 0
	add := func(key string, load int, scripts ...script) *placement.Target {
		meter := rhythm.NewMeter()
		meter.SetElsewhere(load)
		meter.SetPass(20 * time.Millisecond)
		target := &placement.Target{Key: key, ID: key, Slots: 10, Group: key, Meter: meter}
		targets = append(targets, target)
		t.scripts[key] = scripts
		return target
	}
	runUntil := func(ctx context.Context) *exchange.Failure {
		service := &catalog.Service{Name: "s"}
		view := &placement.View{Plain: map[string][]*placement.Target{"s": targets}}
		if route.Kind == catalog.Streaming {
			service.Models = []catalog.Model{{Name: "m", Size: 1}}
			view.Groups = map[string]map[string][]*placement.Target{"s": {"m": targets}}
		}
		x := exchange.New(exchange.Dependencies{
			View: func() *placement.View { return view }, Transport: t, Daemons: func() int { return 1 }, Delay: func() time.Duration { return 0 }, Killers: killers, Returns: exchange.NewReturns(),
			Metrics: exchange.NewMetrics(metrics.NewSet()), Logger: slog.New(slog.DiscardHandler), Retries: retries, BodyLimit: 100,
			Doubt: func(target *placement.Target, _ string, early bool) {
				if !early {
					doubted = append(doubted, target.Key)
				}
			},
		})
		now := time.Now()
		return x.Run(ctx, &exchange.Request{
			ID: "r", Route: &route, Service: service, Model: "m", Prompt: prompt, Fingerprint: 7, Arrived: now, Deadline: now.Add(2 * time.Second),
		}, out)
	}
	run := func() *exchange.Failure { return runUntil(context.Background()) }
	BeforeEach(func() {
		t = &transport{scripts: map[string][]script{}}
		targets, doubted, prompt = nil, nil, 0
		killers = exchange.NewKillers()
		retries = exchange.RetryBounds{Share: 0.2, Slack: 100, Window: 10 * time.Second}
		out = &sink{}
		route = catalog.Route{Name: "r", Kind: catalog.Unsafe, MaxAttempts: 2}
	})

	It("learns nothing of a target from a caller that leaves", func() {
		route.Kind = catalog.Streaming
		for _, broken := range []error{&exchange.NotSentError{Err: io.EOF}, &exchange.BrokenError{Reason: exchange.Cut, Err: io.EOF}} {
			ctx, leave := context.WithCancel(context.Background())
			left := add("left", 0, func(context.Context, exchange.Call) (*exchange.Answer, error) {
				leave()
				return nil, broken
			})
			Expect(runUntil(ctx).Reason).To(Equal(exchange.CallerGone))
			now := time.Now()
			Expect([]bool{left.Meter.Avoid(now), left.Meter.Shaken(now)}).To(Equal([]bool{false, false}))
			targets = nil
		}
		Expect(doubted).To(BeEmpty())
		Expect(killers.Own(time.Now())).To(BeEmpty())
	})

	It("counts a prompt as waiting until its first event, or the attempt's end", func() {
		route.Kind = catalog.Streaming
		route.Resumable = true
		prompt = 700
		var during []int
		look := func(target **placement.Target, then script) script {
			return func(ctx context.Context, call exchange.Call) (*exchange.Answer, error) {
				during = append(during, (*target).Meter.OwnReading())
				return then(ctx, call)
			}
		}
		var a, b *placement.Target
		a = add("a", 0, look(&a, fails(&exchange.NotRunError{Status: 503})))
		b = add("b", 1, look(&b, answers(200, io.EOF, event(1), event(2))))
		Expect(run()).To(BeNil())
		Expect(during).To(Equal([]int{700, 700}))
		Expect([]int{a.Meter.Reading(), b.Meter.Reading()}).To(Equal([]int{0, 0}))
	})

	Describe("that may run once", func() {
		It("is never sent again once it may have run", func() {
			add("a", 0, fails(&exchange.BrokenError{Reason: exchange.Cut, Err: io.ErrUnexpectedEOF}))
			add("b", 1, answers(200, io.EOF, "ok"))
			failure := run()
			Expect(failure.Reason).To(Equal(exchange.Broken))
			Expect(failure.NotRun).To(BeFalse())
			Expect(t.calls).To(Equal([]string{"a"}))
		})

		It("is sent elsewhere when it was not sent, or proved not to have run", func() {
			add("a", 0, fails(&exchange.NotSentError{Err: io.EOF}))
			add("b", 1, fails(&exchange.NotRunError{Status: 503}))
			add("c", 2, answers(200, io.EOF, "ok"))
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal("ok"))
			Expect(t.calls).To(Equal([]string{"a", "b", "c"}))
		})

		It("is refused as not run, with when to come back, when nobody ran it", func() {
			add("a", 0, fails(&exchange.NotRunError{Status: 503}))
			failure := run()
			Expect(failure.NotRun).To(BeTrue())
			Expect(failure.RetryAfter).To(BeNumerically(">", 0))
		})

		It("passes an endpoint's own failure on as it is", func() {
			add("a", 0, answers(500, io.EOF, "no"))
			Expect(run()).To(BeNil())
			Expect([]any{out.status, out.body}).To(Equal([]any{500, "no"}))
		})

		It("ends at its deadline as one that may have run", func() {
			route.Kind = catalog.Unsafe
			add("a", 0, func(ctx context.Context, _ exchange.Call) (*exchange.Answer, error) {
				<-ctx.Done()
				return nil, &exchange.BrokenError{Reason: exchange.Cut, Err: ctx.Err()}
			})
			failure := run()
			Expect(failure.Reason).To(Equal(exchange.TimeOver))
			Expect(failure.NotRun).To(BeFalse())
		})
	})

	Describe("that is idempotent", func() {
		BeforeEach(func() { route.Kind = catalog.Safe })

		It("is repeated after a broken or a failed answer", func() {
			add("a", 0, answers(200, io.ErrUnexpectedEOF, "hal"))
			add("b", 1, answers(200, io.EOF, "whole"))
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal("whole"))
		})

		It("gets the endpoint's own failure if all fail", func() {
			add("a", 0, answers(500, io.EOF, "first"))
			add("b", 1, answers(500, io.EOF, "second"))
			Expect(run()).To(BeNil())
			Expect(out.status).To(Equal(500))
		})

		It("reaches no more endpoints than its route allows", func() {
			for i := range 4 {
				add(fmt.Sprint(i), i, fails(&exchange.BrokenError{Reason: exchange.Cut, Err: io.EOF}))
			}
			Expect(run().Reason).To(Equal(exchange.Broken))
			Expect(t.calls).To(HaveLen(2))
		})

		It("is not repeated when the budget is used up", func() {
			retries = exchange.RetryBounds{Window: 10 * time.Second}
			add("a", 0, fails(&exchange.BrokenError{Reason: exchange.Cut, Err: io.EOF}), fails(&exchange.BrokenError{Reason: exchange.Cut, Err: io.EOF}))
			add("b", 1, answers(200, io.EOF, "ok"))
			Expect(run()).To(BeNil(), "each daemon has one to begin with")
			Expect(out.body).To(Equal("ok"))
		})

		It("is tried elsewhere when an endpoint takes too long", func() {
			route.Objective = 20 * time.Millisecond
			add("a", 0, answers(200, nil))
			add("b", 1, answers(200, io.EOF, "ok"))
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal("ok"))
		})

		It("does not pass a body on that exceeds the limit", func() {
			add("a", 0, answers(200, io.EOF, strings.Repeat("x", 101)))
			Expect(run()).NotTo(BeNil())
			Expect(out.body).To(BeEmpty())
		})
	})

	Describe("whose answer is a stream", func() {
		BeforeEach(func() {
			route.Kind = catalog.Streaming
			route.Resumable = true
		})

		It("uses a group again whose streams were all reset at once, when the others are full", func() {
			cut := fails(&exchange.BrokenError{Reason: exchange.Cut, Err: io.ErrUnexpectedEOF})
			add("a", 0, cut, cut, cut, answers(200, io.EOF, event(1)))
			add("b", 12)
			for range 3 {
				Expect(run().Reason).To(Equal(exchange.NoRoom))
				killers = exchange.NewKillers() // they are different requests
			}
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal(event(1)))
		})

		It("breaks off when it breaks after an endpoint's own failure, and ends with no other answer", func() {
			add("a", 0, answers(500, io.EOF, "no"))
			add("b", 1, answers(200, io.ErrUnexpectedEOF, event(1)))
			failure := run()
			Expect(failure).NotTo(BeNil())
			Expect([]any{failure.Reason, failure.Begun}).To(Equal([]any{exchange.Broken, true}))
			Expect([]any{out.status, out.body}).To(Equal([]any{200, event(1)}))
		})

		It("goes on elsewhere after the last whole event, with the head of the first answer", func() {
			add("a", 0, answers(200, io.ErrUnexpectedEOF, event(1), event(2)+"id: 3\nda"))
			add("b", 1, func(ctx context.Context, call exchange.Call) (*exchange.Answer, error) {
				Expect(call.After).To(Equal("2"))
				return &exchange.Answer{Status: 200, Header: http.Header{"From": {"b"}}, Body: &pieces{ctx: ctx, parts: []string{event(3)}, end: io.EOF}}, nil
			})
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal(event(1) + event(2) + event(3)))
			Expect(out.header.Get("From")).To(Equal("200"))
		})

		It("breaks off, and does not look whole, when it may not go on", func() {
			route.Resumable = false
			add("a", 0, answers(200, io.ErrUnexpectedEOF, event(1)))
			add("b", 1, answers(200, io.EOF, event(2)))
			failure := run()
			Expect(failure.Begun).To(BeTrue())
			Expect(t.calls).To(Equal([]string{"a"}))
		})

		It("passes on no event that is missing one before it, or comes twice", func() {
			add("a", 0, answers(200, io.EOF, event(1), event(3)))
			add("b", 1, answers(200, io.EOF, event(1), event(2)))
			failure := run()
			Expect(failure.Begun).To(BeTrue())
			Expect(out.body).To(Equal(event(1)))
		})

		It("does not take an end amid an event for the end", func() {
			add("a", 0, answers(200, io.EOF, event(1), "id: 2\n"))
			add("b", 1, answers(200, io.EOF, event(2)))
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal(event(1) + event(2)))
		})

		It("leaves a group that has fallen silent, and tells of it", func() {
			add("a", 0, answers(200, nil, event(1)))
			add("b", 1, answers(200, io.EOF, event(2)))
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal(event(1) + event(2)))
			Expect(doubted).To(Equal([]string{"a"}))
		})

		It("stays at a silent group when there is no other", func() {
			add("a", 0, func(ctx context.Context, _ exchange.Call) (*exchange.Answer, error) {
				return &exchange.Answer{Status: 200, Body: &pieces{ctx: ctx, parts: []string{event(1), event(2)}, end: io.EOF, every: 250 * time.Millisecond}}, nil
			})
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal(event(1) + event(2)))
		})

		It("ends when its caller has gone", func() {
			out.err = io.ErrClosedPipe
			add("a", 0, answers(200, io.EOF, event(1)))
			Expect(run().Reason).To(Equal(exchange.CallerGone))
		})

		It("is refused at once when all groups are full", func() {
			add("a", 12)
			failure := run()
			Expect(failure.Reason).To(Equal(exchange.NoRoom))
			Expect(failure.NotRun).To(BeTrue())
			Expect(t.calls).To(BeEmpty())
		})
	})

	It("is refused once it has crashed what ran it three times, here and elsewhere together", func() {
		now := time.Now()
		killers.Blame(7, now)
		killers.SetOther(map[uint64]int{7: 2}, now)
		add("a", 0, answers(200, io.EOF, "ok"))
		failure := run()
		Expect(failure.Reason).To(Equal(exchange.Killer))
		Expect(failure.NotRun).To(BeTrue())
		Expect(t.calls).To(BeEmpty())
	})

	It("is not held for a killer once it was served", func() {
		killers.Blame(7, time.Now())
		add("a", 0, answers(200, io.EOF, "ok"))
		Expect(run()).To(BeNil())
		Expect(killers.Own(time.Now())).To(BeEmpty())
	})
})

var _ = Describe("The retry budget", func() {
	// Load answered: eight daemons whose endpoints fail every request for 30 s.
	It("keeps all daemons together below the share and the slack in any window", func() {
		const daemons, window, share, slack = 8, 10, 0.2, 134.0
		budgets := make([]*exchange.Budget, daemons)
		for i := range budgets {
			budgets[i] = exchange.NewBudget(share, slack, window*time.Second)
		}
		start := time.Unix(1000, 0)
		var perSecond []int
		const requests = 20
		for second := range 40 {
			taken := 0
			for _, budget := range budgets {
				for i := range requests {
					now := start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/requests)
					budget.Earn(now, daemons)
					if second >= 10 && budget.Take(now, daemons) {
						taken++
					}
				}
			}
			perSecond = append(perSecond, taken)
		}
		for from := range len(perSecond) - window {
			sum := 0
			for _, taken := range perSecond[from : from+window] {
				sum += taken
			}
			Expect(sum).To(BeNumerically("<=", share*requests*daemons*window+slack))
		}
	})
})
