package exchange_test

import (
	"context"
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
	"github.com/plantainmux/plantainmux/internal/heldbytes"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// endlessBody sends bytes without end.
type endlessBody struct {
	ctx  context.Context
	to   *endlessTransport
	read int64
}

func (b *endlessBody) Read(into []byte) (int, error) {
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	for i := range into {
		into[i] = 'x'
	}
	b.read += int64(len(into))
	b.to.add(int64(len(into)))
	return len(into), nil
}

func (b *endlessBody) Close() error {
	b.to.add(-b.read)
	return nil
}

// endlessTransport answers each request with a body without end.
type endlessTransport struct {
	status int
	all    *sync.WaitGroup // of the requests that are to arrive before the first is answered; nil: of one alone
	mu     sync.Mutex
	held   int64 // bytes of the bodies that are open
	most   int64
}

func (t *endlessTransport) add(bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held += bytes
	t.most = max(t.most, t.held)
}

func (t *endlessTransport) Send(ctx context.Context, _ *placement.Target, _ exchange.Call) (*exchange.Answer, error) {
	if t.all != nil {
		t.all.Done()
		t.all.Wait()
	}
	return &exchange.Answer{Status: t.status, Body: &endlessBody{ctx: ctx, to: t}}, nil
}

// faultyOrSound answers at some targets without end, and at the others with a body.
type faultyOrSound struct{ faulty *endlessTransport }

func (t *faultyOrSound) Send(ctx context.Context, target *placement.Target, call exchange.Call) (*exchange.Answer, error) {
	if strings.HasPrefix(target.Key, "faulty") {
		return t.faulty.Send(ctx, target, call)
	}
	return &exchange.Answer{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

var _ = Describe("An answer without end", func() {
	const atOnce = 16
	memory := int64(0) // that may be held for exchanges; 0: not limited
	BeforeEach(func() { memory = 0 })
	run := func(kind catalog.Kind, status int) int64 {
		transport := &endlessTransport{status: status, all: &sync.WaitGroup{}}
		transport.all.Add(atOnce)
		target := &placement.Target{Key: "a", ID: "a", Slots: 4 * atOnce, Meter: targetstats.NewMeter()}
		view := &placement.View{Plain: map[string][]*placement.Target{"s": {target}}}
		x := exchange.New(exchange.Dependencies{
			View: func() *placement.View { return view }, Transport: transport, Daemons: func() int { return 1 }, GossipDelay: func() time.Duration { return 0 },
			Suspects: suspect.NewTable(suspect.Policy{}), FailedRequests: exchange.NewFailedRequests(), Metrics: exchange.NewMetrics(metrics.NewSet()),
			Logger: slog.New(slog.DiscardHandler), Retries: exchange.RetryBounds{Window: time.Second}, BodyLimit: 8 << 20, Held: heldbytes.NewAccount(memory, metrics.NewSet()),
			ReportSuspect: func(*placement.Target, string, bool) {},
		})
		var all sync.WaitGroup
		for range atOnce {
			all.Go(func() {
				defer GinkgoRecover()
				now := time.Now()
				route := &catalog.Route{Name: "r", Kind: kind, MaxAttempts: 1}
				failure := x.Run(context.Background(), &exchange.Request{Route: route, Service: &catalog.Service{Name: "s"}, Arrived: now, Deadline: now.Add(3 * time.Second)}, &sink{})
				Expect(failure).NotTo(BeNil())
				Expect(failure.Reason).To(Equal(exchange.Broken), "given up, not read until the deadline")
			})
		}
		all.Wait()
		return transport.most
	}

	It("is given up before all of them together use up the memory of a small VM", func() {
		Expect(run(catalog.Unsafe, 200)).To(BeNumerically("<", 32<<20))
	})

	It("is given up before all of them together take more than a quarter of what may be held", func() {
		memory = 32 << 20
		Expect(run(catalog.Unsafe, 200)).To(BeNumerically("<", 8<<20+atOnce*(128<<10)), "the first 64 KB of each are read whatever is held")
	})

	// Guards against endpoints that fail fast, look idle and get most of the orders.
	It("keeps its endpoint from getting the next orders while there are others", func() {
		faulty := &endlessTransport{status: 200}
		var targets []*placement.Target
		for _, key := range []string{"faulty1", "faulty2", "sound1", "sound2"} {
			targets = append(targets, &placement.Target{Key: key, ID: key, Slots: 4, Meter: targetstats.NewMeter()})
		}
		x := exchange.New(exchange.Dependencies{
			View:      func() *placement.View { return &placement.View{Plain: map[string][]*placement.Target{"s": targets}} },
			Transport: &faultyOrSound{faulty: faulty}, Daemons: func() int { return 1 }, GossipDelay: func() time.Duration { return 0 },
			Suspects: suspect.NewTable(suspect.Policy{}), FailedRequests: exchange.NewFailedRequests(), Metrics: exchange.NewMetrics(metrics.NewSet()),
			Logger: slog.New(slog.DiscardHandler), Retries: exchange.RetryBounds{Window: time.Second}, BodyLimit: 1 << 20,
			ReportSuspect: func(*placement.Target, string, bool) {},
		})
		failed := 0
		for range 12 {
			now := time.Now()
			route := &catalog.Route{Name: "r", Kind: catalog.Unsafe, MaxAttempts: 1}
			if x.Run(context.Background(), &exchange.Request{Route: route, Service: &catalog.Service{Name: "s"}, Arrived: now, Deadline: now.Add(3 * time.Second)}, &sink{}) != nil {
				failed++
			}
		}
		Expect(failed).To(Equal(2), "one at each faulty endpoint")
	})

	It("is given up within an event of a stream", func() {
		Expect(run(catalog.Streaming, 200)).To(BeNumerically("<", atOnce*(1<<20)))
	})
})
