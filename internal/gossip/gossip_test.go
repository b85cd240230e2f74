package gossip_test

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

func freeAddress() string {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

var _ = Describe("Gossip", func() {
	var receivedConfig atomic.Int64
	var receivedReports atomic.Pointer[[]suspect.Report]
	start := func(node, dataCentre string, incarnation int64) (*gossip.Gossip, func()) {
		g, err := gossip.New(gossip.Dependencies{
			Node: node, DataCentre: dataCentre, Address: freeAddress(), Incarnation: incarnation, Logger: slog.New(slog.DiscardHandler),
			LocalMessage: func() gossip.Message {
				return gossip.Message{Store: true, Config: 9, Demand: []demand.Report{{Key: 4, Priority: 1, RequestsPerS: 2}}, Loads: map[uint32]gossip.Load{1: {Count: 2, AgeMS: 5}}, Suspects: []suspect.Report{{Hash: 3, Crashes: []suspect.ReportedCrash{{Group: 1}}}}}
			},
			OnMessage: func(message gossip.Message) {
				receivedConfig.Store(message.Config)
				receivedReports.Store(&message.Suspects)
			},
		})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			g.Run(ctx)
		}()
		stop := func() {
			cancel()
			<-done
		}
		return g, stop
	}
	register := func(to, other *gossip.Gossip) {
		own, err := other.Registration()
		Expect(err).NotTo(HaveOccurred())
		to.Apply(keyed.Batch{Records: []keyed.Record{own}})
	}

	It("reports live daemons, loads and crashes, and drops a daemon that stops sending", func() {
		a, stopA := start("a", "z", 1)
		b, stopB := start("b", "z", 1)
		defer stopA()
		register(a, b)
		register(b, a)
		Eventually(func() []string { return a.Live(time.Now()) }, "3s").Should(Equal([]string{"a", "b"}))
		Expect(a.Loads(time.Now())).To(HaveKeyWithValue(uint32(1), HaveField("Count", 2)))
		Expect(*receivedReports.Load()).To(Equal([]suspect.Report{{Hash: 3, Crashes: []suspect.ReportedCrash{{Group: 1}}}}))
		Expect(a.Planners(time.Now(), false, false)).To(Equal([]string{"b"}))
		Expect(receivedConfig.Load()).To(Equal(int64(9)))
		name, _ := a.Reader(time.Now(), true)
		other, _ := b.Reader(time.Now(), true)
		Expect(name).To(Equal(other), "both daemons choose the same reader")
		stopB()
		Eventually(func() []string { return a.Live(time.Now()) }, "3s").Should(Equal([]string{"a"}))
	})

	It("tells demand, and counts that of no daemon that has stopped", func() {
		a, stopA := start("a", "z", 1)
		b, stopB := start("b", "z", 1)
		defer stopA()
		Expect(a.HearsMajority(time.Now())).To(BeFalse(), "no other daemon is registered yet, as at a start")
		register(a, b) // b does not send to a before it knows it
		Expect(a.HearsMajority(time.Now())).To(BeFalse(), "b is not heard yet")
		register(b, a)
		told := []demand.Report{{Key: 4, Priority: 1, RequestsPerS: 2}}
		Eventually(func() []demand.Report { return a.Demand(time.Now()) }, "3s").Should(Equal(told))
		Expect(a.HearsMajority(time.Now())).To(BeTrue())
		stopB()
		Eventually(func() []demand.Report { return a.Demand(time.Now()) }, "3s").Should(BeEmpty())
		Expect(a.HearsMajority(time.Now())).To(BeFalse())
	})

	It("ignores daemons that are not registered, and treats a restarted daemon as a new one", func() {
		a, stopA := start("a", "z", 1)
		defer stopA()
		b, stopB := start("b", "z", 5)
		register(b, a)
		Consistently(func() []string { return a.Live(time.Now()) }, "400ms").Should(Equal([]string{"a"}))
		register(a, b)
		Eventually(func() []string { return a.Live(time.Now()) }, "3s").Should(HaveLen(2))
		stopB()
		again, stopAgain := start("b", "z", 6)
		defer stopAgain()
		register(again, a)
		Eventually(func() []string { return a.Live(time.Now()) }, "3s").Should(HaveLen(1))
		register(a, again)
		Eventually(func() []string { return a.Live(time.Now()) }, "3s").Should(HaveLen(2))
	})
})
