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
	It("are one for each pair, though both dial, and none to oneself", func() {
		nodes := startNodes(nil, "north", "north", "north", "north")
		awaitMesh(nodes)
		open := func() []int {
			var sizes []int
			for _, n := range nodes {
				sizes = append(sizes, n.openLinks())
			}
			return sizes
		}
		Eventually(open, waitLong, pollOften).Should(HaveEach(3))
		Consistently(open, 5*testHeartbeat, pollOften).Should(HaveEach(3))
		Eventually(func() int { return len(nodes[0].routing.Load().local) }, waitLong).Should(Equal(3))
	})

	It("need the shared secret on both sides", func() {
		nodes := startNodes(func(i int, o *Options) {
			if i == 2 {
				o.Secret = "another-secret-of-tests"
			}
		}, "north", "north", "north")
		Eventually(nodes[0].Live, waitLong, pollOften).Should(HaveLen(2))
		Eventually(nodes[2].counters.refusedHellos.Get, waitLong, pollOften).Should(BeNumerically(">=", 4))
		Expect(nodes[0].Live()).To(Equal([]fleet.DaemonID{"north-0", "north-1"}))
		Expect(nodes[2].Live()).To(Equal([]fleet.DaemonID{"north-2"}))
	})

	It("do not take an acceptor that returns the dialer's own words", func() {
		nodes := startNodes(nil, "north")
		ctx, cancel := context.WithTimeout(context.Background(), waitLong)
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

	It("are dropped when silent and dialled again", func() {
		gate := newGate()
		nodes := startNodes(func(_ int, o *Options) { o.Dial = gate.dial }, "north", "north")
		awaitMesh(nodes)
		gate.hold()
		Eventually(nodes[0].Live, waitLong, pollOften).Should(HaveLen(1))
		Eventually(nodes[1].Live, waitLong, pollOften).Should(HaveLen(1))
		gate.release()
		awaitMesh(nodes)
	})

	It("are dropped when they take no message for long, though the other side is heard", func() {
		nodes := startNodes(func(_ int, o *Options) { o.Heartbeat = time.Hour }, "north", "north")
		awaitMesh(nodes)
		l := nodes[0].routing.Load().local[0]
		l.writingSince.Store(time.Now().Add(-nodes[0].options.silence()).UnixNano())
		nodes[0].lookAtLinks(time.Now())
		Eventually(l.ctx.Done(), waitLong).Should(BeClosed())
		Expect(context.Cause(l.ctx)).To(BeAssignableToTypeOf(&SilentError{}))
	})

	It("are refused from a daemon of another data centre than the settings say", func() {
		nodes := startNodes(func(i int, o *Options) {
			if i == 1 {
				o.DataCentre = "south"
				o.Addresses = nil
			}
		}, "north", "north")
		Consistently(nodes[0].DataCentres, 5*testHeartbeat, pollOften).Should(BeEmpty())
		Expect(nodes[0].Live()).To(HaveLen(1))
	})

	It("tell which daemons can read the log, and name all when none can", func() {
		nodes := startNodes(nil, "north", "north", "north")
		awaitMesh(nodes)
		all := nodes[0].Live()
		for i := range nodes[:2] {
			nodes[i].SetLogAway(true)
			for _, n := range nodes {
				Eventually(n.WithLog, waitLong, pollOften).Should(Equal(all[i+1:]))
				Expect(n.Live()).To(Equal(all))
			}
		}
		nodes[2].SetLogAway(true)
		for _, n := range nodes {
			Eventually(n.WithLog, waitLong, pollOften).Should(Equal(all))
		}
		nodes[1].SetLogAway(false)
		for _, n := range nodes {
			Eventually(n.WithLog, waitLong, pollOften).Should(Equal(all[1:2]))
		}
	})

	It("drop a leaving daemon from Live at once, while its calls go on", func() {
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
		Eventually(started, waitLong).Should(BeClosed())
		nodes[2].Leave()
		Eventually(nodes[0].Live, waitLong, pollOften).Should(Equal([]fleet.DaemonID{"north-0", "north-1"}))
		Expect(nodes[2].Live()).To(Equal([]fleet.DaemonID{"north-0", "north-1"}))
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			nodes[2].Drain(context.Background())
		}()
		Consistently(drained, 3*testHeartbeat).ShouldNot(BeClosed())
		finish()
		Eventually(answered, waitLong).Should(Receive(BeNil()))
		Expect(reply).To(Equal("done"))
		Eventually(drained, waitLong).Should(BeClosed())
	})
})

var _ = Describe("Soft state", func() {
	It("reaches the daemons of the own data centre only, unless it is for the fleet", func() {
		nodes := startNodes(nil, "east", "east", "east", "west", "west", "west")
		awaitMesh(nodes)
		nodes[0].Publish(testTopic, ScopeDataCentre, "near")
		nodes[0].Publish(testTopic, ScopeFleet, "far")
		for _, n := range nodes[1:3] {
			Eventually(n.received, waitLong, pollOften).Should(ConsistOf("east-0 near", "east-0 far"))
		}
		for _, n := range nodes[3:] {
			Eventually(n.received, waitLong, pollOften).Should(ConsistOf("east-0 far"))
		}
		Expect(nodes[0].received()).To(BeEmpty())
	})

	It("is taken once, though it comes twice, and is not sent on in circles", func() {
		nodes := startNodes(nil, "east", "east", "middle", "middle", "west", "west")
		awaitMesh(nodes)
		for _, n := range nodes {
			n.Publish(testTopic, ScopeFleet, "x")
		}
		for _, n := range nodes {
			Eventually(n.received, waitLong, pollOften).Should(HaveLen(5))
		}
		Consistently(nodes[0].received, 3*testHeartbeat).Should(HaveLen(5))
		sent := uint64(0)
		for _, n := range nodes {
			sent += n.counters.forwarded.Get()
		}
		// Each publication crosses to two data centres and is sent on once there.
		Expect(sent).To(Equal(uint64(len(nodes) * 4)))
	})

	It("that a peer repeats is counted as a duplicate", func() {
		nodes := startNodes(nil, "north", "north")
		awaitMesh(nodes)
		body, err := cbor.Marshal("again")
		Expect(err).NotTo(HaveOccurred())
		f := frame{Kind: framePublish, ID: 7, Name: string(testTopic), Body: body, Origin: "far-1", Hops: hopsFromRelay}
		for range 3 {
			nodes[0].sendSoft(f, nodes[0].routing.Load().local, false)
		}
		Eventually(nodes[1].counters.duplicates.Get, waitLong, pollOften).Should(Equal(uint64(2)))
		Expect(nodes[1].received()).To(Equal([]string{"far-1 again"}))
	})

	It("drops its oldest when a queue is full, and counts it", func() {
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
	It("is uniform below an exponential bound", func() {
		Expect(backoff(0, 0.5)).To(Equal(50 * time.Millisecond))
		Expect(backoff(3, 0.5)).To(Equal(400 * time.Millisecond))
		Expect(backoff(1000, 0.999)).To(BeNumerically("<", backoffCap))
		Expect(backoff(1000, 0)).To(BeZero())
	})
})

var _ = Describe("A window", func() {
	It("admits each recent sequence number once, in any order", func() {
		var w window
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
