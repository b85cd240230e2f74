package callerconn_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/callerconn"
)

var _ = Describe("A caller that announces a body and does not send it", func() {
	// Guards against callers that hold a place for ever, once their request is answered.
	It("does not count as in progress after the time for the rest", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := callerconn.Wrap(raw, 1, slog.New(slog.DiscardHandler))
		ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
		server := &http.Server{Handler: listener.Handler(ok, ok)}
		listener.Attach(server)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		full := func() bool {
			listener.CloseExpired(time.Now().Add(time.Hour), callerconn.Timeouts{Header: time.Second, Idle: time.Second})
			return listener.Full()
		}
		Eventually(full, "2s", "50ms").Should(BeFalse())
	})
})
