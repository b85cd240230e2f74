package watch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/peer"
)

var _ = Describe("Daemons that watch together", func() {
	const vm = fleet.VMID("vm-003")
	var engines *engines
	var nodes []*node

	start := func(count int) {
		engines = newEngines(12)
		nodes = startNodes(GinkgoTB(), engines, count, testPeriod, testBound)
		awaitFresh(nodes, testBound)
	}

	It("poll each member twice a period, however many they are, and keep all fresh", func() {
		for _, count := range []int{2, 4, 6} {
			start(count)
			const periods = 10
			before := engines.pollCount()
			for range periods {
				for _, n := range nodes {
					Expect(n.stale(testBound)).To(BeZero())
				}
				time.Sleep(testPeriod)
			}
			polls := float64(engines.pollCount() - before)
			Expect(polls / (12 * periods)).To(BeNumerically("~", watchersPerMember, 0.7))
		}
	})

	It("learn of a restart under the same address, of a move and of a death", func() {
		start(5)
		engines.update(string(vm), func(r *fleet.MemberReport) { r.Boot = "boot-2" })
		for _, n := range nodes {
			Eventually(func() fleet.BootID { return n.see(vm).Report.Boot }, waitLong, pollOften).Should(Equal(fleet.BootID("boot-2")))
		}
		engines.update(string(vm), func(r *fleet.MemberReport) { r.Group = 8 })
		for _, n := range nodes {
			Eventually(func() fleet.FencingNumber { return n.see(vm).Report.Group }, waitLong, pollOften).Should(Equal(fleet.FencingNumber(8)))
		}
		engines.setDead(string(vm), true)
		for _, n := range nodes {
			Eventually(func() bool { return n.see(vm).Failed }, waitLong, pollOften).Should(BeTrue())
		}
		engines.setDead(string(vm), false)
		for _, n := range nodes {
			Eventually(func() bool { return n.see(vm).Fresh(time.Now(), testBound) }, waitLong, pollOften).Should(BeTrue())
		}
	})

	It("pass on the load of members", func() {
		start(4)
		engines.update(string(vm), func(r *fleet.MemberReport) { r.Running, r.Waiting = 5, 2 })
		for _, n := range nodes {
			Eventually(func() int { return n.see(vm).Report.Running }, waitLong, pollOften).Should(Equal(5))
			Eventually(func() int { return n.see(vm).Report.Waiting }, waitLong, pollOften).Should(Equal(2))
		}
	})

	It("keep a member that one watcher cannot reach, and lose it when the other cannot either", func() {
		start(5)
		watchers, _ := watchersOf(nodes, vm)
		Expect(watchers).To(HaveLen(2))
		changes := map[*node]int64{}
		for _, n := range nodes {
			changes[n] = n.changes.Load()
		}
		engines.setCut(watchers[0].id, string(vm), true)
		Consistently(func() bool {
			for _, n := range nodes {
				if !n.see(vm).Fresh(time.Now(), testBound) {
					return false
				}
			}
			return true
		}, 3*testBound, pollOften).Should(BeTrue())
		for _, n := range nodes {
			Expect(n.changes.Load()).To(Equal(changes[n]), "no daemon took the member for gone, even for a moment")
		}
		engines.setCut(watchers[1].id, string(vm), true)
		for _, n := range nodes {
			Eventually(func() bool { return n.see(vm).Failed }, waitLong, pollOften).Should(BeTrue())
		}
	})

	It("believe the watcher that reaches a restarted member, not the one that is cut off from it", func() {
		start(5)
		watchers, _ := watchersOf(nodes, vm)
		engines.setCut(watchers[0].id, string(vm), true)
		engines.update(string(vm), func(r *fleet.MemberReport) { r.Boot = "boot-2" })
		for _, n := range nodes {
			Eventually(func() fleet.BootID { return n.see(vm).Report.Boot }, waitLong, pollOften).Should(Equal(fleet.BootID("boot-2")))
		}
		Consistently(func() fleet.BootID { return watchers[0].see(vm).Report.Boot }, testBound, pollOften).Should(Equal(fleet.BootID("boot-2")))
	})

	It("take over from watchers that are killed, without a gap", func() {
		start(5)
		watchers, others := watchersOf(nodes, vm)
		for _, n := range watchers {
			n.kill()
		}
		Consistently(func() int {
			stale := 0
			for _, n := range others {
				stale += n.stale(testBound)
			}
			return stale
		}, 4*testBound, pollOften).Should(BeZero())
	})

	It("take over from watchers that are linked but poll no more", func() {
		start(5)
		watchers, others := watchersOf(nodes, vm)
		for _, n := range watchers {
			n.stop()
		}
		Consistently(func() bool {
			for _, n := range others {
				if !n.see(vm).Fresh(time.Now(), testBound) {
					return false
				}
			}
			return true
		}, 4*testBound, pollOften).Should(BeTrue())
	})

	It("poll a member at once that the other watcher could not reach", func() {
		engines = newEngines(4)
		nodes = startNodes(GinkgoTB(), engines, 2, time.Minute, 2*time.Minute)
		for i, n := range nodes {
			other := nodes[1-i]
			Eventually(func() int { return n.stale(time.Minute) }, waitLong, pollOften).Should(BeZero())
			Eventually(n.mesh.Live, waitLong, pollOften).Should(HaveLen(2))
			Eventually(func() bool {
				_, known := n.mesh.Earliest(other.id, other.mesh.Stamp())
				return known
			}, waitLong, pollOften).Should(BeTrue())
		}
		polls := engines.pollsBy(nodes[1].id, string(vm))
		engines.setDead(string(vm), true)
		nodes[0].poller.Hint(engines.vms()[vm])
		Eventually(func() int { return engines.pollsBy(nodes[1].id, string(vm)) }, waitLong, pollOften).Should(BeNumerically(">", polls))
		for _, n := range nodes {
			Eventually(func() bool { return n.see(vm).Failed }, waitLong, pollOften).Should(BeTrue())
		}
		polls = engines.pollsBy(nodes[1].id, string(vm))
		nodes[0].table.Fail(vm, time.Now())
		Eventually(func() int { return engines.pollsBy(nodes[1].id, string(vm)) }, waitLong, pollOften).Should(BeNumerically(">", polls), "a failed request of the other daemon")
	})

	It("poll all members themselves when cut off from every peer", func() {
		start(4)
		for _, n := range nodes[1:] {
			n.kill()
		}
		Consistently(func() int { return nodes[0].stale(testBound) }, 4*testBound, pollOften).Should(BeZero())
		Expect(nodes[0].duty.Watched()).To(HaveLen(12))
	})

	It("hear of a change though the message that told it was lost", func() {
		start(3)
		watchers, others := watchersOf(nodes, vm)
		Expect(others).To(HaveLen(1))
		others[0].deaf.Store(true)
		polls := engines.pollsBy(others[0].id, string(vm))
		engines.update(string(vm), func(r *fleet.MemberReport) { r.Group = 9 })
		for _, n := range watchers {
			Eventually(func() fleet.FencingNumber { return n.see(vm).Report.Group }, waitLong, pollOften).Should(Equal(fleet.FencingNumber(9)))
		}
		Eventually(func() fleet.FencingNumber { return others[0].see(vm).Report.Group }, waitLong, pollOften).Should(Equal(fleet.FencingNumber(9)))
		Expect(engines.pollsBy(others[0].id, string(vm))).To(Equal(polls), "it asked its peers, not the member")
	})

	It("never see a member younger than the poll that brought its report", func() {
		start(4)
		for _, n := range nodes {
			n.late.Store(int64(testBound / 2))
		}
		time.Sleep(testBound)
		for _, n := range nodes {
			n.stop()
		}
		time.Sleep(testBound)
		polls := engines.lastPolls()
		Expect(polls).To(HaveLen(12))
		for _, n := range nodes {
			for id, observation := range n.table.All() {
				Expect(observation.At).NotTo(BeTemporally(">", polls[string(id)]))
			}
		}
	})

	It("doubt a member whose request failed until its watchers have polled it", func() {
		start(5)
		_, others := watchersOf(nodes, vm)
		polls := engines.pollCount()
		changes := others[0].changes.Load()
		others[0].table.Fail(vm, time.Now())
		Eventually(others[0].changes.Load, waitLong, pollOften).Should(Equal(changes+2), "doubted, then proved")
		Expect(others[0].see(vm).Failed).To(BeFalse())
		Expect(engines.pollCount()).To(BeNumerically(">", polls))
		Expect(others[1].see(vm).Failed).To(BeFalse())

		engines.setCut(others[0].id, string(vm), true)
		others[0].table.Fail(vm, time.Now())
		Consistently(func() bool { return others[0].see(vm).Failed }, testBound/2, pollOften).Should(BeTrue())
		Expect(others[1].see(vm).Failed).To(BeFalse())
	})
})

