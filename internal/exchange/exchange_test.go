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
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// script is an endpoint's response to one attempt.
type script func(ctx context.Context, call exchange.Call) (*exchange.Answer, error)

// transport answers each attempt with the next script of its target.
type transport struct {
	mu      sync.Mutex
	scripts map[string][]script
	calls   []string // target key and, if set, Call.After
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

// sink records an answer.
type sink struct {
	mu     sync.Mutex
	status int
	header http.Header
	body   string
	err    error
}

func (s *sink) Complete(status int, header http.Header, body []byte) error {
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

func (s *sink) Interrupt() {}

// chunkedBody is a body that arrives in chunks and then ends, fails or blocks.
type chunkedBody struct {
	ctx      context.Context
	chunks   []string
	end      error // nil: it blocks until the attempt ends
	interval time.Duration
}

func (p *chunkedBody) Read(into []byte) (int, error) {
	if p.ctx != nil && p.ctx.Err() != nil {
		return 0, p.ctx.Err()
	}
	if len(p.chunks) > 0 {
		time.Sleep(p.interval)
		n := copy(into, p.chunks[0])
		p.chunks = p.chunks[1:]
		return n, nil
	}
	if p.end != nil {
		return 0, p.end
	}
	<-p.ctx.Done()
	return 0, p.ctx.Err()
}

func (p *chunkedBody) Close() error { return nil }

func answers(status int, end error, chunks ...string) script {
	return func(ctx context.Context, _ exchange.Call) (*exchange.Answer, error) {
		return &exchange.Answer{Status: status, Header: http.Header{"From": {fmt.Sprint(status)}}, Body: &chunkedBody{ctx: ctx, chunks: chunks, end: end}}, nil
	}
}

// typed is the script of a 200 answer of a content type.
func typed(contentType string, end error, chunks ...string) script {
	return func(ctx context.Context, _ exchange.Call) (*exchange.Answer, error) {
		return &exchange.Answer{Status: 200, Header: http.Header{"Content-Type": {contentType}}, Body: &chunkedBody{ctx: ctx, chunks: chunks, end: end}}, nil
	}
}

func failsWith(err error) script {
	return func(context.Context, exchange.Call) (*exchange.Answer, error) { return nil, err }
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

var _ = Describe("A request", func() {
	var t *transport
	var targets []*placement.Target
	var evacuated *placement.View
	var suspected []string
	var suspects *suspect.Table
	var ownsTrial bool
	var parts []uint64
	var retries exchange.RetryBounds
	var out *sink
	var body []byte
	var failedRequests *exchange.FailedRequests
	var callerLeft func(context.Context) bool
	route := catalog.Route{}
	prompt := 0
	add := func(key string, load int, scripts ...script) *placement.Target {
		meter := targetstats.NewMeter()
		meter.SetRemoteInFlight(load)
		meter.SetMaxPass(20 * time.Millisecond)
		target := &placement.Target{Key: key, ID: key, Slots: 10, Group: key, Meter: meter}
		targets = append(targets, target)
		t.scripts[key] = scripts
		return target
	}
	runUntil := func(ctx context.Context) *exchange.Failure {
		service := &catalog.Service{Name: "s"}
		view := &placement.View{Plain: map[string][]*placement.Target{"s": targets}}
		if route.Kind == catalog.Streaming {
			service.Models = []catalog.Model{{Name: "m", GroupSize: 1}}
			view.Groups = map[string]map[string][]*placement.Target{"s": {"m": targets}}
		}
		view.Evacuated = evacuated
		x := exchange.New(exchange.Dependencies{
			View: func() *placement.View { return view }, Transport: t, Daemons: func() int { return 1 }, GossipDelay: func() time.Duration { return 0 }, Suspects: suspects, OwnsTrial: func(suspect.Trait) bool { return ownsTrial }, FailedRequests: failedRequests,
			Metrics: exchange.NewMetrics(metrics.NewSet()), Logger: slog.New(slog.DiscardHandler), Retries: retries, BodyLimit: 100, CallerLeft: callerLeft,
			ReportSuspect: func(target *placement.Target, _ string, tentative bool) {
				if !tentative {
					suspected = append(suspected, target.Key)
				}
			},
		})
		now := time.Now()
		used := route // a check of the attempt may outlast the request
		return x.Run(ctx, &exchange.Request{
			ID: "r", Route: &used, Service: service, Model: "m", PromptTokens: prompt, Fingerprint: 7, Body: body, PromptParts: parts, Arrived: now, Deadline: now.Add(2 * time.Second),
		}, out)
	}
	run := func() *exchange.Failure { return runUntil(context.Background()) }
	BeforeEach(func() {
		t = &transport{scripts: map[string][]script{}}
		targets, evacuated, suspected, prompt = nil, nil, nil, 0
		suspects = suspect.NewTable(suspect.Policy{})
		ownsTrial, parts, body, callerLeft = true, nil, nil, nil
		failedRequests = exchange.NewFailedRequests()
		retries = exchange.RetryBounds{Share: 0.2, Slack: 100, Window: 10 * time.Second}
		out = &sink{}
		route = catalog.Route{Name: "r", Kind: catalog.Unsafe, MaxAttempts: 2}
	})

	It("does not change the health of a target when the caller cancels", func() {
		route.Kind = catalog.Streaming
		for _, broken := range []error{&exchange.NotSentError{Err: io.EOF}, &exchange.BrokenError{Reason: exchange.Cut, Err: io.EOF}} {
			ctx, cancel := context.WithCancel(context.Background())
			left := add("left", 0, func(context.Context, exchange.Call) (*exchange.Answer, error) {
				cancel()
				return nil, broken
			})
			Expect(runUntil(ctx).Reason).To(Equal(exchange.CallerGone))
			now := time.Now()
			Expect([]bool{left.Meter.InBackoff(now), left.Meter.RecentlyInterrupted(now)}).To(Equal([]bool{false, false}))
			targets = nil
		}
		Expect(suspected).To(BeEmpty())
		Expect(suspects.Reports(time.Now())).To(BeEmpty())
	})

	// Guards against retries for callers that left while the process stood still.
	It("is not sent again once its caller has left, though its context has not ended", func() {
		callerLeft = func(context.Context) bool { return true }
		add("full", 0, failsWith(&exchange.NotRunError{Status: 503}))
		add("free", 1, answers(200, io.EOF, "x"))
		Expect(run().Reason).To(Equal(exchange.CallerGone))
		Expect(t.calls).To(Equal([]string{"full"}))
	})

	// Guards against waiting, and against a refusal that names another reason or may have run.
	It("is refused at once as not run if all targets are in evacuated data centres", func() {
		evacuated = &placement.View{Plain: map[string][]*placement.Target{"s": {{Key: "left out"}}}}
		began := time.Now()
		failure := run()
		Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
		Expect(failure.Reason).To(Equal(exchange.Evacuated))
		Expect(failure.NotRun).To(BeTrue())
		Expect(failure.RetryAfter).To(And(BeNumerically(">=", time.Second), BeNumerically("<", 1600*time.Millisecond)))
		Expect(t.calls).To(BeEmpty())
		evacuated = nil
		Expect(run().Reason).To(Equal(exchange.NoTarget))
	})

	It("is counted as a waiting prompt until the first event or the end of the attempt", func() {
		route.Kind = catalog.Streaming
		route.Resumable = true
		prompt = 700
		var waitingTokens []int
		recordWaiting := func(target **placement.Target, next script) script {
			return func(ctx context.Context, call exchange.Call) (*exchange.Answer, error) {
				waitingTokens = append(waitingTokens, (*target).Meter.LocalPrefillTokens())
				return next(ctx, call)
			}
		}
		var a, b *placement.Target
		a = add("a", 0, recordWaiting(&a, failsWith(&exchange.NotRunError{Status: 503})))
		b = add("b", 1, recordWaiting(&b, answers(200, io.EOF, event(1), event(2))))
		Expect(run()).To(BeNil())
		Expect(waitingTokens).To(Equal([]int{700, 700}))
		Expect([]int{a.Meter.PrefillTokens(), b.Meter.PrefillTokens()}).To(Equal([]int{0, 0}))
	})

	Describe("of an unsafe route", func() {
		It("is not retried once it may have run", func() {
			add("a", 0, failsWith(&exchange.BrokenError{Reason: exchange.Cut, Err: io.ErrUnexpectedEOF}))
			add("b", 1, answers(200, io.EOF, "ok"))
			failure := run()
			Expect(failure.Reason).To(Equal(exchange.Broken))
			Expect(failure.NotRun).To(BeFalse())
			Expect(t.calls).To(Equal([]string{"a"}))
		})

		It("is retried at another endpoint if it was not sent or provably did not run", func() {
			add("a", 0, failsWith(&exchange.NotSentError{Err: io.EOF}))
			add("b", 1, failsWith(&exchange.NotRunError{Status: 503}))
			add("c", 2, answers(200, io.EOF, "ok"))
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal("ok"))
			Expect(t.calls).To(Equal([]string{"a", "b", "c"}))
		})

		It("reaches the only endpoint by another way if the first one failed, which is held against nobody", func() {
			only := add("a", 0, failsWith(&exchange.NotSentError{Blame: outbound.BlamePath, Err: io.EOF}), answers(200, io.EOF, "ok"))
			Expect(run()).To(BeNil())
			Expect(t.calls).To(Equal([]string{"a", "a"}))
			Expect(suspected).To(BeEmpty())
			Expect(only.Meter.InBackoff(time.Now())).To(BeFalse())
		})

		It("goes to another endpoint if the daemon that would send it may not, which is held against nobody", func() {
			held := add("a", 0, failsWith(&exchange.NotSentError{Blame: outbound.BlameHold, Err: io.EOF}))
			add("b", 1, answers(200, io.EOF, "ok"))
			Expect(run()).To(BeNil())
			Expect(t.calls).To(Equal([]string{"a", "b"}))
			Expect(suspected).To(BeEmpty())
			Expect(held.Meter.InBackoff(time.Now())).To(BeFalse())
		})

		It("is neither sent again nor called not run if the way was lost after it may have run", func() {
			route.Kind, route.MaxAttempts = catalog.Unsafe, 3
			only := add("a", 0, failsWith(&exchange.BrokenError{Reason: exchange.PathLost, Err: io.EOF}), answers(200, io.EOF, "twice"))
			failure := run()
			Expect(failure).NotTo(BeNil())
			Expect(failure.NotRun).To(BeFalse())
			Expect(t.calls).To(Equal([]string{"a"}))
			Expect(only.Meter.InBackoff(time.Now())).To(BeFalse())
		})

		It("goes on after its last event if the way is lost midway", func() {
			route.Kind, route.Resumable, route.MaxAttempts = catalog.Streaming, true, 3
			add("a", 0, answers(200, &outbound.PathLostError{Via: "n", Err: io.EOF}, event(1), event(2)), answers(200, io.EOF, event(3)))
			Expect(run()).To(BeNil())
			Expect(t.calls).To(Equal([]string{"a", "a 2"}))
			Expect(out.body).To(Equal(event(1) + event(2) + event(3)))
		})

		It("is refused as not run with a retry delay if no endpoint ran it", func() {
			add("a", 0, failsWith(&exchange.NotRunError{Status: 503}))
			failure := run()
			Expect(failure.NotRun).To(BeTrue())
			Expect(failure.RetryAfter).To(BeNumerically(">", 0))
		})

		It("receives an endpoint's error answer unchanged", func() {
			add("a", 0, answers(500, io.EOF, "no"))
			Expect(run()).To(BeNil())
			Expect([]any{out.status, out.body}).To(Equal([]any{500, "no"}))
		})

		It("fails at its deadline with NotRun false if it may have run", func() {
			route.Kind = catalog.Unsafe
			add("a", 0, func(ctx context.Context, _ exchange.Call) (*exchange.Answer, error) {
				<-ctx.Done()
				return nil, &exchange.BrokenError{Reason: exchange.Cut, Err: ctx.Err()}
			})
			failure := run()
			Expect(failure.Reason).To(Equal(exchange.DeadlineExceeded))
			Expect(failure.NotRun).To(BeFalse())
		})
	})

	Describe("of an idempotent route", func() {
		BeforeEach(func() { route.Kind = catalog.Safe })

		It("is retried after a broken answer", func() {
			add("a", 0, answers(200, io.ErrUnexpectedEOF, "hal"))
			add("b", 1, answers(200, io.EOF, "whole"))
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal("whole"))
		})

		It("receives an endpoint's error answer if all endpoints fail", func() {
			add("a", 0, answers(500, io.EOF, "first"))
			add("b", 1, answers(500, io.EOF, "second"))
			Expect(run()).To(BeNil())
			Expect(out.status).To(Equal(500))
		})

		It("is attempted at most as often as its route allows", func() {
			for i := range 4 {
				add(fmt.Sprint(i), i, failsWith(&exchange.BrokenError{Reason: exchange.Cut, Err: io.EOF}))
			}
			Expect(run().Reason).To(Equal(exchange.Broken))
			Expect(t.calls).To(HaveLen(2))
		})

		It("is retried once with an empty budget, since each daemon starts with one token", func() {
			retries = exchange.RetryBounds{Window: 10 * time.Second}
			add("a", 0, failsWith(&exchange.BrokenError{Reason: exchange.Cut, Err: io.EOF}), failsWith(&exchange.BrokenError{Reason: exchange.Cut, Err: io.EOF}))
			add("b", 1, answers(200, io.EOF, "ok"))
			Expect(run()).To(BeNil(), "each daemon starts with one token")
			Expect(out.body).To(Equal("ok"))
		})

		It("is retried at another endpoint if one takes too long", func() {
			route.LatencyTarget = 20 * time.Millisecond
			add("a", 0, answers(200, nil))
			add("b", 1, answers(200, io.EOF, "ok"))
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal("ok"))
		})

		It("is not answered with a body that exceeds the limit", func() {
			add("a", 0, answers(200, io.EOF, strings.Repeat("x", 101)))
			Expect(run()).NotTo(BeNil())
			Expect(out.body).To(BeEmpty())
		})
	})

	Describe("of a streaming route", func() {
		BeforeEach(func() {
			route.Kind = catalog.Streaming
			route.Resumable = true
		})

		It("reuses a group whose streams were all reset at once if the other groups are full", func() {
			cut := failsWith(&exchange.BrokenError{Reason: exchange.Cut, Err: io.ErrUnexpectedEOF})
			add("a", 0, cut, cut, cut, answers(200, io.EOF, event(1)))
			add("b", 12)
			for range 3 {
				Expect(run().Reason).To(Equal(exchange.NoCapacity))
				suspects = suspect.NewTable(suspect.Policy{}) // treat the next run as a different request
			}
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal(event(1)))
		})

		It("fails without appending an earlier error answer if its stream breaks", func() {
			add("a", 0, answers(500, io.EOF, "no"))
			add("b", 1, answers(200, io.ErrUnexpectedEOF, event(1)))
			failure := run()
			Expect(failure).NotTo(BeNil())
			Expect([]any{failure.Reason, failure.Started}).To(Equal([]any{exchange.Broken, true}))
			Expect([]any{out.status, out.body}).To(Equal([]any{200, event(1)}))
		})

		// Guards against the text of an answer within the stream, and an end as if it were complete.
		DescribeTable("is cut off, without anything added, if the next endpoint sends no rest of its stream",
			func(next script) {
				add("a", 0, answers(200, io.ErrUnexpectedEOF, event(1)+"id: 2\nda"))
				add("b", 1, next)
				failure := run()
				Expect(failure).NotTo(BeNil())
				Expect(failure.Started).To(BeTrue())
				Expect([]any{out.status, out.body}).To(Equal([]any{200, event(1)}))
			},
			Entry("500", answers(500, io.EOF, "no\n\n")),
			Entry("502", answers(502, io.EOF, "no\n\n")),
			Entry("504", answers(504, io.EOF, "no\n\n")),
			Entry("404", answers(404, io.EOF, event(2))),
			Entry("302", answers(302, io.EOF, event(2))),
			Entry("201", answers(201, io.EOF, event(2))),
			Entry("204", answers(204, io.EOF)),
			Entry("206", answers(206, io.EOF, event(2))),
			Entry("503 that did not run", failsWith(&exchange.NotRunError{Status: 503})),
			Entry("429 that may have run", failsWith(&exchange.BrokenError{Reason: exchange.ErrorStatus, Err: &exchange.StatusError{Status: 429}})),
			Entry("200 without a signature", failsWith(&exchange.BrokenError{Reason: exchange.Unsigned})),
			Entry("another event than the next", answers(200, io.EOF, event(3))),
			Entry("the last event again", answers(200, io.EOF, event(1))),
			Entry("text", answers(200, io.EOF, "no")),
			Entry("text with an empty line", answers(200, io.EOF, "no\n\nno\n\n")),
			Entry("the head of an answer", answers(200, io.EOF, "HTTP/1.1 500 Internal Server Error\nServer: b\n\n"+event(2))),
			Entry("the head of an answer before the next event", answers(200, io.EOF, "HTTP/1.1 200 OK\r\nServer: b\r\n\r\n"+event(2))),
			Entry("text before the next event", answers(200, io.EOF, "no\n"+event(2))),
			Entry("text after a comment", answers(200, io.EOF, ": on\n\nno\n\n")),
			Entry("an event without an ID", answers(200, io.EOF, "data: no\n\n")),
			Entry("a page", typed("text/html", io.EOF, event(2))),
			Entry("an empty page", typed("text/html", io.EOF)),
		)

		It("is cut off if its events have no IDs, after which another endpoint would begin anew", func() {
			add("a", 0, answers(200, io.ErrUnexpectedEOF, "data: x\n\n"))
			add("b", 1, answers(200, io.EOF, event(1)))
			Expect(run().Started).To(BeTrue())
			Expect(out.body).To(Equal("data: x\n\n"))
		})

		It("goes on with comments, and fields before the ID, of the next endpoint", func() {
			add("a", 0, answers(200, io.ErrUnexpectedEOF, event(1)))
			rest := []string{": on\n\n", "weight-versions: 3\n" + event(2), "data: without an ID\n\n", event(3)}
			add("b", 1, answers(200, io.EOF, rest...))
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal(event(1) + strings.Join(rest, "")))
		})

		It("resumes at another group after the last complete event and keeps the head of the first answer", func() {
			add("a", 0, answers(200, io.ErrUnexpectedEOF, event(1), event(2)+"id: 3\nda"))
			add("b", 1, func(ctx context.Context, call exchange.Call) (*exchange.Answer, error) {
				Expect(call.After).To(Equal("2"))
				return &exchange.Answer{Status: 200, Header: http.Header{"From": {"b"}}, Body: &chunkedBody{ctx: ctx, chunks: []string{event(3)}, end: io.EOF}}, nil
			})
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal(event(1) + event(2) + event(3)))
			Expect(out.header.Get("From")).To(Equal("200"))
		})

		It("fails after its answer began if the route is not resumable", func() {
			route.Resumable = false
			add("a", 0, answers(200, io.ErrUnexpectedEOF, event(1)))
			add("b", 1, answers(200, io.EOF, event(2)))
			failure := run()
			Expect(failure.Started).To(BeTrue())
			Expect(t.calls).To(Equal([]string{"a"}))
		})

		It("receives no events after a gap and no duplicate events", func() {
			add("a", 0, answers(200, io.EOF, event(1), event(3)))
			add("b", 1, answers(200, io.EOF, event(1), event(2)))
			failure := run()
			Expect(failure.Started).To(BeTrue())
			Expect(out.body).To(Equal(event(1)))
		})

		It("is resumed if a body ends within an event", func() {
			add("a", 0, answers(200, io.EOF, event(1), "id: 2\n"))
			add("b", 1, answers(200, io.EOF, event(2)))
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal(event(1) + event(2)))
		})

		It("leaves a group that stopped sending events and reports it", func() {
			add("a", 0, answers(200, nil, event(1)))
			add("b", 1, answers(200, io.EOF, event(2)))
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal(event(1) + event(2)))
			Expect(suspected).To(Equal([]string{"a"}))
		})

		It("leaves a group that sends bytes now and then but completes no event", func() {
			trickle := []string{event(1)}
			for range 80 {
				trickle = append(trickle, "x")
			}
			add("a", 0, func(ctx context.Context, _ exchange.Call) (*exchange.Answer, error) {
				return &exchange.Answer{Status: 200, Header: http.Header{}, Body: &chunkedBody{ctx: ctx, chunks: trickle, interval: 20 * time.Millisecond}}, nil
			})
			add("b", 1, answers(200, io.EOF, event(2), event(3)))
			started := time.Now()
			Expect(run()).To(BeNil())
			Expect(time.Since(started)).To(BeNumerically("<", time.Second))
			Expect(out.body).To(Equal(event(1) + event(2) + event(3)))
			Expect(t.calls).To(Equal([]string{"a", "b 1"}))
		})

		It("stays at a slow group if there is no other", func() {
			add("a", 0, func(ctx context.Context, _ exchange.Call) (*exchange.Answer, error) {
				return &exchange.Answer{Status: 200, Body: &chunkedBody{ctx: ctx, chunks: []string{event(1), event(2)}, end: io.EOF, interval: 250 * time.Millisecond}}, nil
			})
			Expect(run()).To(BeNil())
			Expect(out.body).To(Equal(event(1) + event(2)))
		})

		It("ends when its caller closes the connection", func() {
			out.err = io.ErrClosedPipe
			add("a", 0, answers(200, io.EOF, event(1)))
			Expect(run().Reason).To(Equal(exchange.CallerGone))
		})

		It("is refused immediately if all groups are full", func() {
			add("a", 12)
			failure := run()
			Expect(failure.Reason).To(Equal(exchange.NoCapacity))
			Expect(failure.NotRun).To(BeTrue())
			Expect(t.calls).To(BeEmpty())
		})
	})

	It("is refused after three endpoint crashes, counted over all daemons", func() {
		now := time.Now()
		suspects.Add(suspect.Crash{Subject: suspect.Subject{Fingerprint: 7}, Group: 1, At: now}, now)
		suspects.Merge([]suspect.Report{{Hash: 7, Crashes: []suspect.ReportedCrash{{Group: 2}, {Group: 3}}}}, now)
		add("a", 0, answers(200, io.EOF, "ok"))
		failure := run()
		Expect(failure.Reason).To(Equal(exchange.CrashSuspect))
		Expect(failure.NotRun).To(BeTrue())
		Expect(t.calls).To(BeEmpty())
	})

	accused := func(part uint64) bool {
		for _, report := range suspects.Reports(time.Now()) {
			for _, crash := range report.Crashes {
				if report.Part && report.Hash == part && !crash.Cleared {
					return true
				}
			}
		}
		return false
	}

	It("accuses its prompt parts of a crash at the beginning of the answer, and clears them once it has been writing for a while", func() {
		route.Kind, parts = catalog.Streaming, []uint64{5}
		add("a", 0, answers(200, io.ErrUnexpectedEOF))
		Expect(run()).NotTo(BeNil())
		Expect(accused(5)).To(BeTrue())
		targets = nil
		add("b", 0, answers(200, io.ErrUnexpectedEOF, event(1)))
		parts = []uint64{6}
		Expect(run()).NotTo(BeNil())
		Expect(accused(6)).To(BeTrue(), "the group may have ended with its first output")
		targets = nil
		parts = []uint64{5, 7}
		add("c", 0, func(ctx context.Context, _ exchange.Call) (*exchange.Answer, error) {
			chunks := []string{event(1), event(2), event(3), event(4)}
			return &exchange.Answer{Status: 200, Body: &chunkedBody{ctx: ctx, chunks: chunks, end: io.ErrUnexpectedEOF, interval: 100 * time.Millisecond}}, nil
		})
		Expect(run()).NotTo(BeNil())
		Expect([]bool{accused(5), accused(7)}).To(Equal([]bool{false, false}))
	})

	It("is withdrawn without output when one of its prompt parts is refused meanwhile", func() {
		route.Kind, parts = catalog.Streaming, []uint64{5, 6}
		add("a", 0, answers(200, nil))
		add("b", 5, answers(200, nil))
		time.AfterFunc(100*time.Millisecond, func() {
			crashes := []suspect.ReportedCrash{{Group: 1}, {Group: 2}, {Group: 3}}
			suspects.Merge([]suspect.Report{{Part: true, Hash: 6, Crashes: crashes}}, time.Now())
		})
		started := time.Now()
		failure := run()
		Expect(failure.Reason).To(Equal(exchange.CrashSuspect))
		Expect(failure.NotRun).To(BeFalse(), "the endpoint may have begun")
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
		Expect(t.calls).To(Equal([]string{"a"}))
	})

	It("is refused for a prompt part with the time until it may be tried again, and runs as a trial if this daemon owns it", func() {
		crashedAt := time.Now().Add(-time.Minute)
		parts = []uint64{6}
		for group := range 3 {
			suspects.Add(suspect.Crash{Subject: suspect.Subject{Parts: parts}, Group: fleet.FencingNumber(group), At: crashedAt}, time.Now())
		}
		add("a", 0, answers(200, io.EOF, "ok"))
		ownsTrial = false
		failure := run()
		Expect(failure.Reason).To(Equal(exchange.CrashSuspect))
		Expect(failure.NotRun).To(BeTrue())
		Expect(failure.RetryAfter).To(BeNumerically(">=", time.Second))
		ownsTrial = true
		Expect(run()).To(BeNil())
		Expect(accused(6)).To(BeFalse())
	})

	Describe("at endpoints that name a limit", func() {
		// limited gives a target a limit of which this daemon may send some requests at once, none or one.
		limited := func(target *placement.Target, now int) {
			limits := targetstats.NewLimits()
			target.Limit = limits.GetOrCreate(target.ID, 1)
			learntAt := time.Now().Add(-time.Hour)
			target.Limit.Observe(1, learntAt)
			if now > 0 {
				limits.Share([]string{"n"}, "n", learntAt)
			}
		}
		named := func(status int, end error, chunks ...string) script {
			return func(ctx context.Context, call exchange.Call) (*exchange.Answer, error) {
				answer, err := answers(status, end, chunks...)(ctx, call)
				answer.NamesLimit = true
				return answer, err
			}
		}

		It("goes elsewhere once this daemon's share is used, and is refused with a time if there is no other", func() {
			limited(add("a", 0, named(200, io.EOF, "ok"), named(200, io.EOF, "ok")), 1)
			add("b", 5, answers(200, io.EOF, "ok"))
			Expect(run()).To(BeNil())
			Expect(run()).To(BeNil())
			Expect(t.calls).To(Equal([]string{"a", "b"}))
			targets = targets[:1]
			failure := run()
			Expect(failure.Reason).To(Equal(exchange.HeldBack))
			Expect(failure.NotRun).To(BeTrue())
			Expect(failure.RetryAfter).To(BeNumerically(">", 900*time.Millisecond), "one request a second, the last one just now")
		})

		It("counts second attempts and resumed streams", func() {
			route.Kind, route.Resumable = catalog.Streaming, true
			add("a", 0, answers(200, io.ErrUnexpectedEOF, event(1)))
			limited(add("b", 1, named(200, io.EOF, event(2))), 0)
			add("c", 5, answers(200, io.EOF, event(2)))
			Expect(run()).To(BeNil())
			Expect(t.calls).To(Equal([]string{"a", "c 1"}))

			t.calls, targets = nil, nil
			add("d", 0, answers(200, io.ErrUnexpectedEOF, event(1)))
			second := add("e", 1, named(200, io.EOF, event(2)))
			limited(second, 1)
			Expect(run()).To(BeNil())
			Expect(t.calls).To(Equal([]string{"d", "e 1"}))
			Expect(second.Limit.Admits(time.Now())).To(BeFalse())
		})

		// cold makes a target's endpoint cold. This daemon may send one request at once.
		cold := func(target *placement.Target) {
			limits := targetstats.NewLimits()
			target.Limit = limits.GetOrCreate(target.ID, 1)
			began := time.Now().Add(-time.Hour)
			target.Limit.MarkCold(time.Now().Add(time.Hour), began)
			target.Limit.SetColdShare(1, began)
		}

		It("goes elsewhere when the share of a cold one is used, and is refused with a time if there is no other", func() {
			cold(add("a", 0, answers(200, io.EOF, "ok")))
			add("b", 5, answers(200, io.EOF, "ok"))
			Expect(run()).To(BeNil())
			Expect(run()).To(BeNil())
			Expect(t.calls).To(Equal([]string{"a", "b"}))
			targets = targets[:1]
			failure := run()
			Expect(failure.Reason).To(Equal(exchange.HeldBack))
			Expect(failure.NotRun).To(BeTrue())
			Expect(failure.RetryAfter).To(BeNumerically(">", 900*time.Millisecond))
		})

		// A cold endpoint takes few requests; they are for answers that can be in time.
		It("takes nothing of a cold one if its answer is late, in second attempts too", func() {
			route.LatencyTarget = 20 * time.Millisecond
			add("a", 0, func(context.Context, exchange.Call) (*exchange.Answer, error) {
				time.Sleep(2 * route.LatencyTarget)
				return nil, &exchange.NotRunError{Status: 503}
			})
			second := add("b", 1, answers(200, io.EOF, "ok"))
			cold(second)
			add("c", 5, answers(200, io.EOF, "ok"))
			Expect(run()).To(BeNil())
			Expect(t.calls).To(Equal([]string{"a", "c"}))
			Expect(second.Limit.Admits(time.Now())).To(BeTrue())
		})

		// Requests without a body are alike, as those of different callers for one page: if one was refused,
		// the others are not late.
		It("takes nothing of a cold one if it was refused before, unless it has no body to know it by", func() {
			failedRequests.Record(7, time.Now())
			body = []byte("x")
			cold(add("a", 0, answers(200, io.EOF, "ok")))
			add("b", 5, answers(200, io.EOF, "ok"))
			Expect(run()).To(BeNil())
			Expect(t.calls).To(Equal([]string{"b"}))
			body = nil
			Expect(run()).To(BeNil())
			Expect(t.calls).To(Equal([]string{"b", "a"}))
		})

		It("sends as before after an answer that names none", func() {
			limited(add("a", 0, answers(200, io.EOF, "ok"), answers(200, io.EOF, "ok")), 1)
			Expect(run()).To(BeNil())
			Expect(run()).To(BeNil())
			Expect(t.calls).To(Equal([]string{"a", "a"}))
		})
	})

	It("is no longer counted as a crash suspect once it was served", func() {
		suspects.Add(suspect.Crash{Subject: suspect.Subject{Fingerprint: 7}, Group: 1, At: time.Now()}, time.Now())
		add("a", 0, answers(200, io.EOF, "ok"))
		Expect(run()).To(BeNil())
		Expect(suspects.Len()).To(BeZero())
	})
})

var _ = Describe("The retry budget", func() {
	// Eight daemons whose endpoints fail every request for 30 s would otherwise multiply
	// the load by their retries.
	It("limits the retries of all daemons together to the share plus the slack in any window", func() {
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
