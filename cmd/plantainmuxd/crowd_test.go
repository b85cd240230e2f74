package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Of the daemon that a crowd meets.
const (
	crowdMemoryMB    = 64
	crowdDescriptors = 1200
	crowdHeadBytes   = 16384
	crowdBodyBytes   = 100000
	crowdSize        = 200 // clients
	crowdMost        = 440 // clients, of the 480 connections that callers may have
	crowdPeriod      = 3 * time.Second
	crowdPause       = 50 * time.Millisecond // of a client that was refused or cut off
)

// crowd is clients that send the same bytes at once, each on a connection of its own, and stay.
type crowd struct {
	address string
	clients int
	send    func(io.Writer) error
	reads   bool // whether the clients read what is answered
	over    chan struct{}
	ended   sync.WaitGroup
}

// gather starts a crowd.
func gather(address string, clients int, reads bool, send func(io.Writer) error) *crowd {
	c := &crowd{address: address, clients: clients, send: send, reads: reads, over: make(chan struct{})}
	for range clients {
		c.ended.Go(c.misbehave)
	}
	return c
}

// leave ends the clients. Their connections are closed.
func (c *crowd) leave() {
	close(c.over)
	c.ended.Wait()
}

// misbehave is the life of a client. One that is refused or cut off comes back.
func (c *crowd) misbehave() {
	for {
		c.visit()
		select {
		case <-c.over:
			return
		case <-time.After(crowdPause):
		}
	}
}

