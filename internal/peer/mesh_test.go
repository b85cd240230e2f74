package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

var _ = Describe("Links of a data centre", func() {
	It("are one for each pair although both sides dial, and none from a daemon to itself", func() {
		nodes := startNodes(nil, "north", "north", "north", "north")
		awaitMesh(nodes)
		open := func() []int {
			var sizes []int
			for _, n := range nodes {
				sizes = append(sizes, n.openLinks())
			}
			return sizes
		}
		Eventually(open, eventuallyTimeout, pollInterval).Should(HaveEach(3))
		Consistently(open, 5*testHeartbeat, pollInterval).Should(HaveEach(3))
		Eventually(func() int { return len(nodes[0].routing.Load().local) }, eventuallyTimeout).Should(Equal(3))
	})

	It("require the shared secret on both sides", func() {
		nodes := startNodes(func(i int, o *Options) {
			if i == 2 {
				o.Secret = "another-secret-of-tests"
			}
		}, "north", "north", "north")
		Eventually(nodes[0].Live, eventuallyTimeout, pollInterval).Should(HaveLen(2))
		Eventually(nodes[2].counters.refusedHandshakes.Get, eventuallyTimeout, pollInterval).Should(BeNumerically(">=", 4))
		Expect(nodes[0].Live()).To(Equal([]fleet.DaemonID{"north-0", "north-1"}))
		Expect(nodes[2].Live()).To(Equal([]fleet.DaemonID{"north-2"}))
	})

	It("reject a dialer that replays the acceptor's own proof", func() {
		nodes := startNodes(nil, "north")
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		conn, _, err := websocket.Dial(ctx, "ws://"+nodes[0].options.Addresses[0].HostPort+Path, nil)
		Expect(err).NotTo(HaveOccurred())
		own := hello{Identity: identity{Version: protocolVersion, Daemon: "intruder", DataCentre: "north"}, Nonce: newNonce()}
		Expect(writeMessage(ctx, conn, own)).To(Succeed())
		var remote hello
		Expect(readMessage(ctx, conn, &remote)).To(Succeed())
		Expect(writeMessage(ctx, conn, remote.Proof)).To(Succeed())
		var result verdict
		Expect(readMessage(ctx, conn, &result)).NotTo(Succeed())
		Expect(nodes[0].Live()).To(HaveLen(1))
	})

	// A daemon may be stopped while its mesh starts: tasks that begin then are not waited for.
	It("are never begun by a mesh that is closed while it starts", func() {
		for i := range 1500 {
			n, err := NewNetwork(Options{Self: "north-0", DataCentre: "north", Secret: testSecret, Addresses: []Address{{HostPort: "127.0.0.1:1", DataCentre: "north"}}})
			Expect(err).NotTo(HaveOccurred())
			done := make(chan struct{})
			go func() {
				defer close(done)
				n.Run()
			}()
			for began := time.Now(); time.Since(began) < time.Duration(i%100)*time.Microsecond; {
			}
			n.Close()
			Eventually(done, eventuallyTimeout).Should(BeClosed())
		}
	})

	It("are closed when silent and dialled again", func() {
		gate := newGate()
		nodes := startNodes(func(_ int, o *Options) { o.Dial = gate.dial }, "north", "north")
		awaitMesh(nodes)
		gate.hold()
		Eventually(nodes[0].Live, eventuallyTimeout, pollInterval).Should(HaveLen(1))
		Eventually(nodes[1].Live, eventuallyTimeout, pollInterval).Should(HaveLen(1))
		gate.release()
		awaitMesh(nodes)
	})

	It("are closed when a write is blocked for too long, although frames are still received", func() {
		nodes := startNodes(func(_ int, o *Options) { o.Heartbeat = time.Hour }, "north", "north")
		awaitMesh(nodes)
		l := nodes[0].routing.Load().local[0]
		l.writingSince.Store(time.Now().Add(-nodes[0].options.silenceTimeout()).UnixNano())
		nodes[0].checkLinks(time.Now())
		Eventually(l.ctx.Done(), eventuallyTimeout).Should(BeClosed())
		Expect(context.Cause(l.ctx)).To(BeAssignableToTypeOf(&SilentError{}))
	})

	It("are rejected when the daemon is in another data centre than the settings state", func() {
		nodes := startNodes(func(i int, o *Options) {
			if i == 1 {
				o.DataCentre = "south"
				o.Addresses = nil
			}
		}, "north", "north")
		Consistently(nodes[0].DataCentres, 5*testHeartbeat, pollInterval).Should(BeEmpty())
		Expect(nodes[0].Live()).To(HaveLen(1))
	})

	It("announce which daemons can read the log; LogReaders returns all when none can", func() {
		nodes := startNodes(nil, "north", "north", "north")
		awaitMesh(nodes)
		all := nodes[0].Live()
		for i := range nodes[:2] {
			nodes[i].SetLogUnreachable(true)
			for _, n := range nodes {
				Eventually(n.LogReaders, eventuallyTimeout, pollInterval).Should(Equal(all[i+1:]))
				Expect(n.Live()).To(Equal(all))
			}
		}
		nodes[2].SetLogUnreachable(true)
		for _, n := range nodes {
			Eventually(n.LogReaders, eventuallyTimeout, pollInterval).Should(Equal(all))
		}
		nodes[1].SetLogUnreachable(false)
		for _, n := range nodes {
			Eventually(n.LogReaders, eventuallyTimeout, pollInterval).Should(Equal(all[1:2]))
		}
	})

	It("remove a leaving daemon from Live at once, while its calls continue", func() {
		nodes := startNodes(nil, "north", "north", "north")
		started := make(chan struct{})
		release := make(chan struct{})
		finish := sync.OnceFunc(func() { close(release) })
		DeferCleanup(finish)
		nodes[2].callHandlers["slow"] = func(context.Context, fleet.DaemonID, cbor.RawMessage) (any, error) {
			close(started)
			<-release
			return "done", nil
		}
		awaitMesh(nodes)
		answered := make(chan error, 1)
		var reply string
		go func() { answered <- nodes[0].Call(context.Background(), "north-2", "slow", nil, &reply) }()
		Eventually(started, eventuallyTimeout).Should(BeClosed())
		nodes[2].Leave()
		Eventually(nodes[0].Live, eventuallyTimeout, pollInterval).Should(Equal([]fleet.DaemonID{"north-0", "north-1"}))
		Expect(nodes[2].Live()).To(Equal([]fleet.DaemonID{"north-0", "north-1"}))
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			nodes[2].Drain(context.Background())
		}()
		Consistently(drained, 3*testHeartbeat).ShouldNot(BeClosed())
		finish()
		Eventually(answered, eventuallyTimeout).Should(Receive(BeNil()))
		Expect(reply).To(Equal("done"))
		Eventually(drained, eventuallyTimeout).Should(BeClosed())
	})
})

