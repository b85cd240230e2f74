package exchange_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/heldbytes"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// blockingSink blocks each write until the caller takes it, or until it is interrupted.
type blockingSink struct {
	sink
	reads       chan struct{} // closed: the caller takes everything
	interrupted chan struct{}
	once        sync.Once
}

func newBlockingSink() *blockingSink {
	return &blockingSink{reads: make(chan struct{}), interrupted: make(chan struct{})}
}

func (s *blockingSink) Events(data []byte) error {
	select {
	case <-s.reads:
		return s.sink.Events(data)
	case <-s.interrupted:
		return net.ErrClosed
	}
}

func (s *blockingSink) Interrupt() { s.once.Do(func() { close(s.interrupted) }) }

// numberedBody sends events until one after the last, and ends or fails then.
type numberedBody struct {
	ctx        context.Context
	next, last int
	end        error
	sent       *atomic.Int64 // bytes
}

func largeEvent(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 1000))
}

func (b *numberedBody) Read(into []byte) (int, error) {
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	if b.next > b.last {
		return 0, b.end
	}
	n := copy(into, largeEvent(b.next))
	b.next++
	b.sent.Add(int64(n))
	return n, nil
}

func (b *numberedBody) Close() error { return nil }

// loadSink records the load of a target when a complete answer is written.
type loadSink struct {
	sink
	meter *targetstats.Meter
	load  int
}

func (s *loadSink) Complete(status int, header http.Header, body []byte) error {
	s.load = s.meter.Load()
	return s.sink.Complete(status, header, body)
}

var _ = Describe("An answer that is not streamed", func() {
	// Guards against endpoints that count as busy while only the caller is slow.
	It("is no load of its endpoint while it is written to the caller", func() {
		out := &loadSink{meter: targetstats.NewMeter()}
		view := &placement.View{Plain: map[string][]*placement.Target{"s": {{Key: "a", ID: "a", Slots: 10, Meter: out.meter}}}}
		x := exchange.New(exchange.Dependencies{
			View: func() *placement.View { return view }, Transport: &transport{scripts: map[string][]script{"a": {answers(200, io.EOF, "whole")}}},
			Daemons: func() int { return 1 }, GossipDelay: func() time.Duration { return 0 }, Suspects: suspect.NewTable(suspect.Policy{}), FailedRequests: exchange.NewFailedRequests(),
			Metrics: exchange.NewMetrics(metrics.NewSet()), Logger: slog.New(slog.DiscardHandler), BodyLimit: 100,
		})
		now := time.Now()
		route := &catalog.Route{Name: "r", Kind: catalog.Unsafe, MaxAttempts: 1}
		Expect(x.Run(context.Background(), &exchange.Request{Route: route, Service: &catalog.Service{Name: "s"}, Arrived: now, Deadline: now.Add(time.Second)}, out)).To(BeNil())
		Expect(out.body).To(Equal("whole"))
		Expect(out.load).To(BeZero())
	})
})