func (c *crowd) visit() {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	left := make(chan struct{})
	defer close(left)
	go func() {
		select {
		case <-c.over:
			_ = conn.Close()
		case <-left:
		}
	}()
	if c.send(conn) != nil {
		return
	}
	if c.reads {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	<-c.over
}

// startCrowded starts a daemon with little memory and few descriptors.
func startCrowded() *daemonProcess {
	d := newDaemonProcess()
	d.configure(`"limits":{`, fmt.Sprintf(`"limits":{"max_header_bytes":%d,`, crowdHeadBytes))
	text, err := os.ReadFile(d.settings)
	Expect(err).NotTo(HaveOccurred())
	limits := fmt.Sprintf("limits: {memory_mb: %d, file_descriptors: %d, cpu_share: 1}", crowdMemoryMB, crowdDescriptors)
	d.writeSettings(strings.Replace(string(text), "limits: {memory_mb: 256, cpu_share: 1}", limits, 1))
	d.start(exec.Command(binary, "--platform", "--settings", d.settings))
	d.awaitService()
	return d
}

// configure replaces text in the configuration that the store holds.
func (d *daemonProcess) configure(replacements ...string) {
	current := httptest.NewRecorder()
	d.wire.ServeHTTP(current, httptest.NewRequest(http.MethodGet, "/fake/operators/config", nil))
	changed := strings.NewReplacer(replacements...).Replace(current.Body.String())
	written := httptest.NewRecorder()
	d.wire.ServeHTTP(written, httptest.NewRequest(http.MethodPut, "/fake/operators/config", bytes.NewBufferString(changed)))
	Expect(written.Code).To(Equal(http.StatusOK))
}

// endure has a crowd play for crowdPeriod, and checks that the daemon stays within its memory and descriptors,
// and serves and is ready afterwards.
func (d *daemonProcess) endure(address string, clients int, reads bool, send func(io.Writer) error) {
	meter := startMeter(d.session.Command.Process.Pid, d.callers, d.ready, d.peers)
	c := gather(address, clients, reads, send)
	time.Sleep(crowdPeriod)
	c.leave()
	use := meter.stop()
	AddReportEntry("use", use.String())
	Expect(d.session.ExitCode()).To(Equal(-1), "the daemon has ended")
	Eventually(func() string { return d.ordinary("after") }, "15s", "100ms").Should(Equal("HTTP/1.1 200"))
	Eventually(d.isReady, "15s", "100ms").Should(BeTrue())
	use.expectWithin(crowdMemoryMB, crowdDescriptors)
}

// ordinary returns the status line of the answer to an order, or why there is none.
func (d *daemonProcess) ordinary(id string) string {
	conn, err := net.DialTimeout("tcp", d.callers, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, order, id); err != nil {
		return err.Error()
	}
	_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	line := make([]byte, len("HTTP/1.1 200"))
	n, err := io.ReadFull(conn, line)
	if err != nil {
		return err.Error()
	}
	return string(line[:n])
}

// crowdAddress returns the address that a crowd comes to.
type crowdAddress func(*daemonProcess) string

func callersOf(d *daemonProcess) string { return d.callers }
func readyOf(d *daemonProcess) string   { return d.ready }
func peersOf(d *daemonProcess) string   { return d.peers }

// Paths that a crowd asks for.
const (
	routed    = "/order/crowd"
	unrouted  = "/none/crowd"
	readiness = "/api/readiness"
)

// Guards against clients outside the limits that end a daemon, or keep it from serving others.
var _ = Describe("Crowds of clients that do not behave", Label("crowd"), func() {
	DescribeTable("leave a daemon within its memory", func(at crowdAddress, clients int, reads bool, send func(io.Writer) error) {
		d := startCrowded()
		d.endure(at(d), clients, reads, send)
	},
		Entry("heads beyond the limit, of short fields, routed", crowdAddress(callersOf), crowdSize, true, headsBeyond(routed)),
		Entry("heads beyond the limit, of short fields, no route", crowdAddress(callersOf), crowdSize, true, headsBeyond(unrouted)),
		Entry("heads beyond the limit, of short fields, readiness path", crowdAddress(callersOf), crowdSize, true, headsBeyond(readiness)),
		Entry("heads beyond the limit, of short fields, readiness address", crowdAddress(readyOf), crowdSize, true, headsBeyond(readiness)),
		Entry("heads beyond the limit, of short fields, peers' address", crowdAddress(peersOf), crowdSize, true, headsBeyond("/peer")),
		Entry("heads without end, of short fields, routed", crowdAddress(callersOf), crowdSize, true, headsWithoutEnd(routed)),
		Entry("heads without end, of short fields, readiness address", crowdAddress(readyOf), crowdSize, true, headsWithoutEnd(readiness)),
		Entry("heads without end, of short fields, peers' address", crowdAddress(peersOf), crowdSize, true, headsWithoutEnd("/peer")),
		Entry("heads without end, of one field, routed", crowdAddress(callersOf), crowdSize, true, longField(routed)),
		Entry("heads without end, of one field, readiness address", crowdAddress(readyOf), crowdSize, true, longField(readiness)),

		Entry("heads of legal size, of short fields, routed", crowdAddress(callersOf), crowdSize, true, legalHeads(routed)),
		Entry("heads of legal size, of short fields, no route", crowdAddress(callersOf), crowdSize, true, legalHeads(unrouted)),
		Entry("heads of legal size, of short fields, readiness path", crowdAddress(callersOf), crowdSize, true, legalHeads(readiness)),
		Entry("heads of legal size, of short fields, most clients", crowdAddress(callersOf), crowdMost, true, legalHeads(routed)),
		Entry("heads of legal size, of short fields, readiness address", crowdAddress(readyOf), crowdMost, true, legalHeads(readiness)),
		Entry("heads of legal size, of short fields, peers' address", crowdAddress(peersOf), crowdMost, true, legalHeads("/peer")),
		Entry("heads of legal size behind a whole request, most clients", crowdAddress(callersOf), crowdMost, true, headsBehind(unrouted)),

		Entry("heads of legal size, of many parts of a prompt, most clients", crowdAddress(callersOf), crowdMost, true, manyParts),

		Entry("long identifiers, no route", crowdAddress(callersOf), crowdMost, true, longIdentifiers(unrouted)),
		Entry("long identifiers, routed", crowdAddress(callersOf), crowdMost, true, longIdentifiers(routed)),

		Entry("requests sent ahead, routed", crowdAddress(callersOf), crowdSize, false, ahead(routed)),
		Entry("requests sent ahead, no route", crowdAddress(callersOf), crowdSize, false, ahead(unrouted)),
		Entry("requests sent ahead, readiness path", crowdAddress(callersOf), crowdSize, false, ahead(readiness)),
		Entry("requests sent ahead, most clients", crowdAddress(callersOf), crowdMost, false, ahead(routed)),
		Entry("requests sent ahead, readiness address", crowdAddress(readyOf), crowdSize, false, ahead(readiness)),

		Entry("chunks of one byte, routed", crowdAddress(callersOf), crowdSize, true, smallChunks(routed)),
		Entry("chunks of one byte, no route", crowdAddress(callersOf), crowdSize, true, smallChunks(unrouted)),
		Entry("chunks of one byte, readiness path", crowdAddress(callersOf), crowdSize, true, smallChunks(readiness)),
		Entry("bodies but for one byte, routed", crowdAddress(callersOf), crowdSize, true, bodies(routed, crowdBodyBytes)),
		Entry("bodies but for one byte, no route", crowdAddress(callersOf), crowdSize, true, bodies(unrouted, crowdBodyBytes)),
		Entry("bodies but for one byte, readiness path", crowdAddress(callersOf), crowdSize, true, bodies(readiness, crowdBodyBytes)),
		Entry("bodies but for one byte, in pieces", crowdAddress(callersOf), crowdSize, true, bodies(routed, 500)),
		Entry("bodies but for one byte, most clients", crowdAddress(callersOf), crowdMost, true, bodies(routed, crowdBodyBytes)),
		Entry("bodies far beyond the limit, announced", crowdAddress(callersOf), crowdSize, true, announced(routed)),
		Entry("bodies far beyond the limit, announced, no route", crowdAddress(callersOf), crowdSize, true, announced(unrouted)),
		Entry("bodies far beyond the limit, in one chunk", crowdAddress(callersOf), crowdSize, true, largeChunk(routed)),
		Entry("bodies far beyond the limit, in one chunk, readiness address", crowdAddress(readyOf), crowdSize, true, largeChunk(readiness)),

		Entry("heads sent slowly, routed", crowdAddress(callersOf), crowdSize, true, slowly(headOf(routed)+shortFields(legalBytes))),
		Entry("bodies sent slowly, routed", crowdAddress(callersOf), crowdSize, true, slowly(headOf(routed)+"Content-Length: 100000\r\n\r\n"+strings.Repeat("x", crowdBodyBytes))),
		Entry("chunks of one byte, readiness address", crowdAddress(readyOf), crowdSize, true, smallChunks(readiness)),
		Entry("bodies but for one byte, readiness address", crowdAddress(readyOf), crowdSize, true, bodies(readiness, crowdBodyBytes)),

		Entry("one byte, callers", crowdAddress(callersOf), crowdMost, true, oneByte),
		Entry("one byte, readiness address", crowdAddress(readyOf), 1500, true, oneByte),
		Entry("one byte, peers' address", crowdAddress(peersOf), 1500, true, oneByte),

		Entry("large answers that are not read, sent ahead", crowdAddress(callersOf), crowdMost, false, largeAhead),
	)

	// Guards against limits that a client inside those of the configuration meets.
	DescribeTable("are not taken for a single client at the limits, which is served", func(framing, body string) {
		d := startCrowded()
		conn := d.dial()
		end := framing + "\r\n\r\n"
		head := headOf("/order/single")
		head += shortFields(crowdHeadBytes - len(head) - len(end) - len("zzz:1\r\n"))
		_, err := io.WriteString(conn, head+end+body)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		line := make([]byte, len("HTTP/1.1 200"))
		_, err = io.ReadFull(conn, line)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(line)).To(Equal("HTTP/1.1 200"))
	},
		Entry("in one piece", fmt.Sprintf("Content-Length: %d", crowdBodyBytes), strings.Repeat("x", crowdBodyBytes)),
		Entry("in chunks of one byte", "Transfer-Encoding: chunked", strings.Repeat("1\r\nx\r\n", crowdBodyBytes)+"0\r\n\r\n"),
	)

	// Guards against streams of slow readers that add up beyond the memory.
	It("leave a daemon within its memory when they read nothing of long streams", func() {
		d := startCrowded()
		d.wire.SetLastEvent(1000)
		for _, engine := range d.wire.Engines() {
			engine.PadEvents(16 << 10)
		}
		d.endure(d.callers, crowdSize, false, func(w io.Writer) error {
			_, err := io.WriteString(w, headOf("/talk/crowd")+"Model: big\r\nContent-Length: 0\r\n\r\n")
			return err
		})
	})
})
