package forward_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// withdrawingSender is a sender whose connections are withdrawn.
type withdrawingSender struct{}

// Send implements outbound.Sender.
func (withdrawingSender) Send(context.Context, outbound.Exchange) (*outbound.Response, error) {
	return nil, &delivery.WithdrawnError{Address: "10.0.0.2:80"}
}

var _ = Describe("An exchange that is withdrawn by the daemon to which it was forwarded", func() {
	// Guards against requests that count as ones that crash endpoints, since their endpoint has left.
	It("is reported as withdrawn", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		helper := startNode("helper", nil, heartbeat)
		forward.NewServer(helper, forward.ServerDependencies{
			Direct: withdrawingSender{}, Count: func(string) {}, Logger: slog.New(slog.DiscardHandler),
			Admit: func(_ fleet.DaemonID, wanted outbound.Exchange) (outbound.Endpoint, func(), *outbound.NotSentError) {
				return wanted.Endpoint, func() {}, nil
			},
		})
		server := &http.Server{Handler: helper.Handler()}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		entry := startNode("entry", nil, heartbeat)
		entry.Connect(peer.Address{HostPort: listener.Addr().String(), DataCentre: "north"})
		Expect(entry.AwaitLink(context.Background(), "helper", linkTimeout)).To(BeTrue())

		_, err = forward.NewClient(entry).Send(context.Background(), "helper", outbound.Exchange{RequestID: "r1"})
		var withdrawn *delivery.WithdrawnError
		Expect(errors.As(err, &withdrawn)).To(BeTrue(), "%v", err)
		var remote *outbound.RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue(), "%v", err)
		var notSent *outbound.NotSentError
		Expect(errors.As(err, &notSent)).To(BeFalse(), "it may have arrived")
	})
})
