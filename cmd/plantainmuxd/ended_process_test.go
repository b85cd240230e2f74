package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// Guards against requests that the system goes on sending after the process that wrote them has ended.
var _ = Describe("A request that has not arrived when the process of a daemon ends", func() {
	const size = 64 << 10 // bytes, more than the endpoint's system takes
	const orders = 8      // of which the endpoint that stands still gets some
	body := strings.Repeat("x", size)
	var deaf *fakes.DeafListener
	BeforeEach(func() {
		var err error
		deaf, err = fakes.NewDeafListener()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(deaf.Close)
	})
	send := func(conn net.Conn, request string) {
		_, err := fmt.Fprint(conn, request)
		Expect(err).NotTo(HaveOccurred())
	}
	// expectNoWholeRequest reads what arrives at the endpoint, now that it goes on.
	expectNoWholeRequest := func() {
		Expect(deaf.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(time.Second))).To(Succeed())
		begun := 0
		for {
			arrived, err := deaf.ReadNext()
			if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
				break
			}
			Expect(arrived).To(BeNumerically("<", size))
			begun++
		}
		Expect(begun).To(BeNumerically(">", 0))
	}

	DescribeTable("does not arrive later", func(signal syscall.Signal, within time.Duration) {
		d := newDaemonProcess()
		Expect(d.wire.Configure(2, time.Minute, 12*time.Second)).To(Succeed())
		d.wire.SetWorkTime(10 * time.Second)
		Expect(d.wire.RegisterDesk("n", "deaf", deaf.Address())).To(Succeed())
		d.startAndAwait()
		for i := range orders {
			send(d.dial(), fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: x.example\r\nRequest-Id: held%d\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n%s", i, size, body))
		}
		time.Sleep(500 * time.Millisecond) // they are written
		Expect(d.session.Command.Process.Signal(signal)).To(Succeed())
		Eventually(d.session, within).Should(gexec.Exit())
		expectNoWholeRequest()
	},
		Entry("when it is killed", syscall.SIGKILL, time.Second),
		Entry("when its grace is over", syscall.SIGTERM, 8*time.Second),
	)

	It("does not arrive later when a standalone daemon is killed", func() {
		d := startStandaloneProcess(false, config.Service{
			Name: "deaf", KeyLifetime: 3600,
			Endpoints: []config.ServiceEndpoint{{Address: deaf.Address(), DataCentre: "north"}},
			Calls:     []config.Call{{Method: http.MethodPost, Path: "/orders", TimeoutSeconds: 8}},
		})
		send(d.dialAll(1)[0], fmt.Sprintf("POST /v1/services/deaf/orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: held\r\nContent-Length: %d\r\n\r\n%s", testbed.TeamKey, size, body))
		time.Sleep(500 * time.Millisecond) // it is written
		Expect(d.session.Command.Process.Signal(syscall.SIGKILL)).To(Succeed())
		Eventually(d.session, "1s").Should(gexec.Exit())
		expectNoWholeRequest()
	})
})
