package peer

import (
	"context"
	"errors"
	"io"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// endless returns a handler that sends increasing numbers until its caller ends
// the call, and counts them.
func endless(sent *atomic.Int64, stopped chan<- struct{}) StreamHandler {
	return func(_ context.Context, _ fleet.DaemonID, _ cbor.RawMessage, send func(any) error) error {
		defer close(stopped)
		for {
			if err := send(sent.Load()); err != nil {
				return err
			}
			sent.Add(1)
		}
	}
}

// countTo returns a handler that sends the numbers below limit.
func countTo(limit int) StreamHandler {
	return func(_ context.Context, _ fleet.DaemonID, _ cbor.RawMessage, send func(any) error) error {
		for i := range limit {
			if err := send(i); err != nil {
				return err
			}
		}
		return nil
	}
}

var _ = Describe("A call", func() {
	var nodes []*node
	ctx := context.Background()

	It("is answered by the daemon it was sent to", func() {
		nodes = startNodes(nil, "north", "north")
		awaitMesh(nodes)
		var reply string
		Expect(nodes[0].Call(ctx, "north-1", "echo", "hello", &reply)).To(Succeed())
		Expect(reply).To(Equal("hello"))
	})

	It("fails with a distinct error type for each cause", func() {
		nodes = startNodes(nil, "north", "north")
		stopped := make(chan struct{})
		nodes[1].callHandlers["fail"] = func(context.Context, fleet.DaemonID, cbor.RawMessage) (any, error) {
			return nil, &ClosedError{Reason: "test"}
		}
		nodes[1].callHandlers["hang"] = func(ctx context.Context, _ fleet.DaemonID, _ cbor.RawMessage) (any, error) {
			<-ctx.Done()
			close(stopped)
			return nil, ctx.Err()
		}
		awaitMesh(nodes)
		var unreachable *UnreachableError
		Expect(errors.As(nodes[0].Call(ctx, "north-9", "echo", "", nil), &unreachable)).To(BeTrue())
		var unknown *UnknownMethodError
		Expect(errors.As(nodes[0].Call(ctx, "north-1", "none", "", nil), &unknown)).To(BeTrue())
		Expect(unknown.Method).To(Equal(Method("none")))
		var remote *RemoteError
		Expect(errors.As(nodes[0].Call(ctx, "north-1", "fail", "", nil), &remote)).To(BeTrue())
		Expect(remote.Message).To(Equal("closed: test"))

		short, cancel := context.WithTimeout(ctx, testHeartbeat)
		defer cancel()
		var linkErr *LinkError
		Expect(errors.As(nodes[0].Call(short, "north-1", "hang", "", nil), &linkErr)).To(BeTrue())
		Eventually(stopped, eventuallyTimeout).Should(BeClosed(), "the handler's context ends with the caller's context")
	})

	It("fails with LinkError when the daemon dies during the call", func() {
		nodes = startNodes(nil, "north", "north")
		started := make(chan struct{})
		nodes[1].callHandlers["hang"] = func(ctx context.Context, _ fleet.DaemonID, _ cbor.RawMessage) (any, error) {
			close(started)
			<-ctx.Done()
			return nil, ctx.Err()
		}
		awaitMesh(nodes)
		failed := make(chan error, 1)
		go func() { failed <- nodes[0].Call(ctx, "north-1", "hang", "", nil) }()
		Eventually(started, eventuallyTimeout).Should(BeClosed())
		nodes[1].kill()
		var err error
		Eventually(failed, eventuallyTimeout).Should(Receive(&err))
		var linkErr *LinkError
		Expect(errors.As(err, &linkErr)).To(BeTrue(), "%v", err)
	})
})

var _ = Describe("A streamed call to another data centre", func() {
	ctx := context.Background()

	It("delivers every answer in order, directly or through a relay", func() {
		nodes := startNodes(nil, "east", "east", "east", "east", "west", "west", "west")
		for _, n := range nodes {
			n.streamHandlers["count"] = countTo(5 * streamWindow)
		}
		awaitMesh(nodes)
		for _, n := range nodes[:4] {
			stream, err := n.OpenStream(ctx, "west", "count", nil)
			Expect(err).NotTo(HaveOccurred())
			for want := range 5 * streamWindow {
				var got int
				Expect(stream.Next(&got)).To(Succeed())
				Expect(got).To(Equal(want))
			}
			Expect(stream.Next(new(int))).To(Equal(io.EOF))
			Expect(stream.Close()).To(Succeed())
		}
		relayed := uint64(0)
		for _, n := range nodes {
			relayed += n.counters.relayedStreams.Get()
		}
		Expect(relayed).To(Equal(uint64(2)), "two of the four daemons are relays")
		for _, n := range nodes {
			Eventually(n.idle, eventuallyTimeout, pollInterval).Should(BeTrue())
		}
	})

	It("buffers at most one window per link when the caller is slow, and ends when the caller cancels", func() {
		nodes := startNodes(nil, "east", "east", "east", "west", "west")
		var sent atomic.Int64
		stopped := make(chan struct{})
		for _, n := range nodes[3:] {
			n.streamHandlers["endless"] = endless(&sent, stopped)
		}
		awaitMesh(nodes)
		caller := nodes[0]
		for _, n := range nodes[:3] {
			if len(n.routing.Load().directLinks("west")) == 0 {
				caller = n
			}
		}
		calling, cancel := context.WithCancel(ctx)
		stream, err := caller.OpenStream(calling, "west", "endless", nil)
		Expect(err).NotTo(HaveOccurred())
		Eventually(sent.Load, eventuallyTimeout, pollInterval).Should(BeNumerically(">=", streamWindow))
		Consistently(sent.Load, 5*testHeartbeat, pollInterval).Should(BeNumerically("<=", 3*streamWindow))
		cancel()
		Expect(stream.Close()).To(Succeed())
		Eventually(stopped, eventuallyTimeout).Should(BeClosed())
	})

	It("fails with UnreachableError while the data centre is partitioned, and succeeds after the partition heals", func() {
		gate := newGate()
		nodes := startNodes(func(_ int, o *Options) {
			direct := o.Dial
			east := map[string]bool{}
			for _, address := range o.Addresses {
				east[address.HostPort] = address.DataCentre == o.DataCentre
			}
			o.Dial = dialByAddress(east, direct, gate.dial)
		}, "east", "east", "east", "west", "west")
		for _, n := range nodes {
			n.streamHandlers["count"] = countTo(1)
		}
		awaitMesh(nodes)
		gate.hold()
		for _, n := range nodes {
			Eventually(n.DataCentres, eventuallyTimeout, pollInterval).Should(BeEmpty())
		}
		_, err := nodes[0].OpenStream(ctx, "west", "count", nil)
		var unreachable *UnreachableError
		Expect(errors.As(err, &unreachable)).To(BeTrue(), "%v", err)
		Expect(nodes[0].Live()).To(HaveLen(3))
		gate.release()
		awaitMesh(nodes)
		stream, err := nodes[0].OpenStream(ctx, "west", "count", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Next(new(int))).To(Succeed())
		Expect(stream.Close()).To(Succeed())
	})

	It("is complete when it ended before its caller processed the acceptance", func() {
		l := &link{}
		for range 100 {
			call := newOutgoingCall()
			for _, kind := range []frameKind{frameAccepted, frameAnswer, frameEnd} {
				call.deliver(l, frame{Kind: kind})
			}
			Expect(call.awaitAccepted(ctx, l)).To(Succeed())
			_, ok, err := call.next(ctx)
			Expect(ok).To(BeTrue())
			Expect(err).NotTo(HaveOccurred())
			_, ok, err = call.next(ctx)
			Expect(ok).To(BeFalse())
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("ends with LinkError when the remote daemon dies during the stream", func() {
		nodes := startNodes(nil, "east", "east", "east", "west", "west")
		var sent atomic.Int64
		for _, n := range nodes[3:] {
			n.streamHandlers["endless"] = endless(&sent, make(chan struct{}))
		}
		awaitMesh(nodes)
		for _, caller := range nodes[:3] {
			stream, err := caller.OpenStream(ctx, "west", "endless", nil)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(stream.Close)
			go func() {
				defer GinkgoRecover()
				var err error
				for err == nil {
					err = stream.Next(new(int))
				}
				var linkErr *LinkError
				Expect(errors.As(err, &linkErr)).To(BeTrue(), "%v", err)
			}()
		}
		nodes[3].kill()
		nodes[4].kill()
		for _, n := range nodes[:3] {
			Eventually(n.idle, eventuallyTimeout, pollInterval).Should(BeTrue())
		}
	})

	It("uses the other relay after one is killed", func() {
		nodes := startNodes(nil, "east", "east", "east", "west", "west", "west")
		for _, n := range nodes {
			n.streamHandlers["count"] = countTo(1)
		}
		awaitMesh(nodes)
		var left []*node
		killed := false
		for _, n := range nodes[:3] {
			if !killed && len(n.routing.Load().directLinks("west")) > 0 {
				n.kill()
				killed = true
				continue
			}
			left = append(left, n)
		}
		awaitMesh(append(left, nodes[3:]...))
		stream, err := left[0].OpenStream(ctx, "west", "count", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Next(new(int))).To(Succeed())
		Expect(stream.Close()).To(Succeed())
	})
})

var _ = Describe("A daemon that is cut off from the endpoints", func() {
	It("says so to its peers, keeps its links and is given no task that needs the endpoints", func() {
		nodes := startNodes(nil, "north", "north", "north")
		awaitMesh(nodes)
		nodes[1].SetCutOff(true)
		others := []fleet.DaemonID{"north-0", "north-2"}
		for _, n := range nodes {
			Eventually(n.EndpointReachers, eventuallyTimeout, pollInterval).Should(Equal(others))
			Expect(n.LogReaders()).To(Equal(others))
			Expect(n.Live()).To(HaveLen(3))
		}
		nodes[1].SetCutOff(false)
		Eventually(nodes[0].EndpointReachers, eventuallyTimeout, pollInterval).Should(HaveLen(3))
	})
})

var _ = Describe("A link on demand", func() {
	It("carries streams both ways to one daemon, and ends when it is released", func() {
		nodes := startNodes(func(_ int, o *Options) { o.Addresses = nil }, "north", "north")
		nodes[1].HandleStream("two", func(_ context.Context, _ fleet.DaemonID, _ cbor.RawMessage, send func(any) error) error {
			return send("answer")
		})
		_, err := nodes[0].OpenStreamTo(context.Background(), "north-1", "two", "question")
		Expect(NotRun(err)).To(BeTrue())
		release := nodes[0].Connect(Address{HostPort: nodes[1].server.Addr, DataCentre: "north"})
		Expect(nodes[0].AwaitLink(context.Background(), "north-1", eventuallyTimeout)).To(BeTrue())
		stream, err := nodes[0].OpenStreamTo(context.Background(), "north-1", "two", "question")
		Expect(err).NotTo(HaveOccurred())
		var answer string
		Expect(stream.Next(&answer)).To(Succeed())
		Expect(answer).To(Equal("answer"))
		Expect(stream.Next(&answer)).To(MatchError(io.EOF))
		Expect(stream.Close()).To(Succeed())
		Expect(nodes[0].LinkIdle("north-1")).To(BeTrue())
		release()
		Eventually(nodes[0].Live, eventuallyTimeout, pollInterval).Should(HaveLen(1))
		Expect(nodes[0].AwaitLink(context.Background(), "north-1", testHeartbeat)).To(BeFalse())
	})
})
