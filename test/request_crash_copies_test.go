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

// crashed returns the VMs whose engines crashed.
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

var _ = Describe("Copies of a crashing request that are sent before its first crash", func() {
	crashing := completionBody(crashText, 5, false)
	sendCopies := func(daemons []*testbed.Daemon, apart time.Duration) {
		var all sync.WaitGroup
		for i := range 6 {
			all.Go(func() {
				defer GinkgoRecover()
				Expect(sendCompletion(daemons[i%len(daemons)], crashing).outcome).NotTo(Equal(string(refusal.Done)))
			})
			time.Sleep(apart)
		}
		all.Wait()
	}

	It("crash at most two groups when one daemon gets them", func() {
		bed := newRequestBed(6, fakes.EngineOptions{TokenDelay: 5 * time.Millisecond, CrashOn: crashText, CrashAfter: 300 * time.Millisecond}, nil)
		sendCopies([]*testbed.Daemon{bed.daemon}, 0)
		Expect(sendCompletion(bed.daemon, crashing).outcome).To(Equal(string(refusal.NotRun)))
		Expect(len(bed.crashed())).To(BeNumerically("<=", 2))
		harmless := completionBody("after", 5, true)
		expectCompleteAnswer(sendCompletion(bed.daemon, harmless), harmless, 5)
	})
	It("are recalled by the other daemons while they have produced no output", func() {
		bed := &requestBed{Bed: testbed.New()}
		bed.AddEngines("north", "north-a", 12, fakes.EngineOptions{
			ChecksFencing: true, TokenDelay: 5 * time.Millisecond, CrashOn: crashText, CrashAfter: 1500 * time.Millisecond,
		})
		daemons := bed.StartDaemons(nil, "north", "north")
		bed.Publish(0, testbed.SampleConfig(6, "north"))
		for _, d := range daemons {
			Eventually(func() int { return len(d.CompleteGroups(testbed.SampleModel)) }, completeTimeout, pollInterval).Should(Equal(6))
		}
		sendCopies(daemons, 700*time.Millisecond) // by then the second daemon knows that the group of the first request is busy
		GinkgoWriter.Println("crashed", bed.crashed())
		Expect(len(bed.crashed())).To(BeNumerically("<=", 2))
		recalled := 0
		for _, d := range daemons {
			recalled += metricValue(d, `plantainmux_retries_total{reason="recalled"}`)
		}
		Expect(recalled).To(BeNumerically(">", 0))
	})
})
