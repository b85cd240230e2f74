package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

var _ = Describe("A request that crashes a member which is not the leader", func() {
	It("costs at most two groups", func() {
		var bed *requestBed
		others := map[fleet.VMID]fleet.VMID{} // the other member of each leader's group
		killOthers := func() {
			for leader, other := range others {
				for _, event := range bed.Engines[leader].Events() {
					if event.Kind == fakes.EventCrash {
						bed.Engines[other].Server.Kill()
					}
				}
			}
		}
		bed = newRequestBed(3, fakes.EngineOptions{TokenDelay: 5 * time.Millisecond, CrashOn: crashText, OnCrash: killOthers}, nil)
		for _, g := range bed.daemon.CompleteGroups(testbed.SampleModel) {
			others[g.Leader()] = g.Members[1]
		}
		guilty := completionBody(crashText, 5, false)
		first := ask(bed.daemon, guilty)
		Expect(first.reason).To(Equal(string(refusal.CrashSuspect)))
		Expect(first.outcome).To(Equal(string(refusal.Unknown)))
		for range 5 {
			Expect(ask(bed.daemon, guilty).outcome).To(Equal(string(refusal.NotRun)))
		}
		Expect(bed.count(fakes.EventCrash, guilty)).To(Equal(2))
		innocent := completionBody("after", 5, true)
		expectWhole(ask(bed.daemon, innocent), innocent, 5)
	})
})