var _ = Describe("A digest", func() {
	It("brings each observation with the age of its own poll, and the load", func() {
		start := time.Now()
		stampAt := func(at time.Time) peer.Stamp { return peer.Stamp(at.Sub(start) / time.Millisecond) }
		atOf := func(stamp peer.Stamp) time.Time { return start.Add(time.Duration(stamp) * time.Millisecond) }
		seen := func(vm fleet.VMID, at time.Duration, running int) ownItem {
			item := ownItem{vm: vm}
			item.opinion.seen = group.Observation{Report: fleet.MemberReport{VM: vm, Running: running}, At: start.Add(at)}
			return item
		}
		told := newOwnList([]ownItem{seen("a", 100*time.Millisecond, 0), seen("b", 100*time.Millisecond, 0), seen("c", 100*time.Millisecond, 0)})
		var remote remoteList
		_, removed := remote.apply(told.changeFrom(ownList{}, 150, stampAt), atOf)
		Expect(removed).To(BeEmpty())

		later := newOwnList([]ownItem{seen("a", 210*time.Millisecond, 0), seen("b", 130*time.Millisecond, 0), seen("c", 205*time.Millisecond, 3)})
		message := later.alive(start.Add(200*time.Millisecond), 250, stampAt)
		same := remote.refresh(message, atOf)
		items := remote.items
		Expect(same).To(BeTrue())
		Expect(items[0].opinion.seen.At).To(Equal(start.Add(205 * time.Millisecond)))
		Expect(items[1].opinion.seen.At).To(Equal(start.Add(130 * time.Millisecond)))
		Expect(items[2].opinion.seen.At).To(Equal(start.Add(205 * time.Millisecond)))
		Expect(items[2].opinion.seen.Report.Running).To(Equal(3))

		later.items[0].opinion.seen.Report.Boot = "another"
		same = remote.refresh(newOwnList(later.items).alive(start, 300, stampAt), atOf)
		Expect(same).To(BeFalse())
	})
})

