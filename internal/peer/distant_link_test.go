package peer

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

type delayedChunk struct {
	data []byte
	due  time.Time
}

// relayDelayed copies what arrives, each piece a delay later.
func relayDelayed(to io.WriteCloser, from io.Reader, delay time.Duration) {
	chunks := make(chan delayedChunk, 1024)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, 32<<10)
			n, err := from.Read(data)
			if err != nil {
				return
			}
			chunks <- delayedChunk{data[:n], time.Now().Add(delay)}
		}
	}()
	for chunk := range chunks {
		time.Sleep(time.Until(chunk.due))
		if _, err := to.Write(chunk.data); err != nil {
			break
		}
	}
	_ = to.Close()
}

// dialDelayed connects over a link that takes delay in each direction.
func dialDelayed(delay time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		far, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		near, inner := net.Pipe()
		go relayDelayed(far, inner, delay)
		go relayDelayed(inner, far, delay)
		return near, nil
	}
}

// Guards against refusing each call on a link that works, since its packets wait: no daemon of a data centre behind it gets a configuration.
var _ = DescribeTable("A streamed call over a slow link runs", func(delay time.Duration) {
	nodes := startNodes(func(_ int, options *Options) {
		options.Heartbeat = time.Second
		options.Dial = dialDelayed(delay)
	}, "north", "north")
	nodes[1].streamHandlers["run"] = func(_ context.Context, _ fleet.DaemonID, _ cbor.RawMessage, send func(any) error) error {
		return send("")
	}
	for _, n := range nodes {
		Eventually(n.Live, 2*eventuallyTimeout, pollInterval).Should(HaveLen(2))
	}
	time.Sleep(6 * time.Second) // a regular clock frame
	served := 0
	for range 10 {
		stream, err := nodes[0].OpenStreamTo(context.Background(), "north-1", "run", "")
		if err == nil && stream.Next(new(string)) == nil {
			served++
			_ = stream.Close()
		}
	}
	Expect(served).To(Equal(10))
},
	Entry("with a round trip of 200 ms", 100*time.Millisecond),
	Entry("with a round trip of 500 ms", 250*time.Millisecond),
)
