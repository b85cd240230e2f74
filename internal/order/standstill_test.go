package order_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/order"
)

var _ = Describe("An order whose daemon stands still", func() {
	const (
		timeout = time.Second
		readAt  = 15 * time.Millisecond // from waking, at the limit, until what has arrived is read
	)
	var f *fixture
	var owner *daemon
	var others []*daemon
	var ctx context.Context
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), placeTimeout)
		DeferCleanup(cancel)
		f = newFixture()
		owner, others = f.ownerOf("still", f.startDaemons(3))
		followed := ""
		for i := 0; followed == "" || order.SlotOf(f.order(followed).Key) != order.SlotOf(f.order("still").Key); i++ {
			followed = fmt.Sprint("followed-", i)
		}
		Expect(f.placeUntilFinal(owner, followed).Refusal).To(BeNil())
	})
	late := func() order.Order {
		o := f.order("still")
		o.Timeout = timeout
		o.DeadlineMillis = time.Now().Add(timeout).UnixMilli()
		return o
	}

	// Guards against answers that are thrown away on waking, and orders of which nobody knows whether they ran.
	It("gets the answer that waits at its deadline, and its outcome is recorded", func() {
		owner.runner.Service = &lateService{at: time.Now().Add(timeout + readAt)}
		Expect(owner.runner.Run(ctx, late()).Refusal).To(BeNil())
		Eventually(f.stateOf(owner, "still"), eventuallyTimeout, pollInterval).Should(Equal(order.Ran))
	})

	// Guards against a second owner that is asked on waking, while the answer of the first one waits.
	It("gets the answer of its owner that waits at the end of the time to forward", func() {
		second := f.network.daemons[owner.slots.Owners(order.SlotOf(f.order("still").Key))[1]]
		sender := others[0]
		if sender == second {
			sender = others[1]
		}
		var asked atomic.Int32
		answer := second.mesh.handler
		second.mesh.handler = func(ctx context.Context, from fleet.DaemonID, body cbor.RawMessage) (any, error) {
			asked.Add(1)
			return answer(ctx, from, body)
		}
		o := late()
		woken := time.Now().Add(timeout*3/4 + readAt)
		run := owner.mesh.handler
		owner.mesh.handler = func(ctx context.Context, from fleet.DaemonID, body cbor.RawMessage) (any, error) {
			result, err := run(ctx, from, body)
			time.Sleep(time.Until(woken))
			return result, err
		}
		Expect(sender.router.Run(ctx, o).Refusal).To(BeNil())
		Expect(asked.Load()).To(BeZero())
	})
})
