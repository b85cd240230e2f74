package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A daemon's process that stands still while requests are in progress", func() {
	const (
		orders, streams = 16, 8 // as many as the endpoints take
		talk            = "POST /talk/%[1]s HTTP/1.1\r\nHost: x.example\r\nRequest-Id: %[1]s\r\nDeadline-Ms: 4000\r\nModel: big\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbody"
	)
	// answerOn returns the status and the body of the next answer on a connection, or why it is not complete.
	answerOn := func(conn net.Conn) string {
		_ = conn.SetReadDeadline(time.Now().Add(12 * time.Second))
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = answer.Body.Close() }()
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			return err.Error()
		}
		return fmt.Sprintf("%d, %d events", answer.StatusCode, strings.Count(string(body), "data: "))
	}
	// standStill sends requests, stops the process after a time for each of the periods, and returns the answers.
	standStill := func(d *daemonProcess, callers int, request string, after time.Duration, periods ...time.Duration) []string {
		answers := make([]string, callers)
		var all sync.WaitGroup
		for i := range callers {
			conn := d.dial()
			_, err := fmt.Fprintf(conn, request, fmt.Sprintf("held%d", i))
			Expect(err).NotTo(HaveOccurred())
			all.Go(func() { answers[i] = answerOn(conn) })
		}
		for _, period := range periods {
			time.Sleep(after)
			process := d.session.Command.Process
			halt(process)
			time.Sleep(period)
			Expect(process.Signal(syscall.SIGCONT)).To(Succeed())
		}
		all.Wait()
		return answers
	}

	// Guards against a 504 for orders whose answers had arrived before the process found their time over.
	It("delivers the answers to orders that came meanwhile, also past their deadline", func() {
		d := startDaemonProcess()
		d.wire.SetWorkTime(2500 * time.Millisecond)
		Expect(standStill(d, orders, order, 2*time.Second, 3*time.Second)).To(HaveEach("200, 0 events"))
		Expect(d.ordersRun("held")).To(Equal(orders))
	})

	// Guards against streams that are sent elsewhere, or cut off, while their events wait to be read.
	DescribeTable("delivers the events that came meanwhile, from the endpoints that send them", func(streams int, after time.Duration, periods ...time.Duration) {
		const events = 90 // in 2.7 s
		d := startDaemonProcess()
		d.wire.SetLastEvent(events)
		Expect(standStill(d, streams, talk, after, periods...)).To(HaveEach(fmt.Sprintf("200, %d events", events)))
		Expect(string(d.session.Out.Contents())).NotTo(ContainSubstring("attempt sent beside another"))
	},
		Entry("past their deadline", streams, time.Second, 4*time.Second),
	)
})
