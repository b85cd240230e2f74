package order_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/order"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

const (
	testClaimTimeout = 400 * time.Millisecond
	testLogRate      = 2000 // appends a second
	placeTimeout     = 6 * time.Second
	waitLong         = 20 * time.Second
	pollOften        = 20 * time.Millisecond
)

// bed is a log, a service and the nodes before them.
type bed struct {
	hub           *hub
	log           *fakes.Log
	logServer     *fakes.Server
	service       *fakes.Service
	serviceServer *fakes.Server
	snapshotEvery int
	claimTimeout  time.Duration
	inProgress    int // of each node; zero is the default
}

func newBed() *bed {
	return buildBed(testLogRate, func(cleanup func()) { DeferCleanup(cleanup) })
}

func buildBed(logRate int, onEnd func(func())) *bed {
	b := &bed{
		hub:           &hub{nodes: map[fleet.DaemonID]*node{}},
		log:           fakes.NewLog(logRate),
		service:       fakes.NewService(false),
		snapshotEvery: 256,
		claimTimeout:  testClaimTimeout,
	}
	b.logServer = mustServe(b.log)
	b.serviceServer = mustServe(b.service)
	onEnd(func() {
		for _, n := range b.hub.nodes {
			n.kill()
		}
		b.logServer.Kill()
		b.serviceServer.Kill()
	})
	return b
}

func (b *bed) startNodes(count int) []*node {
	var nodes []*node
	for i := range count {
		nodes = append(nodes, b.startNode(fleet.DaemonID(fmt.Sprintf("node-%d", i))))
	}
	return nodes
}

func (b *bed) order(key string) order.Order {
	return order.Order{
		Key:            order.NewKey("merchants", "orders", key),
		Addresses:      []string{b.serviceServer.Address()},
		Call:           endpoint.ServiceCall{Method: "POST", Path: "/orders", Key: key, Body: []byte("swatch " + key)},
		Lifetime:       time.Hour,
		Timeout:        placeTimeout,
		DeadlineMillis: time.Now().Add(placeTimeout).UnixMilli(),
	}
}

// ownerOf returns the node that owns a key's slot, and the others.
func (b *bed) ownerOf(key string, nodes []*node) (owner *node, others []*node) {
	id := nodes[0].slots.Owners(order.SlotOf(b.order(key).Key))[0]
	for _, n := range nodes {
		if n.id == id {
			owner = n
			continue
		}
		others = append(others, n)
	}
	return owner, others
}

// keyOwnedBy returns a key of a slot that a node owns.
func (b *bed) keyOwnedBy(n *node, nodes []*node) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("of-%s-%d", n.id, i)
		if owner, _ := b.ownerOf(key, nodes); owner == n {
			return key
		}
	}
}

// settled repeats an order on a node until its answer is final.
func (b *bed) settled(n *node, key string) order.Result {
	GinkgoHelper()
	var result order.Result
	Eventually(func() bool {
		result = n.place(b.order(key))
		return result.Refusal == nil || result.Refusal.RetryAfter == 0
	}, waitLong, pollOften).Should(BeTrue())
	return result
}

func (b *bed) stateOf(n *node, key string) func() order.State {
	return func() order.State {
		ctx, cancel := contextWithTimeout()
		defer cancel()
		record, err := n.book.Show(ctx, b.order(key).Key)
		if err != nil {
			return ""
		}
		return record.State
	}
}

// fill appends records without effect to a slot's stream.
func (b *bed) fill(slot order.Slot, count int) {
	GinkgoHelper()
	const page = 1000
	for seq := 0; seq < count; seq += page {
		records := make([][]byte, page)
		for i := range records {
			entry := logstream.Entry{Writer: "filler/1", Seq: uint64(seq + i + 1), Kind: logstream.KindFence, Since: infra.Offset(seq)}
			data, err := logstream.Marshal(entry)
			Expect(err).NotTo(HaveOccurred())
			records[i] = data
		}
		b.log.Append(order.StreamName(slot), records)
	}
}

func isNotRun(result order.Result) bool {
	return result.Refusal != nil && result.Refusal.Outcome == refusal.NotRun
}

func isUnknown(result order.Result) bool {
	return result.Refusal != nil && result.Refusal.Outcome == refusal.Unknown
}
