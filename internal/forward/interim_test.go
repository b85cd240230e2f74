package forward_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// statusSender answers with a status, as the senders of earlier versions did with any they read.
type statusSender int

func (s statusSender) Send(context.Context, outbound.Exchange) (*outbound.Response, error) {
	return &outbound.Response{Status: int(s), Header: http.Header{}, Body: http.NoBody}, nil
}

var _ = Describe("A response that is not final", func() {
	ctx := context.Background()

	DescribeTable("is a failure when a daemon of an earlier version passes it on", func(status int) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		helper, entry := startNode("helper", nil, heartbeat), startNode("entry", fakes.NewLink(), heartbeat)
		admit := func(_ fleet.DaemonID, wanted outbound.Exchange) (outbound.Endpoint, func(), *outbound.NotSentError) {
			return wanted.Endpoint, func() {}, nil
		}
		forward.NewServer(helper, forward.ServerDependencies{Direct: statusSender(status), Admit: admit, Count: func(string) {}, Logger: slog.New(slog.DiscardHandler)})
		server := &http.Server{Handler: helper.Handler()}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		entry.Connect(peer.Address{HostPort: listener.Addr().String(), DataCentre: "north"})
		Expect(entry.AwaitLink(ctx, "helper", linkTimeout)).To(BeTrue())
		_, err = forward.NewClient(entry).Send(ctx, "helper", outbound.Exchange{Method: http.MethodPost, Target: "/"})
		expectNotFinal(err, status)
	}, Entry("102", 102), Entry("101", 101), Entry("0", 0), Entry("-1", -1), Entry("600", 600), Entry("1000", 1000))

	DescribeTable("is a failure of an endpoint that is reached over net/http", func(line string, status int) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+line+"\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(time.Second) // the connection stays open
			_ = conn.Close()
		}()
		sender := &outbound.HTTPSender{Pooled: &http.Transport{}, Fresh: &http.Transport{DisableKeepAlives: true}}
		address := listener.Addr().String()
		_, err = sender.Send(ctx, outbound.Exchange{Endpoint: outbound.Endpoint{Address: address}, Method: http.MethodPost, Target: "/", Host: address, Fresh: true})
		expectNotFinal(err, status)
	}, Entry("101", "101 Switching Protocols", 101), Entry("099", "099 x", 99), Entry("999", "999 x", 999))
})

func expectNotFinal(err error, status int) {
	GinkgoHelper()
	var notFinal *outbound.NotFinalError
	Expect(errors.As(err, &notFinal)).To(BeTrue(), "got %v", err)
	Expect(notFinal.Status).To(Equal(status))
}
