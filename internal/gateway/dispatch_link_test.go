package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/locality"
	"github.com/plantainmux/plantainmux/internal/peer"
)

var _ = Describe("The link to a dispatcher", func() {
	const method = "two"
	var proceed chan struct{}
	// start returns a daemon that answers a stream with two events, the second after a value of
	// proceed, and its address.
	start := func(id fleet.DaemonID) (*peer.Network, string) {
		node, err := peer.NewNetwork(peer.Options{Self: id, DataCentre: meshDataCentre, Heartbeat: 50 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		node.HandleStream(method, func(ctx context.Context, _ fleet.DaemonID, _ cbor.RawMessage, send func(any) error) error {
			if err := send(1); err != nil {
				return err
			}
			select {
			case <-proceed:
				return send(2)
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: node.Handler()}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(func() { _ = server.Close(); node.Close() })
		return node, listener.Addr().String()
	}

	// Guards against callers whose streams break because a hub is replaced, and against links of
	// each dispatcher that there has ever been.
	It("carries a stream in progress to its end after another daemon has become the dispatcher, and ends then", func() {
		proceed = make(chan struct{})
		hub, address := start("hub")
		go hub.Run()
		mesh, _ := start("self")
		linked := func() bool { return mesh.AwaitLink(context.Background(), "hub", time.Millisecond) }
		now := time.Now()
		g := &Gateway{settings: Settings{Node: "self"}, mesh: mesh}
		g.addressOf.Store(&map[string]string{})
		g.paths = forward.NewLinkPool(&meshLinks{gateway: g}, func(*locality.Allowed) []string { return nil }, func() time.Time { return now })
		g.linkDispatcher("hub", address)
		Expect(mesh.AwaitLink(context.Background(), "hub", 5*time.Second)).To(BeTrue())
		stream, err := mesh.OpenStreamTo(context.Background(), "hub", method, nil)
		Expect(err).NotTo(HaveOccurred())
		var event int
		Expect(stream.Next(&event)).To(Succeed())

		g.linkDispatcher("self", "")
		now = now.Add(time.Minute)
		g.paths.Sweep()
		Consistently(linked, "200ms", "10ms").Should(BeTrue())
		close(proceed)
		Expect(stream.Next(&event)).To(Succeed())
		Expect(event).To(Equal(2))

		Eventually(func() bool { return mesh.LinkIdle("hub") }, "5s", "10ms").Should(BeTrue())
		g.paths.Sweep()
		Eventually(linked, "5s", "10ms").Should(BeFalse())
	})
})
