package accept_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/accept"
)

// failingListener fails to accept once.
type failingListener struct {
	net.Listener
	errno  syscall.Errno
	failed atomic.Bool
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errno)}
	}
	return l.Listener.Accept()
}

// Guards against a server that ends, while the daemon goes on and counts as ready.
var _ = DescribeTable("A listener that failed to accept a connection accepts the next", func(errno syscall.Errno) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	listener := accept.Always(&failingListener{Listener: raw, errno: errno}, func(error) {})
	server := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	conn, err := net.Dial("tcp", raw.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	_, err = conn.Read(make([]byte, 1))
	Expect(err).NotTo(HaveOccurred())
},
	Entry("for want of descriptors", syscall.EMFILE),
	Entry("for want of memory", syscall.ENOMEM),
	Entry("for want of buffers", syscall.ENOBUFS),
	Entry("for an error of the network", syscall.ENETUNREACH),
	Entry("for an error of the protocol", syscall.EPROTO),
)
