package forward_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/outbound"
)

// connectingSender gets no connection, and tells each attempt.
type connectingSender struct{ begun chan string }

func (s *connectingSender) Send(ctx context.Context, exchange outbound.Exchange) (*outbound.Response, error) {
	s.begun <- exchange.Endpoint.Key
	<-ctx.Done()
	return nil, &outbound.NotSentError{Err: errors.New("no connection")}
}

var _ = Describe("A daemon that stands still while it connects to its endpoints", func() {
	var router *forward.Router
	var start time.Time
	BeforeEach(func() {
		sender := &connectingSender{begun: make(chan string)}
		router = forward.NewRouter(forward.Dependencies{
			Direct: sender, Paths: noPaths{}, Probed: func() []outbound.Endpoint { return nil },
			Vouch: func(string, time.Time) bool { return true }, OnLost: func() {}, OnBack: func() {}, Count: func(string) {}, Logger: slog.New(slog.DiscardHandler),
		})
		ctx, cancel := context.WithCancel(context.Background())
		var sent sync.WaitGroup
		DeferCleanup(sent.Wait)
		DeferCleanup(cancel)
		router.Review(time.Now())
		for i := range endpointCount {
			sent.Go(func() {
				_, _ = router.Send(ctx, outbound.Exchange{Endpoint: outbound.Endpoint{Key: fmt.Sprint("e", i)}})
			})
			<-sender.begun
		}
		start = time.Now()
		router.Review(start)
	})

	// Guards against requests that leave the connections they were about to get.
	DescribeTable("does not count as cut off before it has noticed the connections", func(standstill time.Duration) {
		router.Review(start.Add(standstill))
		router.Review(start.Add(standstill + reviewInterval))
		Expect(router.Lost()).To(BeFalse())
		router.Review(start.Add(standstill + 2*reviewInterval))
		Expect(router.Lost()).To(BeTrue(), "it has run for longer than a connection takes")
	},
		Entry("0.3 s", 300*time.Millisecond),
		Entry("5 s", 5*time.Second),
	)

	// Guards against a daemon that never finds out that it is cut off since each look at its connects comes after a standstill.
	It("counts as cut off though it stands still again and again", func() {
		for late := 1; late <= 8; late++ {
			router.Review(start.Add(time.Duration(late) * 250 * time.Millisecond))
		}
		Expect(router.Lost()).To(BeTrue())
	})
})
