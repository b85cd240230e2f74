package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/settings"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

var _ = Describe("Groups in an outage", func() {
	It("serve on while the log is away, but for one that lost a member", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 5, fast(true))
		a := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(2, north))
		groups := eventuallyComplete(a, 2)
		load := startTraffic(a)
		bed.Log.Set(fakes.Faults{Frozen: true})
		bed.Engines[groups[0].Members[1]].Kill()
		Eventually(func() int { return complete(a) }, waitRepair, tick).Should(Equal(1))
		refused, answered := load.refused.Load(), load.answered.Load()
		time.Sleep(2 * outage) // beyond the time limit of a proposal
		Expect(load.refused.Load()).To(Equal(refused))
		Expect(load.answered.Load()).To(BeNumerically(">", answered+50))
		bed.Log.Set(fakes.Faults{})
		eventuallyComplete(a, 2)
		load.stop()
		expectNoViolation(checkOf(bed))
	})

	It("are formed once when the answers of the appends are lost", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 4, fast(true))
		a := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(1, north))
		eventuallyComplete(a, 1)
		bed.Log.Set(fakes.Faults{LoseAnswers: true})
		bed.Engines[a.CompleteGroups(testbed.SampleModel)[0].Members[1]].Kill()
		time.Sleep(outage)
		bed.Log.Set(fakes.Faults{})
		eventuallyComplete(a, 1)
		Consistently(func() int { return complete(a) }, detection, tick).Should(Equal(1))
		Expect(ledger(bed).Forms()).To(Equal(2))
		expectNoViolation(checkOf(bed))
	})

	It("stay known to a daemon that starts without a list of VMs", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, fast(true))
		a := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(1, north))
		eventuallyComplete(a, 1)
		bed.VMList.Set(fakes.Faults{Down: true})
		a.Kill()
		b := bed.StartDaemon(north, nil)
		eventuallyComplete(b, 1)
		Expect(ledger(bed).Forms()).To(Equal(1))
	})

	It("are ordered and formed by nobody who has not read the log", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, fast(true))
		bed.Publish(0, testbed.SampleConfig(1, north))
		bed.Log.Set(fakes.Faults{Down: true})
		a := bed.StartDaemon(north, nil)
		Consistently(func() int { return countEvents(bed, fakes.EventControl) }, detection, tick).Should(Equal(0))
		bed.Log.Set(fakes.Faults{})
		eventuallyComplete(a, 1)
	})

	It("are left alone by a daemon that starts while the log is away", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 4, fast(false))
		daemons := bed.StartDaemons(nil, north, north)
		version := bed.Publish(0, testbed.SampleConfig(1, north))
		first := eventuallyComplete(daemons[0], 1)[0]
		daemons[1].Kill()
		bed.Log.Set(fakes.Faults{Down: true})
		orders := countEvents(bed, fakes.EventControl)
		b := bed.Replace(daemons[1])
		Eventually(func() infra.Offset { status, _ := b.Status(); return status.ConfigVersion }, waitMesh, tick).Should(Equal(version))
		Consistently(func() int { return countEvents(bed, fakes.EventControl) }, detection, tick).Should(Equal(orders))
		bed.Log.Set(fakes.Faults{})
		Expect(eventuallyComplete(b, 1)[0].Fencing).To(Equal(first.Fencing))
		Expect(ledger(bed).Forms()).To(Equal(1))
	})

	It("serve through a list of VMs that leaves members out or gives wrong addresses", func() {
		bed := testbed.New()
		engines := bed.AddEngines(north, "north-a", 5, fast(true))
		a := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(2, north))
		groups := eventuallyComplete(a, 2)
		load := startTraffic(a)
		Eventually(load.answered.Load, waitRepair, tick).Should(BeNumerically(">", 20))
		wrong := bed.Engines[groups[1].Members[1]].VM(north, "north-a")
		wrong.Address = engines[4].Server.Address()
		bed.VMList.Remove(groups[0].Members[0])
		bed.VMList.Remove(groups[0].Members[1])
		bed.VMList.Put(wrong)
		refused := load.refused.Load()
		time.Sleep(outage)
		load.stop()
		Expect(load.refused.Load()).To(Equal(refused))
		Expect(ledger(bed).Forms()).To(Equal(2))
		expectNoViolation(checkOf(bed))
	})

	It("are left alone by a daemon that has no configuration", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, fast(true))
		a := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(1, north))
		eventuallyComplete(a, 1)
		a.Kill()
		bed.Log.Truncate(config.StreamName, infra.FirstOffset)
		bed.StartDaemon(north, nil)
		Consistently(func() []logstream.Kind { return kinds(bed) }, detection, tick).Should(Equal([]logstream.Kind{group.KindForm, group.KindReady}))
	})

	It("are known from a snapshot to daemons that missed what has expired", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 3, fast(true))
		often := func(s *settings.Settings) { s.Timing.SnapshotAgeMS = 300 }
		a := bed.StartDaemon(north, often)
		b := bed.StartDaemon(north, often)
		bed.Publish(0, testbed.SampleConfig(1, north))
		first := eventuallyComplete(a, 1)[0]
		a.Latch.Cut(testbed.SideLog)
		bed.Engines[first.Members[1]].Kill()
		Eventually(func() int { return complete(b) }, waitRepair, tick).Should(Equal(0))
		second := eventuallyComplete(b, 1)[0]
		Eventually(func() []logstream.Kind { return afterReady(kinds(bed)) }, waitRepair, tick).Should(ContainElement(logstream.KindSnapshot))
		all := kinds(bed)
		expired := len(all) - len(afterReady(all))
		bed.Log.Expire(group.StreamName(north), infra.FirstOffset+infra.Offset(expired))
		a.Latch.Mend(testbed.SideLog)
		c := bed.StartDaemon(north, often)
		for _, d := range []*testbed.Daemon{a, b, c} {
			Expect(eventuallyComplete(d, 1)[0].Fencing).To(Equal(second.Fencing))
		}
	})

	It("are repaired by the one daemon that is left when its peers are frozen", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 3, fast(true))
		daemons := bed.StartDaemons(nil, north, north, north)
		bed.Publish(0, testbed.SampleConfig(1, north))
		members := eventuallyComplete(daemons[2], 1)[0].Members
		daemons[0].Latch.Freeze()
		daemons[1].Latch.Freeze()
		bed.Engines[members[1]].Kill()
		Eventually(func() int { return complete(daemons[2]) }, waitRepair, tick).Should(Equal(0))
		eventuallyComplete(daemons[2], 1)
		daemons[0].Latch.Thaw()
		daemons[1].Latch.Thaw()
		eventuallyComplete(daemons[0], 1)
		Expect(ledger(bed).Forms()).To(Equal(2))
		expectNoViolation(checkOf(bed))
	})
})

// afterReady returns the kinds after the last ready record.
func afterReady(kinds []logstream.Kind) []logstream.Kind {
	for i := len(kinds) - 1; i >= 0; i-- {
		if kinds[i] == group.KindReady {
			return kinds[i+1:]
		}
	}
	return nil
}

// kinds returns the kinds of the records of the group stream.
func kinds(bed *testbed.Bed) []logstream.Kind {
	var kinds []logstream.Kind
	for _, record := range bed.Log.Records(group.StreamName(north)) {
		var entry logstream.Entry
		Expect(logstream.Unmarshal(record.Data, &entry)).To(Succeed())
		kinds = append(kinds, entry.Kind)
	}
	return kinds
}
