package daemon_test

import (
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gmeasure"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const (
	inForceTarget  = 6 * time.Second // from publication until in force on every daemon
	inForceChanges = 10
)

// timesInForce returns, for each daemon, the time from start until it has the
// version in force.
func timesInForce(version infra.Offset, start time.Time, daemons []*testbed.Daemon) []time.Duration {
	times := make([]time.Duration, len(daemons))
	var wait sync.WaitGroup
	for i, d := range daemons {
		wait.Go(func() {
			for time.Since(start) < eventuallyTimeout && statusOf(d).ConfigVersion < version {
				time.Sleep(pollInterval)
			}
			times[i] = time.Since(start)
		})
	}
	wait.Wait()
	return times
}

func reportInForce(name string, times []time.Duration) {
	experiment := gmeasure.NewExperiment(name)
	for _, taken := range times {
		experiment.RecordDuration("in force", taken, gmeasure.Precision(time.Millisecond))
	}
	AddReportEntry(experiment.Name, experiment)
	slices.Sort(times)
	GinkgoWriter.Printf("in force, %s: median %v, worst %v, %d samples\n", name, times[len(times)/2], times[len(times)-1], len(times))
	Expect(times[len(times)-1]).To(BeNumerically("<", inForceTarget))
}

var _ = Describe("The time until a configuration is in force on 8 daemons of 2 data centres", func() {
	var bed *testbed.Bed
	var daemons []*testbed.Daemon
	var version infra.Offset

	BeforeEach(func() {
		bed = testbed.New()
		dataCentres := []fleet.DataCentre{"north", "north", "north", "north", "south", "south", "south", "south"}
		daemons = bed.StartDaemons(nil, dataCentres...)
		version = bed.Publish(0, sample(1))
		expectVersion(version, daemons...)
	})

	// change publishes several versions and measures each from its acceptance
	// by the log.
	change := func() []time.Duration {
		var times []time.Duration
		for i := range inForceChanges {
			start := time.Now()
			version = bed.Publish(version, sample(2+i%2))
			times = append(times, timesInForce(version, start, daemons)...)
		}
		return times
	}

	It("is below the target without faults", func() {
		reportInForce("no faults", change())
	})

	It("is below the target when the log is unreachable for 7 daemons", func() {
		for _, d := range daemons[1:] {
			d.Latch.Cut(testbed.SideLog)
		}
		reportInForce("log unreachable for 7 daemons", change())
	})

	It("is below the target after the partition of a data centre from log and peers ends", func() {
		var times []time.Duration
		for i := range inForceChanges {
			bed.CutDataCentres("north", "south")
			for _, d := range daemons[4:] {
				d.Latch.Cut(testbed.SideLog)
			}
			version = bed.Publish(version, sample(2+i%2))
			expectVersion(version, daemons[:4]...)
			bed.MendDataCentres("north", "south")
			start := time.Now()
			times = append(times, timesInForce(version, start, daemons[4:])...)
		}
		reportInForce("data centre partitioned, from the end of the partition", times)
	})
})