var _ = Describe("A stream whose caller reads slowly", func() {
	var t *transport
	var sent atomic.Int64
	var out *blockingSink
	var meter *targetstats.Meter
	var held *heldbytes.Account
	var deadline, timeout time.Duration
	var failed chan *exchange.Failure
	numbered := func(first, last int, end error) script {
		return func(ctx context.Context, _ exchange.Call) (*exchange.Answer, error) {
			return &exchange.Answer{Status: 200, Body: &numberedBody{ctx: ctx, next: first, last: last, end: end, sent: &sent}}, nil
		}
	}
	events := func(last int) string {
		var text strings.Builder
		for id := 1; id <= last; id++ {
			text.WriteString(largeEvent(id))
		}
		return text.String()
	}
	start := func(limit int64, scripts ...script) {
		held = heldbytes.NewAccount(limit, metrics.NewSet())
		t.scripts["a"], t.scripts["b"] = scripts[:1], scripts[1:]
		meter = targetstats.NewMeter()
		other := targetstats.NewMeter()
		other.SetRemoteInFlight(3)
		targets := []*placement.Target{{Key: "a", ID: "a", Slots: 10, Group: "a", Meter: meter}, {Key: "b", ID: "b", Slots: 10, Group: "b", Meter: other}}
		view := &placement.View{Groups: map[string]map[string][]*placement.Target{"s": {"m": targets}}}
		x := exchange.New(exchange.Dependencies{
			View: func() *placement.View { return view }, Transport: t, Daemons: func() int { return 1 }, GossipDelay: func() time.Duration { return 0 },
			Suspects: suspect.NewTable(suspect.Policy{}), FailedRequests: exchange.NewFailedRequests(), Metrics: exchange.NewMetrics(metrics.NewSet()),
			Logger: slog.New(slog.DiscardHandler), Retries: exchange.RetryBounds{Share: 0.2, Slack: 100, Window: time.Second}, BodyLimit: 100,
			ReportSuspect: func(*placement.Target, string, bool) {}, Held: held, SlowReaderTimeout: timeout,
		})
		route := &catalog.Route{Name: "r", Kind: catalog.Streaming, MaxAttempts: 2, Resumable: true}
		service := &catalog.Service{Name: "s", Models: []catalog.Model{{Name: "m", GroupSize: 1}}}
		failed = make(chan *exchange.Failure, 1)
		go func() {
			now := time.Now()
			failed <- x.Run(context.Background(), &exchange.Request{ID: "r", Route: route, Service: service, Model: "m", Arrived: now, Deadline: now.Add(deadline)}, out)
		}()
	}
	BeforeEach(func() {
		t, out = &transport{scripts: map[string][]script{}}, newBlockingSink()
		sent.Store(0)
		deadline, timeout = 10*time.Second, 0
	})
	AfterEach(func() { Expect(held.Held(heldbytes.Events)).To(BeZero(), "nothing stays counted") })

	// Guards against endpoints that cut off an answer which is not read, and against slots that are
	// counted as in use while only the caller is slow.
	It("is read to its end while the caller takes nothing, and is delivered complete and in order", func() {
		start(0, numbered(1, 200, io.EOF))
		Eventually(sent.Load, "2s").Should(BeEquivalentTo(len(events(200))))
		Eventually(meter.Load, "1s").Should(BeZero())
		Expect(held.Held(heldbytes.Events)).To(And(BeNumerically(">=", 200_000), BeNumerically("<=", 256<<10)))
		close(out.reads)
		Eventually(failed, "2s").Should(Receive(BeNil()))
		Expect(out.body == events(200)).To(BeTrue())
	})

	// Guards against unlimited memory for slow callers, and against a target that counts as silent,
	// slow or broken because a caller does not read.
	It("is read no further than its limit, which is no sign against the target, and goes on afterwards", func() {
		start(0, numbered(1, 2000, io.EOF))
		Eventually(func() int64 { return held.Held(heldbytes.Events) }, "2s").Should(And(BeNumerically(">", 252<<10), BeNumerically("<=", 256<<10)))
		Consistently(sent.Load, "2500ms", "50ms").Should(BeNumerically("<", 256<<10+8192))
		now := time.Now()
		_, silent := meter.Silence(now)
		Expect([]bool{silent, meter.InBackoff(now), meter.RecentlyInterrupted(now)}).To(Equal([]bool{false, false, false}))
		Expect(meter.MeanGap()).To(BeNumerically("<", 100*time.Millisecond))
		close(out.reads)
		Eventually(failed, "5s").Should(Receive(BeNil()))
		Expect(out.body == events(2000)).To(BeTrue())
		Expect(t.calls).To(Equal([]string{"a"}))
	})

	// Guards against a target that is taken for broken, or a request for one that crashes endpoints,
	// because the endpoint cut off an answer whose caller did not read it.
	It("is resumed without a mark against the target if the endpoint cut it off meanwhile", func() {
		start(0, numbered(1, 400, io.ErrUnexpectedEOF), numbered(401, 450, io.EOF))
		Eventually(func() int64 { return held.Held(heldbytes.Events) }, "2s").Should(BeNumerically(">", 252<<10))
		time.Sleep(200 * time.Millisecond)
		close(out.reads)
		Eventually(failed, "5s").Should(Receive(BeNil()))
		Expect(out.body == events(450)).To(BeTrue())
		Expect(t.calls).To(Equal([]string{"a", "b 400"}))
		Expect(meter.RecentlyInterrupted(time.Now())).To(BeFalse())
	})

	// Guards against slots of endpoints, and memory, that callers occupy without reading.
	It("ends once the caller takes nothing for the timeout while the limit is reached", func() {
		timeout = 500 * time.Millisecond
		start(0, numbered(1, 2000, io.EOF))
		began := time.Now()
		var failure *exchange.Failure
		Eventually(failed, "3s").Should(Receive(&failure))
		Expect(time.Since(began)).To(BeNumerically(">", 550*time.Millisecond))
		Expect(failure.Reason).To(Equal(exchange.SlowReader))
		Expect(failure.Started).To(BeTrue())
		Expect(meter.Load()).To(BeZero())
	})

	// Guards against slow callers that together hold more than the daemon may.
	It("is read no further while all exchanges together hold too much", func() {
		start(64<<10, numbered(1, 2000, io.EOF))
		Eventually(func() int64 { return held.Held(heldbytes.Events) }, "2s").Should(BeNumerically(">", 40<<10))
		Consistently(func() int64 { return held.Held(heldbytes.Events) }, "300ms").Should(BeNumerically("<=", 48<<10))
		close(out.reads)
		Eventually(failed, "5s").Should(Receive(BeNil()))
		Expect(out.body == events(2000)).To(BeTrue())
	})

	// Guards against events that are lost or repeated where the stream is resumed.
	It("is resumed after the events that wait for the caller", func() {
		start(0, numbered(1, 100, io.ErrUnexpectedEOF), numbered(101, 150, io.EOF))
		Eventually(meter.Load, "2s").Should(BeZero())
		close(out.reads)
		Eventually(failed, "5s").Should(Receive(BeNil()))
		Expect(out.body == events(150)).To(BeTrue())
		Expect(t.calls).To(Equal([]string{"a", "b 100"}))
	})

	// Guards against an answer that looks complete although its end was not read or not kept.
	It("fails if its deadline passes before it could be read to its end", func() {
		deadline = 500 * time.Millisecond
		start(0, numbered(1, 260, io.EOF))
		time.Sleep(time.Second)
		close(out.reads)
		var failure *exchange.Failure
		Eventually(failed, "2s").Should(Receive(&failure))
		Expect(failure).NotTo(BeNil())
		Expect(failure.Started).To(BeTrue())
		Expect(strings.HasPrefix(events(260), out.body) && len(out.body) > 250_000).To(BeTrue())
	})
})
