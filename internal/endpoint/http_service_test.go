package endpoint_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
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

// answerWith starts a server that answers each request with a status line, and returns its address.
func answerWith(status string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against answers of an endpoint in trouble that callers get, and that are recorded as the outcome of an order.
var _ = DescribeTable("An answer of a service without a status of HTTP", func(status string) {
	_, err := endpoint.NewHTTPService().Call(context.Background(), answerWith(status), endpoint.ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte("{}")})
	var broken *endpoint.BrokenError
	Expect(errors.As(err, &broken)).To(BeTrue(), "got %v", err)
},
	Entry("000", "000 x"),
	Entry("a sign", "+00 x"),
	Entry("099", "099 x"),
	Entry("a switch of protocols that nobody asked for", "101 x"),
	Entry("999", "999 x"),
)
