package peer

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

var _ = Describe("A call whose handler fails since it did not reach a third daemon", func() {
	ctx := context.Background()
	var nodes []*node
	BeforeEach(func() {
		nodes = startNodes(nil, "north", "north", "south", "south")
		for _, n := range nodes {
			n.callHandlers["fail"] = func(context.Context, fleet.DaemonID, cbor.RawMessage) (any, error) {
				return nil, n.Call(ctx, "north-9", "echo", "", nil)
			}
			n.callHandlers["old"] = func(context.Context, fleet.DaemonID, cbor.RawMessage) (any, error) {
				return nil, &UnknownMethodError{Method: "other"}
			}
			n.streamHandlers["fail"] = func(_ context.Context, _ fleet.DaemonID, _ cbor.RawMessage, send func(any) error) error {
				if err := send(1); err != nil {
					return err
				}
				return n.Call(ctx, "north-9", "echo", "", nil)
			}
		}
		awaitMesh(nodes)
	})
	// ended returns how a stream ended.
	ended := func(stream Stream, err error) error {
		for err == nil {
			err = stream.Next(new(int))
		}
		return err
	}

	// Guards against requests that run twice, or are refused as not run after they ran.
	DescribeTable("does not count as not run", func(call func() error) {
		err := call()
		Expect(err).To(HaveOccurred())
		Expect(NotRun(err)).To(BeFalse(), "%T", err)
	},
		Entry("with one answer", func() error { return nodes[0].Call(ctx, "north-1", "fail", "", nil) }),
		Entry("with one answer, by its version", func() error { return nodes[0].Call(ctx, "north-1", "old", "", nil) }),
		Entry("with a stream of answers", func() error { return ended(nodes[0].OpenStreamTo(ctx, "north-1", "fail", "")) }),
		Entry("with a stream of answers of another data centre", func() error { return ended(nodes[0].OpenStream(ctx, "south", "fail", "")) }),
		Entry("with a stream of answers of another data centre, over a relay if there is one", func() error { return ended(nodes[1].OpenStream(ctx, "south", "fail", "")) }),
	)
})
