package test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// crashed returns the engines that crashed.
func (b *requestBed) crashed() []fleet.VMID {
	var all []fleet.VMID
	b.eachEngine(func(engine *testbed.Engine) {
		for _, event := range engine.Events() {
			if event.Kind == fakes.EventCrash {
				all = append(all, engine.ID)
				return
			}
		}
	})
	return all
}

var _ = Describe("Copies of a crashing request sent before its first crash", func() {
	guilty := completionBody(crashText, 5, false)
	sendCopies := func(daemons []*testbed.Daemon, apart time.Duration) {
		var all sync.WaitGroup
		for i := range 6 {
			all.Go(func() {
				defer GinkgoRecover()
				Expect(ask(daemons[i%len(daemons)], guilty).outcome).NotTo(Equal(string(refusal.Done)))
			})
			time.Sleep(apart)
		}
		all.Wait()
	}

	It("cost at most two groups on one daemon", func() {
		bed := newRequestBed(6, fakes.EngineOptions{TokenDelay: 5 * time.Millisecond, CrashOn: crashText, CrashAfter: 300 * time.Millisecond}, nil)
		sendCopies([]*testbed.Daemon{bed.daemon}, 0)
		Expect(ask(bed.daemon, guilty).outcome).To(Equal(string(refusal.NotRun)))
		Expect(len(bed.crashed())).To(BeNumerically("<=", 2))
		innocent := completionBody("after", 5, true)
		expectWhole(ask(bed.daemon, innocent), innocent, 5)
	})})
