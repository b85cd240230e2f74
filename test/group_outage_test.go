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
	It("keep serving while the log is unavailable, except for a group that lost a member", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 5, engineOptions(true))
		a := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(2, north))
		groups := eventuallyComplete(a, 2)
		load := startTraffic(a)
		bed.Log.Set(fakes.Faults{Frozen: true})
		bed.Engines[groups[0].Members[1]].Kill()
		Eventually(func() int { return completeGroups(a) }, repairTimeout, pollInterval).Should(Equal(1))
		failed, answered := load.failed.Load(), load.answered.Load()
		time.Sleep(2 * outage) // longer than the timeout of a proposal
		Expect(load.failed.Load()).To(Equal(failed))
		Expect(load.answered.Load()).To(BeNumerically(">", answered+50))
		bed.Log.Set(fakes.Faults{})
		eventuallyComplete(a, 2)
		load.stop()
		expectNoViolation(newCheck(bed))
	})

	It("are formed once when the responses to log appends are lost", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 4, engineOptions(true))
		a := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(1, north))
		eventuallyComplete(a, 1)
		bed.Log.Set(fakes.Faults{LoseAnswers: true})
		bed.Engines[a.CompleteGroups(testbed.SampleModel)[0].Members[1]].Kill()
		time.Sleep(outage)
		bed.Log.Set(fakes.Faults{})
		eventuallyComplete(a, 1)
		Consistently(func() int { return completeGroups(a) }, detectionBound, pollInterval).Should(Equal(1))
		Expect(ledger(bed).GrantedGroups()).To(Equal(2))
		expectNoViolation(newCheck(bed))
	})

	It("are known to a daemon that starts while the VM list is unavailable", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, engineOptions(true))
		a := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(1, north))
		eventuallyComplete(a, 1)
		bed.VMList.Set(fakes.Faults{Down: true})
		a.Kill()
		b := bed.StartDaemon(north, nil)
		eventuallyComplete(b, 1)
		Expect(ledger(bed).GrantedGroups()).To(Equal(1))
	})

	It("are neither formed nor sent orders by a daemon that has not read the log", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, engineOptions(true))
		bed.Publish(0, testbed.SampleConfig(1, north))
		bed.Log.Set(fakes.Faults{Down: true})
		a := bed.StartDaemon(north, nil)
		Consistently(func() int { return countEvents(bed, fakes.EventControl) }, detectionBound, pollInterval).Should(Equal(0))
		bed.Log.Set(fakes.Faults{})
		eventuallyComplete(a, 1)
	})

	It("get no control orders from a daemon that starts while the log is unavailable", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 4, engineOptions(false))
		daemons := bed.StartDaemons(nil, north, north)
		version := bed.Publish(0, testbed.SampleConfig(1, north))
		first := eventuallyComplete(daemons[0], 1)[0]
		daemons[1].Kill()
		bed.Log.Set(fakes.Faults{Down: true})
		orders := countEvents(bed, fakes.EventControl)
		b := bed.Replace(daemons[1])
		Eventually(func() infra.Offset { status, _ := b.Status(); return status.ConfigVersion }, meshTimeout, pollInterval).Should(Equal(version))
		Consistently(func() int { return countEvents(bed, fakes.EventControl) }, detectionBound, pollInterval).Should(Equal(orders))
		bed.Log.Set(fakes.Faults{})
		Expect(eventuallyComplete(b, 1)[0].Fencing).To(Equal(first.Fencing))
		Expect(ledger(bed).GrantedGroups()).To(Equal(1))
	})

	It("keep serving when the VM list omits members or has wrong addresses", func() {
		bed := testbed.New()
		engines := bed.AddEngines(north, "north-a", 5, engineOptions(true))
		a := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(2, north))
		groups := eventuallyComplete(a, 2)
		load := startTraffic(a)
		Eventually(load.answered.Load, repairTimeout, pollInterval).Should(BeNumerically(">", 20))
		wrongEntry := bed.Engines[groups[1].Members[1]].VM(north, "north-a")
		wrongEntry.Address = engines[4].Server.Address()
		bed.VMList.Remove(groups[0].Members[0])
		bed.VMList.Remove(groups[0].Members[1])
		bed.VMList.Put(wrongEntry)
		failed := load.failed.Load()
		time.Sleep(outage)
		load.stop()
		Expect(load.failed.Load()).To(Equal(failed))
		Expect(ledger(bed).GrantedGroups()).To(Equal(2))
		expectNoViolation(newCheck(bed))
	})

	It("are not changed by a daemon that has no configuration", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, engineOptions(true))
		a := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(1, north))
		eventuallyComplete(a, 1)
		a.Kill()
		bed.Log.Truncate(config.StreamName, infra.FirstOffset)
		bed.StartDaemon(north, nil)
		Consistently(func() []logstream.Kind { return recordKinds(bed) }, detectionBound, pollInterval).Should(Equal([]logstream.Kind{group.KindForm, group.KindReady}))
	})

	It("are restored from a snapshot by daemons that missed expired records", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 3, engineOptions(true))
		frequentSnapshots := func(s *settings.Settings) { s.Timing.SnapshotAgeMS = 300 }
		a := bed.StartDaemon(north, frequentSnapshots)
		b := bed.StartDaemon(north, frequentSnapshots)
		bed.Publish(0, testbed.SampleConfig(1, north))
		first := eventuallyComplete(a, 1)[0]
		Expect(eventuallyComplete(b, 1)[0].Fencing).To(Equal(first.Fencing)) // else b may count no group complete only because it has none yet
		a.Latch.Cut(testbed.SideLog)
		bed.Engines[first.Members[1]].Kill()
		Eventually(func() int { return completeGroups(b) }, repairTimeout, pollInterval).Should(Equal(0))
		second := eventuallyComplete(b, 1)[0]
		Expect(second.Fencing).NotTo(Equal(first.Fencing))
		Eventually(func() []logstream.Kind { return afterLastReady(recordKinds(bed)) }, repairTimeout, pollInterval).Should(ContainElement(logstream.KindSnapshot))
		all := recordKinds(bed)
		expired := len(all) - len(afterLastReady(all))
		bed.Log.Expire(group.StreamName(north), infra.FirstOffset+infra.Offset(expired))
		a.Latch.Mend(testbed.SideLog)
		c := bed.StartDaemon(north, frequentSnapshots)
		for _, d := range []*testbed.Daemon{a, b, c} {
			Expect(eventuallyComplete(d, 1)[0].Fencing).To(Equal(second.Fencing))
		}
	})

	It("are repaired by the only running daemon while its peers are frozen", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 3, engineOptions(true))
		daemons := bed.StartDaemons(nil, north, north, north)
		bed.Publish(0, testbed.SampleConfig(1, north))
		members := eventuallyComplete(daemons[2], 1)[0].Members
		daemons[0].Latch.Freeze()
		daemons[1].Latch.Freeze()
		bed.Engines[members[1]].Kill()
		Eventually(func() int { return completeGroups(daemons[2]) }, repairTimeout, pollInterval).Should(Equal(0))
		eventuallyComplete(daemons[2], 1)
		daemons[0].Latch.Thaw()
		daemons[1].Latch.Thaw()
		eventuallyComplete(daemons[0], 1)
		Expect(ledger(bed).GrantedGroups()).To(Equal(2))
		expectNoViolation(newCheck(bed))
	})
})

// afterLastReady returns the kinds after the last ready record.
func afterLastReady(kinds []logstream.Kind) []logstream.Kind {
	for i := len(kinds) - 1; i >= 0; i-- {
		if kinds[i] == group.KindReady {
			return kinds[i+1:]
		}
	}
	return nil
}

// recordKinds returns the kinds of the records of the group stream.
func recordKinds(bed *testbed.Bed) []logstream.Kind {
	var kinds []logstream.Kind
	for _, record := range bed.Log.Records(group.StreamName(north)) {
		var entry logstream.Entry
		Expect(logstream.Unmarshal(record.Data, &entry)).To(Succeed())
		kinds = append(kinds, entry.Kind)
	}
	return kinds
}
