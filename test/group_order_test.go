package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/invariant"
	"github.com/plantainmux/plantainmux/internal/settings"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// configOf is the sample with engines that check fencing numbers or don't.
func configOf(version string, checksFencing bool) config.Configuration {
	sample := testbed.SampleConfig(1, north)
	sample.Models[0].Version = version
	sample.Models[0].ChecksFencing = checksFencing
	return sample
}

// heldOrders brings about a daemon whose joins wait while another daemon moves
// the same VMs into a later group. It returns that daemon and the other.
func heldOrders(bed *testbed.Bed, checksFencing bool, adjust func(*settings.Settings), move func()) (late, other *testbed.Daemon) {
	bed.AddEngines(north, "north-a", 2, fast(checksFencing))
	late = bed.StartDaemon(north, adjust)
	late.Latch.HoldOrders()
	version := bed.Publish(0, configOf("v1", checksFencing))
	Eventually(func() int { return ledger(bed).Forms() }, waitRepair, tick).Should(Equal(1))
	time.Sleep(time.Second) // its orders wait by now
	other = bed.StartDaemon(north, adjust)
	eventuallyComplete(other, 1)
	bed.Publish(version, configOf("v2", checksFencing))
	move()
	return late, other
}

func joinsOf(bed *testbed.Bed, version string) int {
	count := 0
	for _, event := range checkOf(bed).Events {
		if event.Kind == fakes.EventControl && event.Order.Action == endpoint.Join && event.Order.Group.Version == version {
			count++
		}
	}
	return count
}

var _ = Describe("An order", func() {
	It("is carried out by another daemon when its sender dies after the proposal", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, fast(true))
		a := bed.StartDaemon(north, nil)
		a.Latch.HoldOrders()
		bed.Publish(0, testbed.SampleConfig(1, north))
		Eventually(func() int { return ledger(bed).Forms() }, waitRepair, tick).Should(Equal(1))
		a.Kill()
		b := bed.StartDaemon(north, nil)
		eventuallyComplete(b, 1)
		Expect(ledger(bed).Forms()).To(Equal(1))
		expectNoViolation(checkOf(bed))
	})

	It("of a daemon that was paused past its right is refused by an engine that checks", func() {
		bed := testbed.New()
		late, other := heldOrders(bed, true, nil, func() {
			Eventually(func() int { return joinsOf(bed, "v2") }, waitRepair, tick).Should(Equal(2))
		})
		eventuallyComplete(other, 1)
		load := startTraffic(other)
		late.Latch.Thaw()
		Eventually(func() int { return countEvents(bed, fakes.EventRefused) }, waitRepair, tick).Should(BeNumerically(">=", 2))
		Consistently(func() int { return complete(other) }, time.Second, tick).Should(Equal(1))
		load.stop()
		expectNoViolation(checkOf(bed))
	})

	It("finds its VM at rest when the engine does not check and the sender was paused for less than the rest", func() {
		bed := testbed.New()
		// Silence on a busy machine must not end the first group early: the orders
		// would then wait for longer than the rest.
		patient := func(s *settings.Settings) { s.Timing.ReportBoundMS = 3000 }
		late, other := heldOrders(bed, false, patient, func() {
			Eventually(func() int { return releases(bed) }, waitRepair, tick).Should(BeNumerically(">=", 2))
			time.Sleep(detection)
		})
		late.Latch.Thaw()
		eventuallyComplete(other, 1)
		expectNoViolation(checkOf(bed))
		Expect(joinsOf(bed, "v2")).To(BeNumerically(">=", 2))
	})

	It("that no check can stop ends the group it breaks into within the bound", func() {
		bed := testbed.New()
		late, other := heldOrders(bed, false, nil, func() {
			Eventually(func() int { return joinsOf(bed, "v2") }, waitRepair, tick).Should(Equal(2))
		})
		members := eventuallyComplete(other, 1)[0].Members
		load := startTraffic(other)
		// Only the second member gets its late order: the leader would go on alone.
		leader := bed.Engines[members[0]]
		leader.Set(fakes.Faults{Down: true})
		late.Latch.Thaw()
		Eventually(func() int { return joinsOf(bed, "v1") }, waitRepair, tick).Should(Equal(3))
		leader.Set(fakes.Faults{})
		time.Sleep(outage)
		eventuallyComplete(other, 1)
		load.stop()
		for _, violation := range checkOf(bed).Run() {
			Expect(violation.Rule).To(Equal(invariant.JoinsRise)) // what fencing alone could stop
		}
	})

	It("is for one group only when two daemons form with the same VMs", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 5, fast(true))
		// Answers of the log that come late make both propose from the same state.
		bed.Log.Set(fakes.Faults{DelayMS: 200})
		a := bed.StartDaemon(north, nil)
		b := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(2, north))
		Eventually(func() int { return countEvents(bed, fakes.EventControl) }, waitRepair, tick).Should(BeNumerically(">=", 4))
		time.Sleep(time.Second)
		expectNoViolation(checkOf(bed))
		eventuallyComplete(a, 2)
		eventuallyComplete(b, 2)
		expectNoViolation(checkOf(bed))
	})
})

func releases(bed *testbed.Bed) int {
	count := 0
	for _, event := range checkOf(bed).Events {
		if event.Kind == fakes.EventControl && event.Order.Action == endpoint.Release {
			count++
		}
	}
	return count
}
