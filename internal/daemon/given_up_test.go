package daemon_test

import (
	"bytes"
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/daemon"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/settings"
)

// Guards against calls that wait in a socket and arrive seconds after they were given up.
var _ = Describe("A call that is given up before it has arrived", func() {
	const size = 64 << 10 // bytes, more than the listener takes
	body := bytes.Repeat([]byte("x"), size)
	send := func(fresh bool) func(ctx context.Context, adapters daemon.Adapters, address string) error {
		return func(ctx context.Context, adapters daemon.Adapters, address string) error {
			_, err := adapters.Direct.Send(ctx, outbound.Exchange{
				Endpoint: outbound.Endpoint{Address: address}, Method: http.MethodPost, Target: "/", Host: "h", Body: body, Fresh: fresh,
			})
			return err
		}
	}
	DescribeTable("does not arrive later", func(call func(ctx context.Context, adapters daemon.Adapters, address string) error) {
		deaf, err := fakes.NewDeafListener()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(deaf.Close)
		adapters := daemon.NewAdapters(settings.Settings{Platform: settings.Platform{Log: "http://" + deaf.Address()}})
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		Expect(call(ctx, adapters, deaf.Address())).NotTo(Succeed())
		time.Sleep(500 * time.Millisecond)
		arrived, _ := deaf.ReadNext() // a reset is as good as an end
		Expect(arrived).To(BeNumerically("<", size))
	},
		Entry("a request", send(false)),
		Entry("a request on a new connection", send(true)),
		Entry("a call to a service", func(ctx context.Context, adapters daemon.Adapters, address string) error {
			_, err := adapters.Service.Call(ctx, address, endpoint.ServiceCall{Method: http.MethodPost, Path: "/", Body: body})
			return err
		}),
		Entry("an order to an engine", func(ctx context.Context, adapters daemon.Adapters, address string) error {
			_, err := adapters.Engine.Control(ctx, address, endpoint.ControlOrder{Action: endpoint.Join, Fencing: 1, Group: fleet.Group{Version: string(body)}})
			return err
		}),
		Entry("a record for the log", func(ctx context.Context, adapters daemon.Adapters, _ string) error {
			_, err := adapters.Log.Append(ctx, "s", [][]byte{body})
			return err
		}),
	)
})
