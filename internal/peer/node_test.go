package peer

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	testSecret        = "secret-of-the-tests"
	testTopic         = Topic("test")
	testHeartbeat     = 100 * time.Millisecond
	eventuallyTimeout = 10 * time.Second
	pollInterval      = 5 * time.Millisecond
)

// node is one daemon of a test mesh, with its HTTP server.
type node struct {
	*Network
	server *http.Server
	mu     sync.Mutex
	got    []string // soft state, as "publisher body"
	cut    atomic.Bool
}

// startNodes starts one node for each given data centre; all of them know the
// addresses of all. adjust may be nil.
func startNodes(adjust func(int, *Options), dataCentres ...fleet.DataCentre) []*node {
	GinkgoHelper()
	var listeners []net.Listener
	var addresses []Address
	for _, dataCentre := range dataCentres {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, listener)
		addresses = append(addresses, Address{HostPort: listener.Addr().String(), DataCentre: dataCentre})
	}
	var nodes []*node
	for i, dataCentre := range dataCentres {
		n := &node{}
		options := Options{
			Self:       fleet.DaemonID(fmt.Sprintf("%s-%d", dataCentre, i)),
			DataCentre: dataCentre,
			Secret:     testSecret,
			Addresses:  addresses,
			Heartbeat:  testHeartbeat,
			Dial:       n.dialUnlessCut,
		}
		if adjust != nil {
			adjust(i, &options)
		}
		n.start(options, listeners[i])
		nodes = append(nodes, n)
	}
	return nodes
}

func (n *node) start(options Options, listener net.Listener) {
	GinkgoHelper()
	var err error
	n.Network, err = NewNetwork(options)
	Expect(err).NotTo(HaveOccurred())
	n.Subscribe(testTopic, n.record)
	n.HandleCall("echo", func(_ context.Context, _ fleet.DaemonID, body cbor.RawMessage) (any, error) { return body, nil })
	n.server = &http.Server{Addr: listener.Addr().String(), Handler: n.Handler()}
	go func() { _ = n.server.Serve(listener) }()
	go n.Run()
	DeferCleanup(n.kill)
}

func (n *node) kill() {
	_ = n.server.Close()
	n.Close()
}

// dialUnlessCut fails every dial while the node is cut off.
func (n *node) dialUnlessCut(ctx context.Context, network, address string) (net.Conn, error) {
	if n.cut.Load() {
		return nil, &ClosedError{Reason: "cut"}
	}
	dialer := &net.Dialer{}
	return dialer.DialContext(ctx, network, address)
}

func (n *node) record(from fleet.DaemonID, body cbor.RawMessage) {
	var text string
	if cbor.Unmarshal(body, &text) != nil {
		text = "malformed"
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.got = append(n.got, string(from)+" "+text)
}

func (n *node) received() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string{}, n.got...)
}

// openLinks returns the number of open links, in use or retiring.
func (n *node) openLinks() int {
	n.Network.mu.Lock()
	defer n.Network.mu.Unlock()
	return len(n.running)
}

// hasRelayLinks reports whether the node has direct links to exactly those data
// centres that it dials as a relay. Once all nodes of its data centre are live,
// this no longer changes.
func (n *node) hasRelayLinks() bool {
	for _, to := range n.DataCentres() {
		rank, _ := n.relayRank(to)
		dials := n.options.DataCentre < to
		if dials && (rank >= 0) != (len(n.routing.Load().directLinks(to)) > 0) {
			return false
		}
	}
	return true
}

// countInterDataCentreLinks returns how many links the nodes have to other data
// centres.
func countInterDataCentreLinks(nodes []*node) int {
	count := 0
	for _, n := range nodes {
		for _, links := range n.routing.Load().byDataCentre {
			count += len(links)
		}
	}
	return count
}

// awaitMesh waits until each node sees its complete data centre, each pair of
// data centres has its relay links, and no link changes any more.
func awaitMesh(nodes []*node) {
	GinkgoHelper()
	sizes := map[fleet.DataCentre]int{}
	for _, n := range nodes {
		sizes[n.options.DataCentre]++
	}
	for _, n := range nodes {
		Eventually(n.Live, eventuallyTimeout, pollInterval).Should(HaveLen(sizes[n.options.DataCentre]))
		Eventually(n.DataCentres, eventuallyTimeout, pollInterval).Should(HaveLen(len(sizes) - 1))
	}
	for _, n := range nodes {
		Eventually(n.hasRelayLinks, eventuallyTimeout, pollInterval).Should(BeTrue())
	}
	pairs := len(sizes) * (len(sizes) - 1) / 2
	Eventually(func() int { return countInterDataCentreLinks(nodes) }, eventuallyTimeout, pollInterval).Should(Equal(2 * relaysPerPair * pairs))
	Eventually(func() bool { return linksStable(nodes) }, eventuallyTimeout).Should(BeTrue())
}

// linksStable reports whether no link was opened, closed or replaced for three
// heartbeats. While both sides still dial, a link may be replaced during a
// call.
func linksStable(nodes []*node) bool {
	before := runningLinksOf(nodes)
	time.Sleep(3 * testHeartbeat)
	return maps.Equal(before, runningLinksOf(nodes))
}

func runningLinksOf(nodes []*node) map[*link]bool {
	links := map[*link]bool{}
	for _, n := range nodes {
		n.Network.mu.Lock()
		maps.Copy(links, n.running)
		n.Network.mu.Unlock()
	}
	return links
}
