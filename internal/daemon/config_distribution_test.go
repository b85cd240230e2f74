package daemon_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/adminapi"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const (
	eventuallyTimeout  = 20 * time.Second
	pollInterval       = 10 * time.Millisecond
	consistentlyPeriod = 1500 * time.Millisecond // several announcements and polls
)

// versionWatch samples the versions in force on daemons and records whether one
// ever decreased.
type versionWatch struct {
	mu       sync.Mutex
	highest  map[*testbed.Daemon]infra.Offset
	reverted bool
	stop     chan struct{}
	done     sync.WaitGroup
}

func watchVersions(daemons ...*testbed.Daemon) *versionWatch {
	w := &versionWatch{highest: map[*testbed.Daemon]infra.Offset{}, stop: make(chan struct{})}
	for _, d := range daemons {
		w.done.Go(func() { w.follow(d) })
	}
	return w
}

func (w *versionWatch) follow(d *testbed.Daemon) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(pollInterval):
		}
		status, err := d.Status()
		if err != nil {
			continue
		}
		w.mu.Lock()
		w.reverted = w.reverted || status.ConfigVersion < w.highest[d]
		w.highest[d] = max(w.highest[d], status.ConfigVersion)
		w.mu.Unlock()
	}
}

// expectNoReversal stops the sampling and expects that no version decreased.
func (w *versionWatch) expectNoReversal() {
	close(w.stop)
	w.done.Wait()
	ExpectWithOffset(1, w.reverted).To(BeFalse(), "a daemon reverted to an older version")
}

func statusOf(d *testbed.Daemon) adminapi.Status {
	status, _ := d.Status()
	return status
}

func versionOf(d *testbed.Daemon) func() infra.Offset {
	return func() infra.Offset { return statusOf(d).ConfigVersion }
}

func expectVersion(version infra.Offset, daemons ...*testbed.Daemon) {
	for _, d := range daemons {
		EventuallyWithOffset(1, versionOf(d), eventuallyTimeout, pollInterval).Should(Equal(version))
	}
}

func sample(count int) config.Configuration { return testbed.SampleConfig(count, "north", "south") }

var _ = Describe("A configuration", func() {
	var bed *testbed.Bed

	BeforeEach(func() { bed = testbed.New() })

	It("reaches daemons that cannot read the log through peers of their own and of another data centre", func() {
		daemons := bed.StartDaemons(nil, "north", "north", "south", "south")
		first := bed.Publish(0, sample(1))
		expectVersion(first, daemons...)
		watch := watchVersions(daemons...)
		for _, d := range daemons[1:] {
			d.Latch.Cut(testbed.SideLog)
		}
		second := bed.Publish(first, sample(2))
		expectVersion(second, daemons...)
		Expect(statusOf(daemons[0]).ConfigSource).To(Equal(string(config.FromLog)))
		for _, d := range daemons[1:] {
			Expect(statusOf(d).ConfigSource).To(Equal(string(config.FromPeer)))
			d.Latch.Mend(testbed.SideLog)
		}
		third := bed.Publish(second, sample(3))
		expectVersion(third, daemons...)
		watch.expectNoReversal()
	})

	It("reaches a daemon started during a log outage through its peers; one without log and peers is not ready", func() {
		daemons := bed.StartDaemons(nil, "north", "north", "north")
		first := bed.Publish(0, sample(1))
		expectVersion(first, daemons...)
		daemons[2].Kill()
		bed.Log.Set(fakes.Faults{Down: true})
		replaced := bed.Replace(daemons[2])
		alone := bed.StartDaemon("north", nil)
		expectVersion(first, replaced)
		Expect(statusOf(replaced).ConfigSource).To(Equal(string(config.FromPeer)))
		Consistently(func() bool {
			status := statusOf(alone)
			return status.Daemon != "" && !status.Ready && status.ConfigVersion == 0
		}, consistentlyPeriod, 10*pollInterval).Should(BeTrue())
		bed.Log.Set(fakes.Faults{})
		expectVersion(first, alone)
		Eventually(func() bool { return statusOf(alone).Ready }, eventuallyTimeout, pollInterval).Should(BeTrue())
	})

	It("reaches a data centre partitioned from log and peers once either is reachable again", func() {
		daemons := bed.StartDaemons(nil, "north", "north", "south", "south")
		first := bed.Publish(0, sample(1))
		expectVersion(first, daemons...)
		watch := watchVersions(daemons...)
		south := daemons[2:]
		bed.CutDataCentres("north", "south")
		for _, d := range south {
			d.Latch.Cut(testbed.SideLog)
		}
		second := bed.Publish(first, sample(2))
		expectVersion(second, daemons[:2]...)
		Consistently(versionOf(south[0]), consistentlyPeriod, 10*pollInterval).Should(Equal(first))
		bed.MendDataCentres("north", "south")
		expectVersion(second, south...)
		Expect(statusOf(south[0]).ConfigSource).To(Equal(string(config.FromPeer)))

		bed.CutDataCentres("north", "south")
		third := bed.Publish(second, sample(3))
		south[0].Latch.Mend(testbed.SideLog)
		expectVersion(third, daemons...)
		watch.expectNoReversal()
	})

	It("is never reverted by a log that lost its last records, nor by a daemon that started with such a log", func() {
		daemons := bed.StartDaemons(nil, "north", "north", "north")
		version := bed.Publish(0, sample(1))
		for count := 2; count <= 4; count++ {
			version = bed.Publish(version, sample(count))
		}
		expectVersion(version, daemons...)
		watch := watchVersions(daemons[:2]...)
		bed.Log.Truncate(config.StreamName, 3)
		for _, d := range daemons[:2] {
			Eventually(func() []string { return statusOf(d).RefusedStreams }, eventuallyTimeout, pollInterval).ShouldNot(BeEmpty())
			Expect(d.Metrics()).To(ContainSubstring(`plantainmux_log_refused{stream="config"} 1`))
		}
		daemons[2].Kill()
		late := bed.Replace(daemons[2])
		bed.Publish(2, sample(7))
		expectVersion(version, late)
		Consistently(versionOf(daemons[0]), consistentlyPeriod, 10*pollInterval).Should(Equal(version))
		Expect(bed.Publish(3, sample(8))).To(Equal(version), "the truncated log assigns the same version again")
		Consistently(versionOf(daemons[1]), consistentlyPeriod, 10*pollInterval).Should(Equal(version))
		late.Kill()
		late = bed.Replace(late)
		expectVersion(version, late)
		conflict := MatchRegexp(`plantainmux_config_conflicts_total [1-9]`)
		Eventually(daemons[0].Metrics, eventuallyTimeout, 10*pollInterval).Should(conflict, "two contents with the same version are counted as a conflict")
		higher := bed.Publish(version, sample(9))
		expectVersion(higher, daemons[0], daemons[1], late)
		watch.expectNoReversal()
	})
})
