package test

import (
	"fmt"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const crashText = "crash-me"

// newTwoDataCentreBed starts daemons in the given data centres and the given
// numbers of groups in north and south, and waits until the groups are complete.
func newTwoDataCentreBed(northGroups, southGroups int, options fakes.EngineOptions, daemons ...fleet.DataCentre) *requestBed {
	b := &requestBed{Bed: testbed.New()}
	options.ChecksFencing = true
	b.AddEngines("north", "north-a", 2*northGroups, options)
	b.AddEngines("south", "south-a", 2*southGroups, options)
	started := b.StartDaemons(nil, daemons...)
	b.daemon = started[0]
	configuration := testbed.SampleConfig(southGroups, "north", "south")
	configuration.Models[0].Replicas[0].Count = max(northGroups, 1)
	b.Publish(0, configuration)
	for _, d := range started {
		want := northGroups
		if d.DataCentre == "south" {
			want = southGroups
		}
		Eventually(func() int { return len(d.CompleteGroups(testbed.SampleModel)) }, completeTimeout, pollInterval).Should(Equal(want))
	}
	return b
}

// awaitForwarding waits until a request to the first daemon, whose data centre has
// no group, is answered from the other data centre.
func (b *requestBed) awaitForwarding() {
	Eventually(func() bool {
		return sendCompletion(b.daemon, completionBody("warm up", 1, false)).complete
	}, completeTimeout, pollInterval).Should(BeTrue())
}

// refuseAsQueueFull makes the leaders of groups refuse every request because their
// queue is full.
func (b *requestBed) refuseAsQueueFull(groups []fleet.Group) {
	for _, g := range groups {
		b.Engines[g.Leader()].SetStreamFaults(fakes.StreamFaults{Refuse: endpoint.CodeQueueFull})
	}
}

var _ = Describe("A request that its data centre cannot serve", func() {
	It("gets its complete answer from another data centre", func() {
		bed := newTwoDataCentreBed(0, 1, fakes.EngineOptions{}, "north", "south")
		bed.awaitForwarding()
		for i, body := range completionBodies("elsewhere", 40, 6) {
			if i == 20 {
				bed.eachEngine(func(e *testbed.Engine) {
					e.SetStreamFaults(fakes.StreamFaults{Cross: true, Duplicate: true, CutEach: true})
				})
			}
			expectCompleteAnswer(sendCompletion(bed.daemon, body), body, 6)
			Expect(bed.count(fakes.EventStart, body)).To(Equal(1))
		}
	})

	It("gets its complete answer also when an endpoint of the other data centre refuses it first", func() {
		bed := newTwoDataCentreBed(0, 2, fakes.EngineOptions{}, "north", "south")
		bed.awaitForwarding()
		for _, g := range bed.Daemons[1].CompleteGroups(testbed.SampleModel) {
			bed.eachEngine(func(e *testbed.Engine) { e.SetStreamFaults(fakes.StreamFaults{}) })
			bed.refuseAsQueueFull([]fleet.Group{g})
			for _, body := range completionBodies(fmt.Sprint("second try after ", g.Fencing), 10, 6) {
				expectCompleteAnswer(sendCompletion(bed.daemon, body), body, 6)
			}
		}
		Expect(bed.count(fakes.EventRejected, "")).To(BeNumerically(">", 0))
	})

	It("is refused as not run when every endpoint of the other data centre refuses it", func() {
		bed := newTwoDataCentreBed(0, 1, fakes.EngineOptions{}, "north", "south")
		bed.awaitForwarding()
		bed.refuseAsQueueFull(bed.Daemons[1].CompleteGroups(testbed.SampleModel))
		body := completionBody("refused there", 3, true)
		got := sendCompletion(bed.daemon, body)
		Expect(got.outcome).To(Equal(string(refusal.NotRun)))
		Expect(got.retryAfter).NotTo(BeEmpty())
		Expect(bed.count(fakes.EventRejected, body)).To(BeNumerically(">", 0))
		Expect(bed.count(fakes.EventStart, body)).To(BeZero())
	})

	It("ends in an explicit error when its engine in the other data centre is killed", func() {
		bed := newTwoDataCentreBed(0, 1, fakes.EngineOptions{TokenDelay: 30 * time.Millisecond}, "north", "south")
		bed.awaitForwarding()
		body := completionBody("killed there", 40, true)
		got := bed.sendCompletionWithFault(body, killServer)
		Expect(got.complete).To(BeFalse())
		Expect(got.reason).To(Equal(string(refusal.EndpointBroke)))
		Expect(got.outcome).To(Equal(string(refusal.Unknown)))
	})

	It("is cancelled in the other data centre when its caller disconnects", func() {
		bed := newTwoDataCentreBed(0, 1, fakes.EngineOptions{TokenDelay: 50 * time.Millisecond}, "north", "south")
		bed.awaitForwarding()
		bed.sendCompletionAndDisconnect(completionBody("gone", 400, true))
	})

	It("is refused as not run when no data centre has a complete group", func() {
		bed := newTwoDataCentreBed(0, 0, fakes.EngineOptions{}, "north", "south")
		var got reply
		Eventually(func() string {
			got = sendCompletion(bed.daemon, completionBody("nowhere", 3, true))
			return got.reason
		}, completeTimeout, pollInterval).Should(Equal(string(refusal.NoCompleteGroup)))
		Expect(got.outcome).To(Equal(string(refusal.NotRun)))
		Expect(got.retryAfter).NotTo(BeEmpty())
	})
})

var _ = Describe("A request that crashed engines", func() {
	It("is refused by the other daemons, and crashes no further engine in its data centre", func() {
		bed := newTwoDataCentreBed(3, 1, fakes.EngineOptions{CrashOn: crashText}, "north", "north", "south")
		crashing := completionBody(crashText, 5, false)
		Expect(sendCompletion(bed.daemon, crashing).reason).To(Equal(string(refusal.CrashSuspect)))
		for _, other := range bed.Daemons[1:] {
			Eventually(func() string { return sendCompletion(other, crashing).reason }, completeTimeout, pollInterval).Should(Equal(string(refusal.CrashSuspect)))
		}
		crashes := 0
		bed.eachEngine(func(e *testbed.Engine) {
			for _, event := range e.Events() {
				if event.Kind == fakes.EventCrash && strings.HasPrefix(string(event.VM), "north") {
					crashes++
				}
			}
		})
		Expect(crashes).To(Equal(2))
	})
})

var _ = Describe("A daemon", func() {
	It("times out a caller that does not read its answer, and ends the attempt", func() {
		bed := newRequestBed(1, fakes.EngineOptions{}, nil)
		body := completionBody("slow reader", 200_000, true)
		conn, err := net.Dial("tcp", bed.daemon.CallerAddress())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		Expect(conn.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testbed.TeamKey, len(body), body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string { return bed.daemon.Metrics() }, 2*completeTimeout, 10*pollInterval).Should(ContainSubstring(`plantainmux_refusals_total{reason="slow_reader"} 1`))
		Eventually(func() int { return bed.count(fakes.EventCancel, "") + bed.count(fakes.EventFinish, "") }, completeTimeout, pollInterval).Should(Equal(1))
		small := completionBody("after", 3, true)
		expectCompleteAnswer(sendCompletion(bed.daemon, small), small, 3)
	})
})
