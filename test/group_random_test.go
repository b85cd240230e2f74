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
	faultTime     = 1500 * time.Millisecond
)

// fault brings something about and returns what undoes it.
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

func darkDomain(_ *rand.Rand, _ *testbed.Bed, engines []*testbed.Engine) func() {
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

func emptyList(_ *rand.Rand, bed *testbed.Bed, engines []*testbed.Engine) func() {
	for _, engine := range engines[len(engines)/2:] {
		bed.VMList.Remove(engine.ID)
	}
	return func() {
		for _, engine := range engines[len(engines)/2:] {
			bed.VMList.Put(engine.VM(north, "north-b"))
		}
	}
}

var _ = Describe("Any two faults together", func() {
	It("breach no invariant and are repaired", func() {
		GinkgoWriter.Println("schedule seed", scheduleSeed)
		random := rand.New(rand.NewPCG(scheduleSeed, 0))
		bed := testbed.New()
		engines := slices.Concat(bed.AddEngines(north, "north-a", 4, fast(true)), bed.AddEngines(north, "north-b", 4, fast(true)))
		a := bed.StartDaemon(north, nil)
		b := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(3, north))
		eventuallyComplete(a, 3)
		load := startTraffic(a, b)
		faults := []fault{
			killEngine, killEngine, killEngine, freezeEngine, darkDomain, freezeDaemon, emptyList,
			logFault(fakes.Faults{Down: true}), logFault(fakes.Faults{LoseAnswers: true}), logFault(fakes.Faults{DelayMS: 300}),
		}
		for range scheduleSteps {
			order := random.Perm(len(faults))
			first := faults[order[0]](random, bed, engines)
			second := faults[order[1]](random, bed, engines)
			time.Sleep(faultTime)
			first()
			second()
		}
		eventuallyComplete(a, 3)
		eventuallyComplete(b, 3)
		time.Sleep(outage) // what was not noticed shows
		load.stop()
		check := checkOf(bed)
		check.Detection += faultTime // a request may wait in a frozen daemon
		expectNoViolation(check)
		Expect(load.answered.Load()).To(BeNumerically(">", 100))
	})
})
