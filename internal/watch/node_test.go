package watch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/peer"
)

const (
	testPeriod      = 100 * time.Millisecond
	testBound       = 800 * time.Millisecond
	eventualTimeout = 10 * time.Second
	checkInterval   = 5 * time.Millisecond
)

// node is one daemon, reduced to polling and sharing.
type node struct {
	id           fleet.DaemonID
	mesh         *peer.Network
	metrics      *metric.Set
	table        *Table
	duty         *Duty
	poller       *Poller
	sharer       *Sharer
	changes      atomic.Int64
	dropChanges  atomic.Bool  // drops the change messages of peers
	messageDelay atomic.Int64 // delay of messages from peers, nanoseconds
	stop         context.CancelFunc
	server       *http.Server
}

// startNodes starts count daemons that watch the same engines.
func startNodes(t testing.TB, engines *engines, count int, period, bound time.Duration) []*node {
	var listeners []net.Listener
	var addresses []peer.Address
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, peer.Address{HostPort: listener.Addr().String(), DataCentre: "north"})
	}
	var nodes []*node
	for i, listener := range listeners {
		n := newNode(t, engines, fmt.Sprintf("daemon-%02d-with-a-name-as-long-as-a-uuid", i), addresses, period, bound)
		n.start(listener)
		t.Cleanup(n.kill)
		nodes = append(nodes, n)
	}
	return nodes
}

func newNode(t testing.TB, engines *engines, id string, addresses []peer.Address, period, bound time.Duration) *node {
	n := &node{id: fleet.DaemonID(id), metrics: metric.NewSet()}
	var err error
	n.mesh, err = peer.NewNetwork(peer.Options{
		Self: n.id, DataCentre: "north", Secret: "secret-of-the-tests", Addresses: addresses,
		Heartbeat: 3 * period, Metrics: n.metrics,
	})
	if err != nil {
		t.Fatal(err)
	}
	vms := engines.vms()
	known := func() map[fleet.VMID]fleet.VM { return vms }
	changed := func(fleet.VMID, group.Observation) { n.changes.Add(1) }
	n.table = NewTable(n.id, bound, changed, func(vm fleet.VMID) { n.sharer.RequestFailed(vm) })
	n.duty = NewDuty(n.id, n.mesh.Live, known, n.table, bound)
	n.poller = NewPoller(n.id, &daemonEngine{engines: engines, daemon: n.id}, n.table, n.duty, period)
	n.sharer = NewSharer(n.mesh, n.table, n.duty, n.poller)
	n.mesh.Subscribe(peer.TopicReports, func(from fleet.DaemonID, body cbor.RawMessage) {
		if !n.dropChanges.Load() {
			n.delayed(func() { n.sharer.receiveReports(from, body) })
		}
	})
	n.mesh.Subscribe(peer.TopicAlive, func(from fleet.DaemonID, body cbor.RawMessage) {
		n.delayed(func() { n.sharer.receiveAlive(from, body) })
	})
	return n
}

func (n *node) start(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.server = &http.Server{Handler: n.mesh.Handler()}
	go func() { _ = n.server.Serve(listener) }()
	go n.mesh.Run()
	go n.poller.Run(ctx)
}

func (n *node) kill() {
	n.stop()
	_ = n.server.Close()
	n.mesh.Close()
}

func (n *node) delayed(receive func()) {
	if delay := time.Duration(n.messageDelay.Load()); delay > 0 {
		time.AfterFunc(delay, receive)
		return
	}
	receive()
}

func (n *node) observation(vm fleet.VMID) group.Observation { return n.table.All()[vm] }

// stale returns the number of VMs whose observation has expired at the daemon.
func (n *node) stale(bound time.Duration) int {
	observations := n.table.All()
	now := time.Now()
	count := 0
	for vm := range n.duty.listed() {
		if !observations[vm].Fresh(now, bound) {
			count++
		}
	}
	return count
}

// watchersOf splits the daemons into the watchers of a VM and the others.
func watchersOf(nodes []*node, vm fleet.VMID) (watchers, others []*node) {
	for _, n := range nodes {
		if _, ok := n.duty.Watches(vm); ok {
			watchers = append(watchers, n)
		} else {
			others = append(others, n)
		}
	}
	return watchers, others
}

// awaitFresh waits until every daemon reaches all others and has a fresh
// observation of every VM.
func awaitFresh(nodes []*node, bound time.Duration) {
	GinkgoHelper()
	for _, n := range nodes {
		Eventually(n.mesh.Live, eventualTimeout, checkInterval).Should(HaveLen(len(nodes)))
		Eventually(func() int { return n.stale(bound) }, eventualTimeout, checkInterval).Should(BeZero())
	}
	time.Sleep(2 * bound) // until the initial polls by all daemons have ended
}
