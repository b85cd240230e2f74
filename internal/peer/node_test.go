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
	testSecret    = "secret-of-the-tests"
	testTopic     = Topic("test")
	testHeartbeat = 100 * time.Millisecond
	waitLong      = 10 * time.Second
	pollOften     = 5 * time.Millisecond
)

// node is one mesh with its listener.
type node struct {
	*Network
	server *http.Server
	mu     sync.Mutex
	got    []string // soft state, as "publisher body"
	cut    atomic.Bool
}

// startNodes starts one mesh for each data centre named, all of which know
// each other. adjust may be nil.
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
	n.Subscribe(testTopic, n.note)
	n.HandleCall("echo", func(_ context.Context, _ fleet.DaemonID, body cbor.RawMessage) (any, error) { return body, nil })
	n.server = &http.Server{Handler: n.Handler()}
	go func() { _ = n.server.Serve(listener) }()
	go n.Run()
	DeferCleanup(n.kill)
}

func (n *node) kill() {
	_ = n.server.Close()
	n.Close()
}

// dialUnlessCut refuses to dial a cut node's peers.
func (n *node) dialUnlessCut(ctx context.Context, network, address string) (net.Conn, error) {
	if n.cut.Load() {
		return nil, &ClosedError{Reason: "cut"}
	}
	dialer := &net.Dialer{}
	return dialer.DialContext(ctx, network, address)
}

func (n *node) note(from fleet.DaemonID, body cbor.RawMessage) {
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

// openLinks returns how many links are open, in use or not.
func (n *node) openLinks() int {
	n.Network.mu.Lock()
	defer n.Network.mu.Unlock()
	return len(n.running)
}

// regionalLinks returns how many links the nodes have to other data centres.
// linksAsRelay reports whether a node holds links to the data centres that it
// dials exactly if it is a relay to them. Once all nodes of its data centre are
// live that does not change again.
func (n *node) linksAsRelay() bool {
	for _, to := range n.DataCentres() {
		rank, _ := n.relayRank(to)
		dials := n.options.DataCentre < to
		if dials && (rank >= 0) != (len(n.routing.Load().direct(to)) > 0) {
			return false
		}
	}
	return true
}

func regionalLinks(nodes []*node) int {
	count := 0
	for _, n := range nodes {
		for _, links := range n.routing.Load().regional {
			count += len(links)
		}
	}
	return count
}

// awaitMesh waits until each node sees its whole data centre and each pair of
// data centres has its two links.
func awaitMesh(nodes []*node) {
	GinkgoHelper()
	sizes := map[fleet.DataCentre]int{}
	for _, n := range nodes {
		sizes[n.options.DataCentre]++
	}
	for _, n := range nodes {
		Eventually(n.Live, waitLong, pollOften).Should(HaveLen(sizes[n.options.DataCentre]))
		Eventually(n.DataCentres, waitLong, pollOften).Should(HaveLen(len(sizes) - 1))
	}
	for _, n := range nodes {
		Eventually(n.linksAsRelay, waitLong, pollOften).Should(BeTrue())
	}
	pairs := len(sizes) * (len(sizes) - 1) / 2
	Eventually(func() int { return regionalLinks(nodes) }, waitLong, pollOften).Should(Equal(2 * relaysPerPair * pairs))
	Eventually(func() bool { return linksRest(nodes) }, waitLong).Should(BeTrue())
}

// linksRest reports whether no link opened, closed or was replaced for some
// heartbeats. While both sides still dial, a link may break under a call.
func linksRest(nodes []*node) bool {
	before := linksOf(nodes)
	time.Sleep(3 * testHeartbeat)
	return maps.Equal(before, linksOf(nodes))
}

func linksOf(nodes []*node) map[*link]bool {
	links := map[*link]bool{}
	for _, n := range nodes {
		n.Network.mu.Lock()
		maps.Copy(links, n.running)
		n.Network.mu.Unlock()
	}
	return links
}
