package callerconn_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/callerconn"
	"github.com/plantainmux/plantainmux/internal/heldbytes"
)

var _ = Describe("The heads of callers' requests", func() {
	const begin = "GET / HTTP/1.1\r\nHost: x\r\n"
	var account *heldbytes.Account
	var address string
	var largest int
	var proceed chan struct{}
	fields := func(count int) string {
		var text strings.Builder
		for i := range count {
			_, _ = fmt.Fprintf(&text, "f%d:1\r\n", i)
		}
		return text.String()
	}
	send := func(text string) net.Conn {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, _ = io.WriteString(conn, text) // a refused head may be cut off
		return conn
	}
	read := func(conn net.Conn) *http.Response {
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		return answer
	}
	held := func() int64 { return account.Held(heldbytes.Heads) }
	BeforeEach(func() {
		account, largest, proceed = heldbytes.NewAccount(1<<20, metrics.NewSet()), 0, make(chan struct{})
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = raw.Addr().String()
		listener := callerconn.Wrap(raw, limit, slog.New(slog.DiscardHandler))
		listener.LimitHeads(callerconn.HeadLimits{
			Bytes: func() int { return largest }, Account: account,
			Refusal: func(int) http.Header { return http.Header{"Retry-After": {"0.5"}} },
		})
		next := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Wait") != "" {
				<-proceed
			}
		})
		server := &http.Server{Handler: listener.Handler(next, next)}
		listener.Attach(server)
		DeferCleanup(server.Close)
		go func() { _ = server.Serve(listener) }()
	})

	// Guards against heads whose size nobody limits, and against a limit that refuses a head that meets it.
	It("are refused with 431 beyond the largest size, and served up to it", func() {
		largest = 6000
		for size, status := range map[int]int{100: 200, largest: 200, largest + 5000: 431, 500000: 431} {
			pad := size - len(begin) - len("P: \r\n\r\n")
			answer := read(send(begin + "P: " + strings.Repeat("x", pad) + "\r\n\r\n"))
			Expect(answer.StatusCode).To(Equal(status), "%d bytes", size)
			Expect(answer.Close).To(Equal(status == 431))
		}
	})

	// Guards against a refusal for many short fields, which the size alone limits.
	It("are served with as many fields as fit, one at a time", func() {
		largest = 16384
		for range 20 {
			Expect(read(send(begin + fields(790) + "\r\n")).StatusCode).To(Equal(http.StatusOK))
			Eventually(held).Should(BeZero())
		}
	})

	// Guards against heads that add up beyond the memory, and against memory that stays counted.
	DescribeTable("are refused as not run while others hold the memory", func(wait string) {
		first := send(begin + wait + fields(500))
		if wait != "" {
			_, _ = io.WriteString(first, "\r\n")
		}
		Eventually(held).Should(BeNumerically(">", 100<<10))
		answer := read(send(begin + fields(500) + "\r\n"))
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header.Get("Retry-After")).To(Equal("0.5"))
		Expect(answer.Close).To(BeTrue())
		Expect(read(send(begin+fields(10)+"\r\n")).StatusCode).To(Equal(http.StatusOK), "an ordinary one")
		close(proceed)
		Expect(first.Close()).To(Succeed())
		Eventually(held).Should(BeZero())
		Expect(read(send(begin + fields(500) + "\r\n")).StatusCode).To(Equal(http.StatusOK))
	},
		Entry("that have no end yet", ""),
		Entry("in progress", "Wait: 1\r\n"),
	)

	// Guards against half a head that came with the request before it and is not counted.
	It("count also if they came with the request before", func() {
		conn := send(begin + "\r\n" + begin + fields(500))
		Expect(read(conn).StatusCode).To(Equal(http.StatusOK))
		Eventually(held).Should(BeNumerically(">", 100<<10))
		Expect(conn.Close()).To(Succeed())
		Eventually(held).Should(BeZero())
	})
})
