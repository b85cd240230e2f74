package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/wiretest"
)

// stallingPair is two daemons, over a link on which nothing passes for a time that is shorter than what closes it.
type stallingPair struct {
	caller, other *node
	link          *fakes.Link
	began         atomic.Int32 // handlers of the other daemon
}

func newStallingPair() *stallingPair {
	GinkgoHelper()
	p := &stallingPair{link: fakes.NewLink()}
	nodes := startNodes(func(_ int, options *Options) {
		options.Heartbeat = time.Second
		options.Dial = p.link.DialContext
	}, "north", "north")
	p.caller, p.other = nodes[0], nodes[1]
	p.other.callHandlers["run"] = func(context.Context, fleet.DaemonID, cbor.RawMessage) (any, error) {
		p.began.Add(1)
		return "", nil
	}
	p.other.streamHandlers["run"] = func(_ context.Context, _ fleet.DaemonID, _ cbor.RawMessage, send func(any) error) error {
		p.began.Add(1)
		return send("")
	}
	for _, n := range nodes {
		Eventually(n.Live, eventuallyTimeout, pollInterval).Should(HaveLen(2))
	}
	Eventually(func() bool { return linksStable(nodes) }, eventuallyTimeout).Should(BeTrue())
	return p
}

// stall stops the link for a time, within which call is made.
func (p *stallingPair) stall(pause time.Duration, call func() error) (outcome <-chan error) {
	ended := make(chan error, 1)
	p.link.Set(fakes.LinkSilent)
	go func() { ended <- call() }()
	time.Sleep(pause)
	p.link.Set(fakes.LinkSound)
	return ended
}

func (p *stallingPair) call(ctx context.Context) error {
	return p.caller.Call(ctx, "north-1", "run", "", nil)
}

func (p *stallingPair) stream(ctx context.Context) error {
	stream, err := p.caller.OpenStreamTo(ctx, "north-1", "run", "")
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	return stream.Next(new(string))
}

var _ = Describe("A call over a link that stalls", func() {
	var p *stallingPair
	BeforeEach(func() { p = newStallingPair() })

	// Guards against requests that reach an endpoint long after their caller has left, with the time that was left when they were written.
	DescribeTable("does not begin long after it was given up", func(call func(context.Context) error) {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		Expect(<-p.stall(2*maxTransit, func() error { return call(ctx) })).To(BeAssignableToTypeOf(&LinkError{}))
		Consistently(p.began.Load, maxTransit, pollInterval).Should(BeZero())
	},
		Entry("with one answer", func(ctx context.Context) error { return p.call(ctx) }),
		Entry("with a stream of answers", func(ctx context.Context) error { return p.stream(ctx) }),
		Entry("with a stream of answers, when its caller leaves", func(ctx context.Context) error {
			ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
			time.AfterFunc(100*time.Millisecond, cancel)
			return p.stream(ctx)
		}),
	)

	It("with a stream of answers is refused as not run once it is late, so that its caller decides anew", func() {
		err := <-p.stall(2*maxTransit, func() error { return p.stream(context.Background()) })
		Expect(err).To(HaveOccurred())
		Expect(NotRun(err)).To(BeTrue())
		Consistently(p.began.Load, maxTransit, pollInterval).Should(BeZero())
	})

	It("is served after a short stall", func() {
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		Expect(<-p.stall(maxTransit/4, func() error { return p.stream(ctx) })).To(Succeed())
		Expect(<-p.stall(maxTransit/4, func() error { return p.call(ctx) })).To(Succeed())
		Expect(p.began.Load()).To(BeEquivalentTo(2))
	})

	It("is served after a long stall if it has one answer and its caller waits", func() {
		Expect(<-p.stall(2*maxTransit, func() error { return p.call(context.Background()) })).To(Succeed())
	})
})

var _ = Describe("Frames of two versions", func() {
	// The type of the previous version (commit 23711b3), copied.
	type oldFrame struct {
		Kind       frameKind        `cbor:"1,keyasint"`
		ID         uint64           `cbor:"2,keyasint,omitempty"`
		Name       string           `cbor:"3,keyasint,omitempty"`
		Body       cbor.RawMessage  `cbor:"4,keyasint,omitempty"`
		Origin     fleet.DaemonID   `cbor:"5,keyasint,omitempty"`
		Hops       int              `cbor:"6,keyasint,omitempty"`
		DataCentre fleet.DataCentre `cbor:"7,keyasint,omitempty"`
		Failure    failureCode      `cbor:"8,keyasint,omitempty"`
		Message    string           `cbor:"9,keyasint,omitempty"`
		Credit     int              `cbor:"10,keyasint,omitempty"`
		Echo       Timestamp        `cbor:"11,keyasint,omitempty"`
		Held       Timestamp        `cbor:"12,keyasint,omitempty"`
		Deferrable bool             `cbor:"13,keyasint,omitempty"`
	}
	It("of this version are read by the previous one", func() {
		f := frame{
			Kind: frameOpen, ID: 1, Name: "n", Body: cbor.RawMessage{0x01}, Origin: "o", Hops: 1, DataCentre: "d", Failure: failureBusy, Message: "m", Credit: 1,
			Echo: 1, Held: 1, Deferrable: true, Sent: 1, Valid: 1,
		}
		Expect(wiretest.Kept(f, &oldFrame{}, 13)).To(BeTrue())
	})

	It("of the previous version are valid whatever their age", func() {
		l := &link{network: &Network{clocks: newClocks()}, clock: &remoteClock{bounded: true}}
		l.network.clocks.start = time.Now().Add(-time.Hour)
		Expect(l.late(frame{Kind: frameOpen})).To(BeFalse())
		Expect(l.late(frame{Kind: frameOpen, Sent: 1, Valid: 1})).To(BeTrue())
	})
})
