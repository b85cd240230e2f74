package endpoint_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/outbound"
)

// failingSender fails with an error, as one whose connections are those of another daemon: none is reported here.
type failingSender struct{ err error }

func (s failingSender) Send(context.Context, outbound.Exchange) (*outbound.Response, error) {
	return nil, s.err
}

var _ = Describe("A call to a service that a sender carries out", func() {
	// Guards against calls that count as not run since no connection was made here, though another daemon has sent them.
	DescribeTable("is known not to have been sent only if the sender says so", func(err, expected error) {
		service := endpoint.NewHTTPService()
		service.SendThrough(failingSender{err})
		_, failed := service.Call(context.Background(), "127.0.0.1:1", endpoint.ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte("{}")})
		Expect(failed).To(BeAssignableToTypeOf(expected))
	},
		Entry("not sent", &outbound.NotSentError{Err: context.Canceled}, &endpoint.UnreachableError{}),
		Entry("no final answer", &outbound.NotFinalError{Status: http.StatusSwitchingProtocols}, &endpoint.BrokenError{}),
		Entry("the way lost", &outbound.PathLostError{Err: context.Canceled}, &endpoint.BrokenError{}),
		Entry("failed at another daemon", &outbound.RemoteError{}, &endpoint.BrokenError{}),
		Entry("cancelled", context.Canceled, &endpoint.BrokenError{}),
	)
})
