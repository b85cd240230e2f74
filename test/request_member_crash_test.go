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
	It("crashes at most two groups", func() {
		var bed *requestBed
		otherMembers := map[fleet.VMID]fleet.VMID{} // the other member of each leader's group
		killOtherMembers := func() {
			for leader, other := range otherMembers {
				for _, event := range bed.Engines[leader].Events() {
					if event.Kind == fakes.EventCrash {
						bed.Engines[other].Server.Kill()
					}
				}
			}
		}
		bed = newRequestBed(3, fakes.EngineOptions{TokenDelay: 5 * time.Millisecond, CrashOn: crashText, OnCrash: killOtherMembers}, nil)
		for _, g := range bed.daemon.CompleteGroups(testbed.SampleModel) {
			otherMembers[g.Leader()] = g.Members[1]
		}
		crashing := completionBody(crashText, 5, false)
		first := sendCompletion(bed.daemon, crashing)
		Expect(first.reason).To(Equal(string(refusal.CrashSuspect)))
		Expect(first.outcome).To(Equal(string(refusal.Unknown)))
		for range 5 {
			Expect(sendCompletion(bed.daemon, crashing).outcome).To(Equal(string(refusal.NotRun)))
		}
		Expect(bed.count(fakes.EventCrash, crashing)).To(Equal(2))
		harmless := completionBody("after", 5, true)
		expectCompleteAnswer(sendCompletion(bed.daemon, harmless), harmless, 5)
	})
})
