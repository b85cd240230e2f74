package main

import (
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

var _ = Describe("A daemon's process that stands still while it stops", func() {
	const callers = 40

	dialAll := func(d *daemonProcess) (conns []net.Conn) {
		for range callers {
			conns = append(conns, d.dial())
		}
		return conns
	}
	answered := HaveEach(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))

	// Guards against connections that are closed by the clock, on waking, over requests that have arrived.
	DescribeTable("answers the orders that arrive meanwhile", func(at, period time.Duration) {
		d := startDaemonProcess()
		kept := dialAll(d)
		Expect(place(kept, order, "before")()).To(answered)
		process := d.session.Command.Process
		Expect(process.Signal(syscall.SIGTERM)).To(Succeed())
		time.Sleep(at)
		halt(process)
		onKept := place(kept, order, "kept")
		onNew := place(dialAll(d), order, "new")
		time.Sleep(period)
		Expect(process.Signal(syscall.SIGCONT)).To(Succeed())
		Expect(onKept()).To(answered, "on connections that were open")
		Expect(onNew()).To(answered, "on connections that the system accepted meanwhile")
		Eventually(d.session, "8s").Should(gexec.Exit(0))
	},
		Entry("before it closes", 2300*time.Millisecond, 700*time.Millisecond),
		Entry("shortly before it closes", 2520*time.Millisecond, 200*time.Millisecond),
		Entry("past the end of its grace", 1000*time.Millisecond, 6500*time.Millisecond),
	)
})
