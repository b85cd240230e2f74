package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const order = "POST /order/%[1]s HTTP/1.1\r\nHost: x.example\r\nRequest-Id: %[1]s\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbody"

// dial opens a connection of a caller.
func (d *daemonProcess) dial() net.Conn {
	conn, err := net.DialTimeout("tcp", d.callers, 2*time.Second)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	return conn
}

// answer returns the status line of the answer to an order on a connection of its own.
func (d *daemonProcess) answer(id string) string {
	conn := d.dial()
	defer func() { _ = conn.Close() }()
	_, err := fmt.Fprintf(conn, order, id)
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	line := make([]byte, len("HTTP/1.1 200"))
	n, _ := conn.Read(line)
	return string(line[:n])
}

func (d *daemonProcess) isReady() bool {
	answer, err := http.Get("http://" + d.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// ordersRun returns how many orders whose ID has a prefix the plain service has run.
func (d *daemonProcess) ordersRun(prefix string) int {
	recorder := httptest.NewRecorder()
	d.wire.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/fake/runs", nil))
	return strings.Count(recorder.Body.String(), " "+prefix)
}

var _ = Describe("The connections of a daemon's callers", func() {
	// Guards against idle connections that keep a daemon, which counts as ready, from accepting others.
	It("are accepted and served with more idle ones open than the process has descriptors", func() {
		d := newDaemonProcess()
		d.start(exec.Command("bash", "-c", `ulimit -n 300; exec "$0" --platform --settings "$1"`, binary, d.settings))
		d.awaitService()
		for range 400 {
			d.dial()
		}
		for i := range 20 {
			Expect(d.answer(fmt.Sprintf("order%d", i))).To(Equal("HTTP/1.1 200"))
			Expect(d.isReady()).To(BeTrue())
		}
	})

	// Guards against requests that are sent on although their callers left before they were read.
	It("tell whether their callers left while the process stood still", func() {
		d := startDaemonProcess()
		halt(d.session.Command.Process)
		for i := range 200 {
			conn := d.dial()
			_, err := fmt.Fprintf(conn, order, fmt.Sprintf("left%d", i))
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.Close()).To(Succeed())
		}
		time.Sleep(time.Second)
		Expect(d.session.Command.Process.Signal(syscall.SIGCONT)).To(Succeed())
		Eventually(func() string { return d.answer("stayed") }, "5s").Should(Equal("HTTP/1.1 200"))
		Expect(d.ordersRun("stayed")).To(Equal(1))
		Expect(d.ordersRun("left")).To(BeZero())
	})
})
