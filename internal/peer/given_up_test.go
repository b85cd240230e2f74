package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"

	"github.com/coder/websocket"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/traffic"
)

// dialDeaf dials a link as north-1, which reads nothing more of it and whose system takes little of what is written to it.
func dialDeaf(server *httptest.Server) net.Conn {
	GinkgoHelper()
	const bufferBytes = 4 << 10
	dialer := &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes)
		})
	}}
	var raw net.Conn
	transport := server.Client().Transport.(*http.Transport).Clone()
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		var err error
		raw, err = dialer.DialContext(ctx, network, address)
		return raw, err
	}
	conn, _, err := websocket.Dial(context.Background(), strings.Replace(server.URL, "http", "ws", 1)+Path, &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport}, CompressionMode: websocket.CompressionDisabled,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.CloseNow() })
	self := identity{Version: protocolVersion, Daemon: "north-1", DataCentre: "north"}
	_, result, err := handshakeAsDialer(context.Background(), conn, self, testSecret)
	Expect(err).NotTo(HaveOccurred())
	Expect(result).To(Equal(verdictAccepted))
	return raw
}

// Guards against calls that wait in the socket of a link that was accepted, and arrive after it was closed as silent.
var _ = DescribeTable("A call over an accepted link that is closed before it has arrived does not arrive later", func(start func(*httptest.Server)) {
	const size = 64 << 10 // bytes, more than the other side takes
	n, err := NewNetwork(Options{Self: "north-0", DataCentre: "north", Secret: testSecret, Heartbeat: testHeartbeat})
	Expect(err).NotTo(HaveOccurred())
	go n.Run()
	DeferCleanup(n.Close)
	server := httptest.NewUnstartedServer(n.Handler())
	start(server)
	DeferCleanup(server.Close)
	raw := dialDeaf(server)
	Eventually(n.Live, eventuallyTimeout, pollInterval).Should(HaveLen(2))
	ctx, cancel := context.WithTimeout(context.Background(), testHeartbeat)
	defer cancel()
	Expect(n.Call(ctx, "north-1", "echo", bytes.Repeat([]byte("x"), size), nil)).To(BeAssignableToTypeOf(&LinkError{}))
	Eventually(n.Links, eventuallyTimeout, pollInterval).Should(BeEmpty())
	time.Sleep(testHeartbeat)
	arrived, _ := io.Copy(io.Discard, raw) // a reset is as good as an end
	Expect(arrived).To(BeNumerically("<", size))
},
	Entry("over TCP", func(s *httptest.Server) { s.Start() }),
	Entry("over TLS", func(s *httptest.Server) { s.StartTLS() }),
	Entry("over a connection whose bytes are counted", func(s *httptest.Server) {
		s.Listener = traffic.WrapListener(s.Listener, &traffic.Counter{})
		s.Start()
	}),
)

var _ = Describe("Answers beside links", func() {
	// Guards against resets that destroy what a caller of the same listener has not read yet.
	It("arrive whole at a caller that reads late, after the server has closed its connection", func() {
		const size = 64 << 10
		n, err := NewNetwork(Options{Self: "north-0", DataCentre: "north"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(n.Close)
		mux := http.NewServeMux()
		mux.Handle(Path, n.Handler())
		mux.HandleFunc("/answer", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(bytes.Repeat([]byte("x"), size)) })
		server := httptest.NewServer(mux)
		DeferCleanup(server.Close)
		dialer := &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
		}}
		conn, err := dialer.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = io.WriteString(conn, "GET /answer HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(testHeartbeat)
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(answer)).To(BeNumerically(">", size))
	})
})
