package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

var _ = Describe("Orders that come late in the grace of a daemon's process", func() {
	const work = 3 * time.Second
	// answer returns the status line of the answer to an order whose body is complete after a time.
	answer := func(d *daemonProcess, id string, body time.Duration) string {
		defer GinkgoRecover()
		conn := d.dial()
		defer func() { _ = conn.Close() }()
		request := fmt.Sprintf(order, id)
		split := len(request) - 2
		_, err := fmt.Fprint(conn, request[:split])
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(body)
		_, err = fmt.Fprint(conn, request[split:])
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(8 * time.Second))).To(Succeed())
		line := make([]byte, len("HTTP/1.1 200"))
		n, _ := conn.Read(line)
		return string(line[:n])
	}

	// Guards against orders that are cut off by the end of the process without an answer.
	It("are answered: those that cannot be before the end do not begin, and those in progress at the end may have run", func() {
		d := startDaemonProcess()
		d.wire.SetWorkTime(work)
		Expect(d.session.Command.Process.Signal(syscall.SIGTERM)).To(Succeed()) // 5.4 s to serve
		began := time.Now()
		answers := map[string]chan string{}
		place := func(id string, at, body time.Duration) {
			answered := make(chan string, 1)
			answers[id] = answered
			time.Sleep(time.Until(began.Add(at)))
			go func() { answered <- answer(d, id, body) }()
		}
		place("earlier", 2300*time.Millisecond, 0)               // in progress, so that the daemon does not end before the others come
		place("slow-body", 2600*time.Millisecond, 2*time.Second) // its deadline is at 5.6 s
		place("last", 2750*time.Millisecond, 0)                  // it would be done at 5.75 s
		Eventually(answers["earlier"], "5s").Should(Receive(HavePrefix("HTTP/1.1 ")))
		Eventually(answers["slow-body"], "4s").Should(Receive(Equal("HTTP/1.1 503")))
		Eventually(answers["last"], "4s").Should(Receive(Equal("HTTP/1.1 502")))
		Eventually(d.session, "3s").Should(gexec.Exit(0))
		Expect(time.Since(began)).To(BeNumerically("<", 6*time.Second))
		Expect([]int{d.ordersRun("slow-body"), d.ordersRun("last")}).To(Equal([]int{0, 1}))
		Expect(strings.Count(string(d.session.Out.Contents()), `"reason":"stopped"`)).To(Equal(1))
	})
})
