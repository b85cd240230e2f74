package callerconn_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/plantainmux/plantainmux/internal/callerconn"
)

var _ = Describe("A body", func() {
	// send sends a head and, once its handler runs, a body whose time to be read has then passed. It returns the
	// outcome of the read.
	send := func(header, body string) (outcome error) {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := callerconn.Wrap(raw, limit, slog.New(slog.DiscardHandler))
		began, sent, read := make(chan struct{}), make(chan struct{}), make(chan error, 1)
		reads := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(began)
			<-sent
			_, err := io.ReadAll(callerconn.TimedBody(w, r.Body, time.Now()))
			read <- err
		})
		server := &http.Server{Handler: listener.Handler(reads, reads)}
		listener.Attach(server)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", raw.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+header+"\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(began).Should(BeClosed())
		_, err = io.WriteString(conn, body)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond) // on its way through the kernel
		close(sent)
		Eventually(read).Should(Receive(&outcome))
		return outcome
	}

	// Guards against a request that is refused on waking although its body has arrived.
	DescribeTable("that has arrived is read past its deadline", func(header, body string, outcome types.GomegaMatcher) {
		Expect(send(header, body)).To(outcome)
	},
		Entry("of a known length", "Content-Length: 4", "body", BeNil()),
		Entry("in chunks", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n", BeNil()),
		Entry("but for the rest, which has not", "Content-Length: 4", "bo", MatchError(os.ErrDeadlineExceeded)),
	)
})