var _ = Describe("An observation", func() {
	It("is doubted after an own request failed, until an own poll or the bound", func() {
		table := NewTable("self", time.Second, func(fleet.VMID, group.Observation) {}, func(fleet.VMID) {})
		t0 := time.Now()
		seen := func(at time.Duration) group.Observation {
			return group.Observation{Report: fleet.MemberReport{VM: "vm"}, At: t0.Add(at)}
		}
		failed := func() bool { return table.All()["vm"].Failed }
		table.Saw("other", seen(0), t0)
		table.Fail("vm", t0.Add(100*time.Millisecond))
		Expect(failed()).To(BeTrue())
		table.Saw("other", seen(1099*time.Millisecond), t0)
		Expect(failed()).To(BeTrue(), "this daemon may be the one that cannot reach it")
		table.Saw("other", seen(1100*time.Millisecond), t0)
		Expect(failed()).To(BeFalse())
		table.Fail("vm", t0.Add(1200*time.Millisecond))
		Expect(failed()).To(BeTrue())
		table.Saw("self", seen(1201*time.Millisecond), t0)
		Expect(failed()).To(BeFalse())
	})

	It("of an observer that failed since proves nothing, whatever others said before", func() {
		table := NewTable("self", time.Second, func(fleet.VMID, group.Observation) {}, func(fleet.VMID) {})
		t0 := time.Now()
		seen := func(at time.Time) group.Observation {
			return group.Observation{Report: fleet.MemberReport{VM: "vm"}, At: at}
		}
		see := func() group.Observation { return table.All()["vm"] }
		table.Saw("one", seen(t0), t0)
		table.Saw("other", seen(t0.Add(400*time.Millisecond)), t0)
		table.Missed("other", "vm", t0.Add(900*time.Millisecond), t0)
		Expect(see().Failed).To(BeFalse())
		Expect(see().At).To(Equal(t0), "only the other observer's success still counts")
		table.Missed("other", "vm", t0.Add(1100*time.Millisecond), t0)
		Expect(see().Failed).To(BeTrue(), "that success is too old by now")
		table.Saw("one", seen(t0.Add(1200*time.Millisecond)), t0)
		Expect(see().Failed).To(BeFalse())
		table.Missed("one", "vm", t0.Add(1300*time.Millisecond), t0)
		Expect(see().Failed).To(BeTrue())
		table.Saw("other", seen(t0.Add(1250*time.Millisecond)), t0)
		Expect(see().Failed).To(BeFalse(), "the observers differ")
	})
})
