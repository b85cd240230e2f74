package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Guards against requests that are answered or sent again as not run, and run later.
var _ = Describe("A call that counts as not run does not run later", func() {
	var p *stallingPair
	var began sync.Map // numbers of calls whose handlers began
	var release chan struct{}
	BeforeEach(func() {
		p = newStallingPair()
		began.Clear()
		release = make(chan struct{})
		p.other.callHandlers["number"] = func(_ context.Context, _ fleet.DaemonID, body cbor.RawMessage) (any, error) {
			var number int
			if err := cbor.Unmarshal(body, &number); err != nil {
				return nil, err
			}
			began.Store(number, true)
			<-release
			return number, nil
		}
	})
	// callAll makes many calls at once, and returns which of them count as not run once do has been called and all have ended.
	callAll := func(count int, do func(ended *atomic.Int32)) (notRun []int) {
		var mu sync.Mutex
		var ended atomic.Int32
		var calls sync.WaitGroup
		for number := range count {
			calls.Go(func() {
				err := p.caller.Call(context.Background(), "north-1", "number", number, nil)
				ended.Add(1)
				mu.Lock()
				defer mu.Unlock()
				if err != nil && NotRun(err) {
					notRun = append(notRun, number)
				}
			})
		}
		do(&ended)
		calls.Wait()
		return notRun
	}
	checkNone := func(notRun []int) {
		GinkgoHelper()
		time.Sleep(testHeartbeat)
		for _, number := range notRun {
			_, ran := began.Load(number)
			Expect(ran).To(BeFalse(), "call %d", number)
		}
	}

	check := func(notRun []int) {
		GinkgoHelper()
		Expect(notRun).NotTo(BeEmpty())
		checkNone(notRun)
	}

	It("when the queue of its link is full", func() {
		p.link.Set(fakes.LinkSilent)
		close(release)
		check(callAll(2*callQueueFrames, func(ended *atomic.Int32) {
			Eventually(ended.Load, eventuallyTimeout, pollInterval).Should(BeNumerically(">=", callQueueFrames/2))
			p.link.Set(fakes.LinkSound)
		}))
	})

	It("when the other daemon has as many calls as it may", func() {
		const beyond = 100
		check(callAll(maxIncomingCalls+incomingQueueLength+beyond, func(ended *atomic.Int32) {
			Eventually(ended.Load, eventuallyTimeout, pollInterval).Should(BeNumerically(">=", beyond))
			close(release)
		}))
	})

	It("when its link is closed over calls that have begun and calls that wait", func() {
		const some = 100
		checkNone(callAll(2*callQueueFrames, func(*atomic.Int32) {
			Eventually(func() int { return p.other.runningCalls() }, eventuallyTimeout, pollInterval).Should(BeNumerically(">=", some))
			for _, l := range p.caller.runningLinks() {
				l.close(&ClosedError{Reason: "test"})
			}
			close(release)
		}))
	})
})

// runningCalls returns the calls of other daemons in progress.
func (n *node) runningCalls() int {
	count := 0
	for _, l := range n.runningLinks() {
		count += l.incoming.size()
	}
	return count
}
