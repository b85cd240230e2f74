package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/locality"
	"github.com/plantainmux/plantainmux/internal/outbound"
)

const (
	reviewInterval = 100 * time.Millisecond // of routers in daemons
	sendInterval   = 20 * time.Millisecond  // five endpoints get a request between two reviews
	endpointCount  = 6
)

var errSilent = errors.New("no answer")

// delayedSender answers after the delay of the endpoint, or never if the delay is negative.
type delayedSender struct {
	delay   func(endpoint string) time.Duration
	reached *sync.Map // time of the last answer by endpoint, of all daemons
}

func (s *delayedSender) Send(ctx context.Context, exchange outbound.Exchange) (*outbound.Response, error) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	var due <-chan time.Time
	if delay := s.delay(exchange.Endpoint.Key); delay >= 0 {
		due = time.After(delay)
	}
	select {
	case <-ctx.Done():
		return nil, errSilent
	case <-due:
		s.reached.Store(exchange.Endpoint.Key, time.Now())
		return &outbound.Response{Status: 200, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", 1000)))}, nil
	}
}

// noPaths is the ways of a daemon that has none to another one.
type noPaths struct{}

func (noPaths) Any(*locality.Allowed) bool                             { return false }
func (noPaths) Pick(context.Context, *locality.Allowed) (string, bool) { return "", false }
func (noPaths) Release(string, bool)                                   {}

// silenceRig is daemons before endpoints; other daemons' answers vouch for endpoints.
type silenceRig struct {
	reached sync.Map
	lost    atomic.Int32
	routers []*forward.Router
}

// newSilenceRig starts daemons; delay is of the answers of endpoints to a daemon.
func newSilenceRig(daemons int, delay func(daemon int, endpoint string) time.Duration) *silenceRig {
	r := &silenceRig{}
	for daemon := range daemons {
		r.routers = append(r.routers, forward.NewRouter(forward.Dependencies{
			Direct: &delayedSender{delay: func(endpoint string) time.Duration { return delay(daemon, endpoint) }, reached: &r.reached},
			Paths:  noPaths{},
			Probed: func() []outbound.Endpoint { return make([]outbound.Endpoint, endpointCount) },
			Vouch: func(endpoint string, since time.Time) bool {
				at, ok := r.reached.Load(endpoint)
				return ok && at.(time.Time).After(since)
			},
			OnLost: func() { r.lost.Add(1) }, OnBack: func() {}, Count: func(string) {}, Logger: slog.New(slog.DiscardHandler),
		}))
	}
	return r
}

// run sends requests through all routers at a constant rate and reviews them, for a time. It does
// nothing for the time of pause, and then reviews them once more.
func (r *silenceRig) run(period, pause time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	end := time.Now().Add(period)
	for round := 0; time.Now().Before(end); round++ {
		for _, router := range r.routers {
			wait.Go(func() {
				response, err := router.Send(ctx, outbound.Exchange{Endpoint: outbound.Endpoint{Key: fmt.Sprint("e", round%endpointCount)}})
				if err == nil {
					_, _ = io.ReadAll(response.Body)
					_ = response.Body.Close()
				}
			})
			if round%int(reviewInterval/sendInterval) == 0 {
				router.Review(time.Now())
			}
		}
		time.Sleep(sendInterval)
	}
	time.Sleep(pause)
	for _, router := range r.routers {
		router.Review(time.Now())
	}
}

var _ = Describe("A daemon whose exchanges get no answer", func() {
	It("knows within 1.3 s that endpoints accept its connections and answer nothing, as others reach them", func() {
		r := newSilenceRig(2, func(daemon int, _ string) time.Duration {
			if daemon == 0 {
				return -1
			}
			return 20 * time.Millisecond
		})
		r.run(1300*time.Millisecond, 0)
		Expect(r.routers[0].Lost()).To(BeTrue())
		Expect(r.routers[1].Lost()).To(BeFalse())
	})

	// Requests that never reached their endpoints counted as load there, and the other daemons refused
	// their callers.
	It("tells which of them are no load of the endpoints, until they end", func() {
		r := newSilenceRig(1, func(int, string) time.Duration { return -1 })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = r.routers[0].Send(ctx, outbound.Exchange{Endpoint: outbound.Endpoint{Key: "e"}})
		}()
		for range 9 {
			r.routers[0].Review(time.Now())
			Expect(r.routers[0].Silent()).To(BeEmpty())
			time.Sleep(70 * time.Millisecond)
		}
		Eventually(func() map[string]int {
			r.routers[0].Review(time.Now())
			return r.routers[0].Silent()
		}, "2s", reviewInterval).Should(Equal(map[string]int{"e": 1}))
		cancel()
		<-done
		Expect(r.routers[0].Silent()).To(BeEmpty())
	})

	It("does not count as cut off while busy endpoints take 1 s for the first event at all daemons", func() {
		r := newSilenceRig(3, func(int, string) time.Duration { return time.Second })
		r.run(3500*time.Millisecond, 0)
		Expect(r.lost.Load()).To(BeZero())
	})

	It("does not count as cut off while events of a stream in progress arrive", func() {
		r := newSilenceRig(2, func(daemon int, endpoint string) time.Duration {
			if daemon == 0 && endpoint != "stream" {
				return -1
			}
			return 20 * time.Millisecond
		})
		response, err := r.routers[0].Send(context.Background(), outbound.Exchange{Endpoint: outbound.Endpoint{Key: "stream"}})
		Expect(err).NotTo(HaveOccurred())
		events := time.NewTicker(20 * time.Millisecond)
		defer events.Stop()
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-events.C:
					_, _ = response.Body.Read(make([]byte, 1))
				}
			}
		}()
		r.run(1300*time.Millisecond, 0)
		Expect(r.lost.Load()).To(BeZero())
	})

	It("does not count as cut off while one endpoint is silent for one second", func() {
		from := time.Now().Add(500 * time.Millisecond)
		r := newSilenceRig(2, func(_ int, endpoint string) time.Duration {
			if now := time.Now(); endpoint == "e0" && now.After(from) && now.Before(from.Add(time.Second)) {
				return time.Second
			}
			return 20 * time.Millisecond
		})
		r.run(2500*time.Millisecond, 0)
		Expect(r.lost.Load()).To(BeZero())
	})

	It("does not take answers that wait while it was held up itself for silence", func() {
		r := newSilenceRig(2, func(daemon int, _ string) time.Duration {
			if daemon == 0 {
				return -1 // nothing is read while it is held up
			}
			return 20 * time.Millisecond
		})
		r.run(300*time.Millisecond, 900*time.Millisecond)
		Expect(r.routers[0].Lost()).To(BeFalse())
	})
})