var _ = Describe("Soft state", func() {
	It("reaches only the daemons of the publisher's data centre, unless its scope is the fleet", func() {
		nodes := startNodes(nil, "east", "east", "east", "west", "west", "west")
		awaitMesh(nodes)
		nodes[0].Publish(testTopic, ScopeDataCentre, "near")
		nodes[0].Publish(testTopic, ScopeFleet, "far")
		for _, n := range nodes[1:3] {
			Eventually(n.received, eventuallyTimeout, pollInterval).Should(ConsistOf("east-0 near", "east-0 far"))
		}
		for _, n := range nodes[3:] {
			Eventually(n.received, eventuallyTimeout, pollInterval).Should(ConsistOf("east-0 far"))
		}
		Expect(nodes[0].received()).To(BeEmpty())
	})

	It("is delivered once to each daemon and is not forwarded in loops", func() {
		nodes := startNodes(nil, "east", "east", "middle", "middle", "west", "west")
		awaitMesh(nodes)
		for _, n := range nodes {
			n.Publish(testTopic, ScopeFleet, "x")
		}
		for _, n := range nodes {
			Eventually(n.received, eventuallyTimeout, pollInterval).Should(HaveLen(5))
		}
		Consistently(nodes[0].received, 3*testHeartbeat).Should(HaveLen(5))
		sent := uint64(0)
		for _, n := range nodes {
			sent += n.counters.forwarded.Get()
		}
		// Each publication is forwarded to two data centres and once more inside each of them.
		Expect(sent).To(Equal(uint64(len(nodes) * 4)))
	})

	It("repeated by a peer is counted as a duplicate", func() {
		nodes := startNodes(nil, "north", "north")
		awaitMesh(nodes)
		body, err := cbor.Marshal("again")
		Expect(err).NotTo(HaveOccurred())
		f := frame{Kind: framePublish, ID: 7, Name: string(testTopic), Body: body, Origin: "far-1", Hops: hopsFromRelay}
		for range 3 {
			nodes[0].sendSoft(f, nodes[0].routing.Load().local, false)
		}
		Eventually(nodes[1].counters.duplicates.Get, eventuallyTimeout, pollInterval).Should(Equal(uint64(2)))
		Expect(nodes[1].received()).To(Equal([]string{"far-1 again"}))
	})

	It("drops the oldest frame when its queue is full, and reports that", func() {
		queue := newSendQueue()
		for i := range softQueueFrames + 3 {
			Expect(queue.pushSoft([]byte{byte(i)})).To(Equal(i >= softQueueFrames))
		}
		taken := queue.takeSoft()
		Expect(taken).To(HaveLen(softQueueFrames))
		Expect(taken[0]).To(Equal([]byte{3}))
	})
})

var _ = Describe("The delay between dials", func() {
	It("is uniformly distributed below an exponential bound", func() {
		Expect(backoff(0, 0.5)).To(Equal(50 * time.Millisecond))
		Expect(backoff(3, 0.5)).To(Equal(400 * time.Millisecond))
		Expect(backoff(1000, 0.999)).To(BeNumerically("<", backoffCap))
		Expect(backoff(1000, 0)).To(BeZero())
	})
})

var _ = Describe("A sequence window", func() {
	It("admits each recent sequence number once, in any order", func() {
		var w sequenceWindow
		Expect(w.admit(5)).To(BeTrue())
		Expect(w.admit(3)).To(BeTrue())
		Expect(w.admit(3)).To(BeFalse())
		Expect(w.admit(5)).To(BeFalse())
		Expect(w.admit(200)).To(BeTrue())
		Expect(w.admit(5)).To(BeFalse())
		Expect(w.admit(200 - windowBits)).To(BeFalse())
		Expect(w.admit(200 - windowBits + 1)).To(BeTrue())
	})
})
