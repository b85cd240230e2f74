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

// twoCentres starts daemons in north and south, and groups in south only,
// unless north has some too.
func twoCentres(northGroups, southGroups int, options fakes.EngineOptions, daemons ...fleet.DataCentre) *requestBed {
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
		Eventually(func() int { return len(d.CompleteGroups(testbed.SampleModel)) }, waitComplete, tick).Should(Equal(want))
	}
	return b
}

// answered waits until requests pass between the data centres.
func (b *requestBed) answered() {
	Eventually(func() bool {
		return ask(b.daemon, completionBody("warm up", 1, false)).whole
	}, waitComplete, tick).Should(BeTrue())
}

// refuseAt lets the leaders of groups refuse every request.
func (b *requestBed) refuseAt(groups []fleet.Group) {
	for _, g := range groups {
		b.Engines[g.Leader()].SetStreamFaults(fakes.StreamFaults{Refuse: endpoint.CodeQueueFull})
	}
}

var _ = Describe("A request that its data centre cannot serve", func() {
	It("gets its whole answer from another one", func() {
		bed := twoCentres(0, 1, fakes.EngineOptions{}, "north", "south")
		bed.answered()
		for i, body := range manyBodies("elsewhere", 40, 6) {
			if i == 20 {
				bed.eachEngine(func(e *testbed.Engine) {
					e.SetStreamFaults(fakes.StreamFaults{Cross: true, Duplicate: true, CutEach: true})
				})
			}
			expectWhole(ask(bed.daemon, body), body, 6)
			Expect(bed.count(fakes.EventStart, body)).To(Equal(1))
		}
	})

	It("gets its whole answer also when an endpoint there refuses it first", func() {
		bed := twoCentres(0, 2, fakes.EngineOptions{}, "north", "south")
		bed.answered()
		for _, g := range bed.Daemons[1].CompleteGroups(testbed.SampleModel) {
			bed.eachEngine(func(e *testbed.Engine) { e.SetStreamFaults(fakes.StreamFaults{}) })
			bed.refuseAt([]fleet.Group{g})
			for _, body := range manyBodies(fmt.Sprint("second try after ", g.Fencing), 10, 6) {
				expectWhole(ask(bed.daemon, body), body, 6)
			}
		}
		Expect(bed.count(fakes.EventRejected, "")).To(BeNumerically(">", 0))
	})

	It("is refused as not run when every endpoint there refuses it", func() {
		bed := twoCentres(0, 1, fakes.EngineOptions{}, "north", "south")
		bed.answered()
		bed.refuseAt(bed.Daemons[1].CompleteGroups(testbed.SampleModel))
		body := completionBody("refused there", 3, true)
		got := ask(bed.daemon, body)
		Expect(got.outcome).To(Equal(string(refusal.NotRun)))
		Expect(got.after).NotTo(BeEmpty())
		Expect(bed.count(fakes.EventRejected, body)).To(BeNumerically(">", 0))
		Expect(bed.count(fakes.EventStart, body)).To(BeZero())
	})

	It("ends in an explicit error when the engine there dies", func() {
		bed := twoCentres(0, 1, fakes.EngineOptions{TokenDelay: 30 * time.Millisecond}, "north", "south")
		bed.answered()
		body := completionBody("killed there", 40, true)
		got := bed.askStruck(body, killServer)
		Expect(got.whole).To(BeFalse())
		Expect(got.reason).To(Equal(string(refusal.EndpointBroke)))
		Expect(got.outcome).To(Equal(string(refusal.Unknown)))
	})

	It("is cancelled there when its caller leaves", func() {
		bed := twoCentres(0, 1, fakes.EngineOptions{TokenDelay: 50 * time.Millisecond}, "north", "south")
		bed.answered()
		bed.askAndLeave(completionBody("gone", 400, true))
	})

	It("is refused as not run when no data centre serves it", func() {
		bed := twoCentres(0, 0, fakes.EngineOptions{}, "north", "south")
		var got reply
		Eventually(func() string {
			got = ask(bed.daemon, completionBody("nowhere", 3, true))
			return got.reason
		}, waitComplete, tick).Should(Equal(string(refusal.NoCompleteGroup)))
		Expect(got.outcome).To(Equal(string(refusal.NotRun)))
		Expect(got.after).NotTo(BeEmpty())
	})
})

var _ = Describe("A request that crashed engines", func() {
	It("is refused at once by the other daemons", func() {
		bed := twoCentres(3, 1, fakes.EngineOptions{CrashOn: crashText}, "north", "north", "south")
		guilty := completionBody(crashText, 5, false)
		Expect(ask(bed.daemon, guilty).reason).To(Equal(string(refusal.CrashSuspect)))
		for _, other := range bed.Daemons[1:] {
			Eventually(func() string { return ask(other, guilty).reason }, waitComplete, tick).Should(Equal(string(refusal.CrashSuspect)))
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
	It("gives up a caller that does not read, and cancels its attempt", func() {
		bed := newRequestBed(1, fakes.EngineOptions{}, nil)
		body := completionBody("slow reader", 200_000, true)
		conn, err := net.Dial("tcp", bed.daemon.CallerAddress())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		Expect(conn.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testbed.TeamKey, len(body), body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string { return bed.daemon.Metrics() }, 2*waitComplete, 10*tick).Should(ContainSubstring(`plantainmux_refusals_total{reason="slow_reader"} 1`))
		Eventually(func() int { return bed.count(fakes.EventCancel, "") + bed.count(fakes.EventFinish, "") }, waitComplete, tick).Should(Equal(1))
		small := completionBody("after", 3, true)
		expectWhole(ask(bed.daemon, small), small, 3)
	})
})
