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

// versionedConfig returns the sample configuration with a model version and with
// engines that do or do not check fencing numbers.
func versionedConfig(version string, checksFencing bool) config.Configuration {
	sample := testbed.SampleConfig(1, north)
	sample.Models[0].Version = version
	sample.Models[0].ChecksFencing = checksFencing
	return sample
}

// startWithDelayedJoins starts a daemon whose join orders are held back while
// another daemon moves the same VMs into a later group; awaitMove returns when the
// move has come far enough. It returns the delayed daemon and the other one.
func startWithDelayedJoins(bed *testbed.Bed, checksFencing bool, adjust func(*settings.Settings), awaitMove func()) (delayed, other *testbed.Daemon) {
	bed.AddEngines(north, "north-a", 2, engineOptions(checksFencing))
	delayed = bed.StartDaemon(north, adjust)
	delayed.Latch.HoldOrders()
	version := bed.Publish(0, versionedConfig("v1", checksFencing))
	Eventually(func() int { return ledger(bed).GrantedGroups() }, repairTimeout, pollInterval).Should(Equal(1))
	time.Sleep(time.Second) // its join orders are held by now
	other = bed.StartDaemon(north, adjust)
	eventuallyComplete(other, 1)
	bed.Publish(version, versionedConfig("v2", checksFencing))
	awaitMove()
	return delayed, other
}

func countJoins(bed *testbed.Bed, version string) int {
	count := 0
	for _, event := range newCheck(bed).Events {
		if event.Kind == fakes.EventControl && event.Order.Action == endpoint.Join && event.Order.Group.Version == version {
			count++
		}
	}
	return count
}

var _ = Describe("A control order", func() {
	It("is sent by another daemon when the daemon that proposed the group dies", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, engineOptions(true))
		a := bed.StartDaemon(north, nil)
		a.Latch.HoldOrders()
		bed.Publish(0, testbed.SampleConfig(1, north))
		Eventually(func() int { return ledger(bed).GrantedGroups() }, repairTimeout, pollInterval).Should(Equal(1))
		a.Kill()
		b := bed.StartDaemon(north, nil)
		eventuallyComplete(b, 1)
		Expect(ledger(bed).GrantedGroups()).To(Equal(1))
		expectNoViolation(newCheck(bed))
	})

	It("that a paused daemon sends after its group was replaced is refused by an engine that checks fencing numbers", func() {
		bed := testbed.New()
		delayed, other := startWithDelayedJoins(bed, true, nil, func() {
			Eventually(func() int { return countJoins(bed, "v2") }, repairTimeout, pollInterval).Should(Equal(2))
		})
		eventuallyComplete(other, 1)
		load := startTraffic(other)
		delayed.Latch.Thaw()
		Eventually(func() int { return countEvents(bed, fakes.EventRefused) }, repairTimeout, pollInterval).Should(BeNumerically(">=", 2))
		Consistently(func() int { return completeGroups(other) }, time.Second, pollInterval).Should(Equal(1))
		load.stop()
		expectNoViolation(newCheck(bed))
	})

	It("that a paused daemon sends within the reuse delay of a released VM disturbs no group when the engine does not check fencing numbers", func() {
		bed := testbed.New()
		// A missed report on a busy machine must not release the first group early:
		// the held orders would then be older than the reuse delay.
		longReportBound := func(s *settings.Settings) { s.Timing.ReportBoundMS = 3000 }
		delayed, other := startWithDelayedJoins(bed, false, longReportBound, func() {
			Eventually(func() int { return countReleases(bed) }, repairTimeout, pollInterval).Should(BeNumerically(">=", 2))
			time.Sleep(detectionBound)
		})
		delayed.Latch.Thaw()
		eventuallyComplete(other, 1)
		expectNoViolation(newCheck(bed))
		Expect(countJoins(bed, "v2")).To(BeNumerically(">=", 2))
	})

	It("that arrives late at an engine without fencing checks ends the group whose member it takes, within the detection bound", func() {
		bed := testbed.New()
		delayed, other := startWithDelayedJoins(bed, false, nil, func() {
			Eventually(func() int { return countJoins(bed, "v2") }, repairTimeout, pollInterval).Should(Equal(2))
		})
		members := eventuallyComplete(other, 1)[0].Members
		load := startTraffic(other)
		// Only the follower receives its late order: the leader would continue
		// without it.
		leader := bed.Engines[members[0]]
		leader.Set(fakes.Faults{Down: true})
		delayed.Latch.Thaw()
		Eventually(func() int { return countJoins(bed, "v1") }, repairTimeout, pollInterval).Should(Equal(3))
		leader.Set(fakes.Faults{})
		time.Sleep(outage)
		eventuallyComplete(other, 1)
		load.stop()
		for _, violation := range newCheck(bed).Run() {
			Expect(violation.Rule).To(Equal(invariant.JoinsRise)) // only a fencing check could prevent this one
		}
	})

	It("is sent for one group only when two daemons propose groups of the same VMs", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 5, engineOptions(true))
		// Delayed responses of the log make both daemons propose from the same state.
		bed.Log.Set(fakes.Faults{DelayMS: 200})
		a := bed.StartDaemon(north, nil)
		b := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(2, north))
		Eventually(func() int { return countEvents(bed, fakes.EventControl) }, repairTimeout, pollInterval).Should(BeNumerically(">=", 4))
		time.Sleep(time.Second)
		expectNoViolation(newCheck(bed))
		eventuallyComplete(a, 2)
		eventuallyComplete(b, 2)
		expectNoViolation(newCheck(bed))
	})
})

func countReleases(bed *testbed.Bed) int {
	count := 0
	for _, event := range newCheck(bed).Events {
		if event.Kind == fakes.EventControl && event.Order.Action == endpoint.Release {
			count++
		}
	}
	return count
}
