package main

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/testbed"
)

// Of the daemon with the project's own interfaces that a crowd meets.
const (
	ownMemoryMB    = 128
	ownDescriptors = 2000
	ownLimits      = "limits: {memory_mb: 128}"
	ownBodyBytes   = 1 << 20 // the default
	chats          = "/v1/chat/completions"
)

// ownHead returns the head of a request to the project's own interface without its end.
func ownHead(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testbed.TeamKey + "\r\n"
}

func ownHeads(path string) func(io.Writer) error {
	return writes(ownHead(path) + shortFields(beyondBytes) + "Content-Length: 10\r\n\r\nninebytes")
}

// manyMessages returns a client whose body has as many messages as fit.
func manyMessages(model string) func(io.Writer) error {
	body := fmt.Sprintf(`{"model":%q,"messages":[{}%s]}`, model, strings.Repeat(",{}", 330000))
	return writes(ownHead(chats) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body)
}

func ownBodies(path string) func(io.Writer) error {
	return writes(ownHead(path)+fmt.Sprintf("Content-Length: %d\r\n\r\n", ownBodyBytes), strings.Repeat("x", ownBodyBytes-1))
}

// secured returns a client that sends what send does over TLS.
func secured(send func(io.Writer) error) func(io.Writer) error {
	return func(w io.Writer) error {
		return send(tls.Client(w.(net.Conn), &tls.Config{InsecureSkipVerify: true}))
	}
}

func (d *standaloneProcess) ordinary(number int) any {
	conn, err := net.DialTimeout("tcp", d.callers, 2*time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	if d.tls.Certificate != "" {
		conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
	}
	return place([]net.Conn{conn}, standaloneOrder, fmt.Sprintf("after%d-", number))()[0]
}

// endure does for the project's own interfaces what it does for those of a platform.
func (d *standaloneProcess) endure(address string, send func(io.Writer) error) {
	meter := startMeter(d.session.Command.Process.Pid, d.callers, d.admin, d.peer)
	c := gather(address, crowdSize, true, send)
	time.Sleep(crowdPeriod)
	c.leave()
	use := meter.stop()
	AddReportEntry("use", use.String())
	Expect(d.session.ExitCode()).To(Equal(-1), "the daemon has ended")
	number := 0
	Eventually(func() any { number++; return d.ordinary(number) }, "15s", "100ms").Should(Equal(http.StatusOK))
	use.expectWithin(ownMemoryMB, ownDescriptors)
}

func ownCallers(d *standaloneProcess) string { return d.callers }
func ownAdmin(d *standaloneProcess) string   { return d.admin }
func ownPeer(d *standaloneProcess) string    { return d.peer }

// Guards against clients of the project's own interface that end a daemon, or keep it from serving others.
var _ = Describe("Crowds of clients of the own interface", Label("crowd"), func() {
	DescribeTable("leave a daemon within its memory", func(at func(*standaloneProcess) string, tls bool, send func(io.Writer) error) {
		d := startLimitedStandalone(ownLimits, tls)
		d.endure(at(d), send)
	},
		Entry("bodies of many messages", ownCallers, false, manyMessages("swatch-draft")),
		Entry("bodies of many messages for an unknown model", ownCallers, false, manyMessages("none")),
		Entry("bodies but for one byte", ownCallers, false, ownBodies(chats)),
		Entry("bodies but for one byte, of a service", ownCallers, false, ownBodies("/v1/services/orders/orders")),
		Entry("bodies but for one byte, unknown path", ownCallers, false, ownBodies("/none")),
		Entry("chunks of one byte", ownCallers, false, writes(ownHead(chats)+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nx\r\n", ownBodyBytes-1))),
		Entry("bodies sent slowly", ownCallers, false, slowly(ownHead(chats)+"Content-Length: 100000\r\n\r\n"+strings.Repeat("x", ownBodyBytes))),
		Entry("heads beyond the limit, of short fields", ownCallers, false, ownHeads(chats)),
		Entry("heads beyond the limit, of short fields, unknown path", ownCallers, false, ownHeads("/none")),
		Entry("heads beyond the limit, of short fields, operators' address", ownAdmin, false, ownHeads("/readyz")),
		Entry("heads beyond the limit, of short fields, peers' address", ownPeer, false, ownHeads("/peer")),
		Entry("requests sent ahead", ownCallers, false, writes(strings.Repeat(ownHead("/none")+"Content-Length: 0\r\n\r\n", aheadCount))),
		Entry("heads beyond the limit, of short fields, TLS", ownCallers, true, secured(ownHeads(chats))),
		Entry("bodies of many messages, TLS", ownCallers, true, secured(manyMessages("swatch-draft"))),
		Entry("one byte before a handshake", ownCallers, true, oneByte),
	)
})
