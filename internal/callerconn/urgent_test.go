package callerconn_test

import (
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/callerconn"
)

var _ = Describe("A connection with urgent data", func() {
	// Guards against a byte that counts as received, is never read, and keeps its connection for ever.
	It("is closed after its timeout", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := callerconn.Wrap(raw, limit, slog.New(slog.DiscardHandler))
		server := &http.Server{Handler: listener.Handler(http.NotFoundHandler(), http.NotFoundHandler())}
		listener.Attach(server)
		DeferCleanup(server.Close)
		go func() { _ = server.Serve(listener) }()
		conn, err := net.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		control, err := conn.(*net.TCPConn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		Expect(control.Control(func(fd uintptr) {
			Expect(syscall.Sendto(int(fd), []byte("G"), syscall.MSG_OOB, nil)).To(Succeed())
		})).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		for range 5 {
			listener.CloseExpired(time.Now().Add(time.Hour), callerconn.Timeouts{Header: time.Second, Idle: time.Second})
		}
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(ContainSubstring("timeout")))
	})
})
