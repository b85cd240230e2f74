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
	testClaimTimeout  = 400 * time.Millisecond
	testLogRate       = 2000 // appends per second
	placeTimeout      = 6 * time.Second
	eventuallyTimeout = 20 * time.Second
	pollInterval      = 20 * time.Millisecond
)

// fixture is a fake log, a fake service and the daemons that use them.
type fixture struct {
	network       *network
	log           *fakes.Log
	logServer     *fakes.Server
	service       *fakes.Service
	serviceServer *fakes.Server
	snapshotEvery int
	claimTimeout  time.Duration
	inProgress    int // limit of each daemon; 0 is the default
}

func newFixture() *fixture {
	return buildFixture(testLogRate, func(cleanup func()) { DeferCleanup(cleanup) })
}

func buildFixture(logRate int, onCleanup func(func())) *fixture {
	f := &fixture{
		network:       &network{daemons: map[fleet.DaemonID]*daemon{}},
		log:           fakes.NewLog(logRate),
		service:       fakes.NewService(false),
		snapshotEvery: 256,
		claimTimeout:  testClaimTimeout,
	}
	f.logServer = mustServe(f.log)
	f.serviceServer = mustServe(f.service)
	onCleanup(func() {
		for _, d := range f.network.daemons {
			d.kill()
		}
		f.logServer.Kill()
		f.serviceServer.Kill()
	})
	return f
}

func (f *fixture) startDaemons(count int) []*daemon {
	var daemons []*daemon
	for i := range count {
		daemons = append(daemons, f.startDaemon(fleet.DaemonID(fmt.Sprintf("node-%d", i))))
	}
	return daemons
}

func (f *fixture) order(key string) order.Order {
	return order.Order{
		Key:            order.NewKey("merchants", "orders", key),
		Addresses:      []string{f.serviceServer.Address()},
		Call:           endpoint.ServiceCall{Method: "POST", Path: "/orders", Key: key, Body: []byte("swatch " + key)},
		Lifetime:       time.Hour,
		Timeout:        placeTimeout,
		DeadlineMillis: time.Now().Add(placeTimeout).UnixMilli(),
	}
}

// ownerOf returns the daemon that owns a key's slot, and the other daemons.
func (f *fixture) ownerOf(key string, daemons []*daemon) (owner *daemon, others []*daemon) {
	id := daemons[0].slots.Owners(order.SlotOf(f.order(key).Key))[0]
	for _, d := range daemons {
		if d.id == id {
			owner = d
			continue
		}
		others = append(others, d)
	}
	return owner, others
}

// keyOwnedBy returns a key whose slot is owned by the given daemon.
func (f *fixture) keyOwnedBy(d *daemon, daemons []*daemon) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("of-%s-%d", d.id, i)
		if owner, _ := f.ownerOf(key, daemons); owner == d {
			return key
		}
	}
}

// placeUntilFinal sends an order to a daemon until it gets an answer or a refusal
// that must not be retried.
func (f *fixture) placeUntilFinal(d *daemon, key string) order.Result {
	GinkgoHelper()
	var result order.Result
	Eventually(func() bool {
		result = d.place(f.order(key))
		return result.Refusal == nil || result.Refusal.RetryAfter == 0
	}, eventuallyTimeout, pollInterval).Should(BeTrue())
	return result
}

func (f *fixture) stateOf(d *daemon, key string) func() order.State {
	return func() order.State {
		ctx, cancel := contextWithTimeout()
		defer cancel()
		record, err := d.book.Show(ctx, f.order(key).Key)
		if err != nil {
			return ""
		}
		return record.State
	}
}

// fill appends records that have no effect to a slot's stream.
func (f *fixture) fill(slot order.Slot, count int) {
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
		f.log.Append(order.StreamName(slot), records)
	}
}

func isNotRun(result order.Result) bool {
	return result.Refusal != nil && result.Refusal.Outcome == refusal.NotRun
}

func isUnknown(result order.Result) bool {
	return result.Refusal != nil && result.Refusal.Outcome == refusal.Unknown
}
