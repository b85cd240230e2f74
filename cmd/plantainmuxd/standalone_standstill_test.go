package main

import (
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/plantainmux/plantainmux/internal/fakes"
)

var _ = Describe("A standalone daemon's process that stands still", func() {
	const callers = 40
	ran := HaveEach(http.StatusOK)
	answered := HaveEach(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
	// standStill stops the process for a period, in which its callers act.
	standStill := func(d *standaloneProcess, period time.Duration, act func()) {
		process := d.session.Command.Process
		halt(process)
		act()
		time.Sleep(period)
		Expect(process.Signal(syscall.SIGCONT)).To(Succeed())
	}

	// Guards against connections that are closed by the clock, on waking, over requests that have arrived.
	DescribeTable("while it stops answers or refuses the orders that arrive meanwhile", func(secured bool, at, period time.Duration) {
		d := startStandaloneProcess(secured)
		kept := d.dialAll(callers)
		Expect(place(kept, standaloneOrder, "before")()).To(ran)
		Expect(d.session.Command.Process.Signal(syscall.SIGTERM)).To(Succeed())
		time.Sleep(at)
		var onKept, onNew func() []any
		standStill(d, period, func() {
			onKept = place(kept, standaloneOrder, "kept")
			onNew = place(d.dialAll(callers), standaloneOrder, "new")
		})
		Expect(onKept()).To(answered, "on connections that were open")
		Expect(onNew()).To(answered, "on connections that the system accepted meanwhile")
		Eventually(d.session, "8s").Should(gexec.Exit(0))
	},
		Entry("across the end of the drain notice", false, drainNotice-100*time.Millisecond, 400*time.Millisecond),
		Entry("for long", false, drainNotice/2, 3*time.Second),
		Entry("across the end of the drain notice, with certificates", true, drainNotice-100*time.Millisecond, 400*time.Millisecond),
	)

	// Guards against a stop that ends requests in progress, or connections with others, on waking.
	It("while it stops passes on the answers that arrive meanwhile", func() {
		d := startStandaloneProcess(false)
		kept, busy := d.dialAll(callers), d.dialAll(callers)
		Expect(place(kept, standaloneOrder, "before")()).To(ran)
		d.service.Set(fakes.Faults{DelayMS: 1500})
		inProgress := place(busy, standaloneOrder, "busy")
		time.Sleep(200 * time.Millisecond)
		Expect(d.session.Command.Process.Signal(syscall.SIGTERM)).To(Succeed())
		time.Sleep(drainNotice + 100*time.Millisecond)
		var late func() []any
		standStill(d, time.Second, func() { late = place(kept, standaloneOrder, "late") })
		Expect(inProgress()).To(ran)
		Expect(late()).To(HaveEach(http.StatusServiceUnavailable))
		Eventually(d.session, "8s").Should(gexec.Exit(0))
	})

	// Guards against timeouts of connections that pass on waking, before what has arrived was read.
	It("runs the orders that arrive on connections whose time to send one ends meanwhile", func() {
		d := startStandaloneProcess(false)
		conns := d.dialAll(callers)
		time.Sleep(9500 * time.Millisecond) // of 10 s
		var answers func() []any
		standStill(d, time.Second, func() { answers = place(conns, standaloneOrder, "first") })
		Expect(answers()).To(ran)
	})
})
