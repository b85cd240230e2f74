package test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const (
	scheduleSeed  = 20
	scheduleSteps = 16
	faultDuration = 1500 * time.Millisecond
)

// fault injects a fault and returns the function that ends it.
type fault func(random *rand.Rand, bed *testbed.Bed, engines []*testbed.Engine) (undo func())

func killEngine(random *rand.Rand, _ *testbed.Bed, engines []*testbed.Engine) func() {
	engine := engines[random.IntN(len(engines))]
	engine.Kill()
	return engine.Restart
}

func freezeEngine(random *rand.Rand, _ *testbed.Bed, engines []*testbed.Engine) func() {
	engine := engines[random.IntN(len(engines))]
	engine.Freeze()
	return engine.Thaw
}

func freezeDomain(_ *rand.Rand, _ *testbed.Bed, engines []*testbed.Engine) func() {
	half := engines[:len(engines)/2] // one fabric domain
	for _, engine := range half {
		engine.Freeze()
	}
	return func() {
		for _, engine := range half {
			engine.Thaw()
		}
	}
}

func logFault(faults fakes.Faults) fault {
	return func(_ *rand.Rand, bed *testbed.Bed, _ []*testbed.Engine) func() {
		bed.Log.Set(faults)
		return func() { bed.Log.Set(fakes.Faults{}) }
	}
}

func freezeDaemon(random *rand.Rand, bed *testbed.Bed, _ []*testbed.Engine) func() {
	daemon := bed.Daemons[random.IntN(len(bed.Daemons))]
	daemon.Latch.Freeze()
	return daemon.Latch.Thaw
}

func removeFromVMList(_ *rand.Rand, bed *testbed.Bed, engines []*testbed.Engine) func() {
	for _, engine := range engines[len(engines)/2:] {
		bed.VMList.Remove(engine.ID)
	}
	return func() {
		for _, engine := range engines[len(engines)/2:] {
			bed.VMList.Put(engine.VM(north, "north-b"))
		}
	}
}

var _ = Describe("Any two simultaneous faults", func() {
	It("violate no invariant and are repaired", func() {
		GinkgoWriter.Println("schedule seed", scheduleSeed)
		random := rand.New(rand.NewPCG(scheduleSeed, 0))
		bed := testbed.New()
		engines := slices.Concat(bed.AddEngines(north, "north-a", 4, engineOptions(true)), bed.AddEngines(north, "north-b", 4, engineOptions(true)))
		a := bed.StartDaemon(north, nil)
		b := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(3, north))
		eventuallyComplete(a, 3)
		load := startTraffic(a, b)
		faults := []fault{
			killEngine, killEngine, killEngine, freezeEngine, freezeDomain, freezeDaemon, removeFromVMList,
			logFault(fakes.Faults{Down: true}), logFault(fakes.Faults{LoseAnswers: true}), logFault(fakes.Faults{DelayMS: 300}),
		}
		for range scheduleSteps {
			permutation := random.Perm(len(faults))
			undoFirst := faults[permutation[0]](random, bed, engines)
			undoSecond := faults[permutation[1]](random, bed, engines)
			time.Sleep(faultDuration)
			undoFirst()
			undoSecond()
		}
		eventuallyComplete(a, 3)
		eventuallyComplete(b, 3)
		time.Sleep(outage) // an undetected fault violates an invariant by now
		load.stop()
		check := newCheck(bed)
		check.DetectionBound += faultDuration // a request may wait in a frozen daemon that long
		expectNoViolation(check)
		Expect(load.answered.Load()).To(BeNumerically(">", 100))
	})
})
