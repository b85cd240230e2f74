package watch

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/peer"
)

var _ = Describe("Daemons that share observations", func() {
	const vm = fleet.VMID("vm-003")
	var engines *engines
	var nodes []*node

	start := func(count int) {
		engines = newEngines(12)
		nodes = startNodes(GinkgoTB(), engines, count, testPeriod, testBound)
		awaitFresh(nodes, testBound)
	}

	It("poll each member twice a period for any number of daemons, and keep all observations fresh", func() {
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

	It("detect a restart at the same address, a change of group and a failure", func() {
		start(5)
		engines.update(string(vm), func(r *fleet.MemberReport) { r.Boot = "boot-2" })
		for _, n := range nodes {
			Eventually(func() fleet.BootID { return n.observation(vm).Report.Boot }, eventualTimeout, checkInterval).Should(Equal(fleet.BootID("boot-2")))
		}
		engines.update(string(vm), func(r *fleet.MemberReport) { r.Group = 8 })
		for _, n := range nodes {
			Eventually(func() fleet.FencingNumber { return n.observation(vm).Report.Group }, eventualTimeout, checkInterval).Should(Equal(fleet.FencingNumber(8)))
		}
		engines.setDead(string(vm), true)
		for _, n := range nodes {
			Eventually(func() bool { return n.observation(vm).Failed }, eventualTimeout, checkInterval).Should(BeTrue())
		}
		engines.setDead(string(vm), false)
		for _, n := range nodes {
			Eventually(func() bool { return n.observation(vm).Fresh(time.Now(), testBound) }, eventualTimeout, checkInterval).Should(BeTrue())
		}
	})

	It("share the load of members", func() {
		start(4)
		engines.update(string(vm), func(r *fleet.MemberReport) { r.Running, r.Waiting = 5, 2 })
		for _, n := range nodes {
			Eventually(func() int { return n.observation(vm).Report.Running }, eventualTimeout, checkInterval).Should(Equal(5))
			Eventually(func() int { return n.observation(vm).Report.Waiting }, eventualTimeout, checkInterval).Should(Equal(2))
		}
	})

	It("keep a member that its watchers cannot reach while others can, and mark it failed when nobody can", func() {
		start(5)
		watchers, others := watchersOf(nodes, vm)
		Expect(watchers).To(HaveLen(2))
		changes := map[*node]int64{}
		for _, n := range nodes {
			changes[n] = n.changes.Load()
		}
		engines.setUnreachable(watchers[0].id, string(vm), true)
		Consistently(func() bool {
			for _, n := range nodes {
				if !n.observation(vm).Fresh(time.Now(), testBound) {
					return false
				}
			}
			return true
		}, 3*testBound, checkInterval).Should(BeTrue())
		for _, n := range nodes {
			Expect(n.changes.Load()).To(Equal(changes[n]), "no daemon marked the member as failed, even briefly")
		}
		engines.setUnreachable(watchers[1].id, string(vm), true)
		fresh := func() bool {
			return !slices.ContainsFunc(nodes, func(n *node) bool { return !n.observation(vm).Fresh(time.Now(), testBound) })
		}
		Eventually(func() bool { return others[0].table.ReachedHere(vm) }, eventualTimeout, checkInterval).Should(BeTrue())
		Eventually(fresh, testBound, checkInterval).Should(BeTrue())
		Consistently(fresh, 3*testBound, checkInterval).Should(BeTrue(), "daemons that reach the member speak for it")
		for _, n := range others {
			engines.setUnreachable(n.id, string(vm), true)
		}
		for _, n := range nodes {
			Eventually(func() bool { return n.observation(vm).Failed }, eventualTimeout, checkInterval).Should(BeTrue())
		}
	})

	It("rarely poll a dead member that they do not watch", func() {
		start(6)
		_, others := watchersOf(nodes, vm)
		engines.setDead(string(vm), true)
		time.Sleep(2 * testBound)
		before := 0
		for _, n := range others {
			before += engines.pollsBy(n.id, string(vm))
		}
		const bounds = 6
		time.Sleep(bounds * testBound)
		polls := 0
		for _, n := range others {
			polls += engines.pollsBy(n.id, string(vm))
		}
		Expect(polls - before).To(BeNumerically("<=", (bounds/secondOpinionBounds+1)*len(others)))
	})

	It("use the report of the watcher that reaches a restarted member, not of the one that cannot", func() {
		start(5)
		watchers, _ := watchersOf(nodes, vm)
		engines.setUnreachable(watchers[0].id, string(vm), true)
		engines.update(string(vm), func(r *fleet.MemberReport) { r.Boot = "boot-2" })
		for _, n := range nodes {
			Eventually(func() fleet.BootID { return n.observation(vm).Report.Boot }, eventualTimeout, checkInterval).Should(Equal(fleet.BootID("boot-2")))
		}
		Consistently(func() fleet.BootID { return watchers[0].observation(vm).Report.Boot }, testBound, checkInterval).Should(Equal(fleet.BootID("boot-2")))
	})

	It("take over from killed watchers before any observation expires", func() {
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
		}, 4*testBound, checkInterval).Should(BeZero())
	})

	It("take over from watchers that are connected but have stopped polling", func() {
		start(5)
		watchers, others := watchersOf(nodes, vm)
		for _, n := range watchers {
			n.stop()
		}
		Consistently(func() bool {
			for _, n := range others {
				if !n.observation(vm).Fresh(time.Now(), testBound) {
					return false
				}
			}
			return true
		}, 4*testBound, checkInterval).Should(BeTrue())
	})

	It("immediately poll a member that the other watcher could not reach", func() {
		engines = newEngines(4)
		nodes = startNodes(GinkgoTB(), engines, 2, time.Minute, 2*time.Minute)
		for i, n := range nodes {
			other := nodes[1-i]
			Eventually(func() int { return n.stale(time.Minute) }, eventualTimeout, checkInterval).Should(BeZero())
			Eventually(n.mesh.Live, eventualTimeout, checkInterval).Should(HaveLen(2))
			Eventually(func() bool {
				_, known := n.mesh.EarliestTime(other.id, other.mesh.Now())
				return known
			}, eventualTimeout, checkInterval).Should(BeTrue())
		}
		polls := engines.pollsBy(nodes[1].id, string(vm))
		engines.setDead(string(vm), true)
		nodes[0].poller.Hint(engines.vms()[vm])
		Eventually(func() int { return engines.pollsBy(nodes[1].id, string(vm)) }, eventualTimeout, checkInterval).Should(BeNumerically(">", polls))
		for _, n := range nodes {
			Eventually(func() bool { return n.observation(vm).Failed }, eventualTimeout, checkInterval).Should(BeTrue())
		}
		polls = engines.pollsBy(nodes[1].id, string(vm))
		nodes[0].table.RecordRequestFailure(vm, time.Now())
		Eventually(func() int { return engines.pollsBy(nodes[1].id, string(vm)) }, eventualTimeout, checkInterval).Should(BeNumerically(">", polls), "a request of the other daemon failed")
	})

	It("poll all members when partitioned from every peer", func() {
		start(4)
		for _, n := range nodes[1:] {
			n.kill()
		}
		Consistently(func() int { return nodes[0].stale(testBound) }, 4*testBound, checkInterval).Should(BeZero())
		Expect(nodes[0].assignment.Assigned()).To(HaveLen(12))
	})

	It("recover from a lost change message", func() {
		start(3)
		watchers, others := watchersOf(nodes, vm)
		Expect(others).To(HaveLen(1))
		others[0].dropChanges.Store(true)
		polls := engines.pollsBy(others[0].id, string(vm))
		engines.update(string(vm), func(r *fleet.MemberReport) { r.Group = 9 })
		for _, n := range watchers {
			Eventually(func() fleet.FencingNumber { return n.observation(vm).Report.Group }, eventualTimeout, checkInterval).Should(Equal(fleet.FencingNumber(9)))
		}
		Eventually(func() fleet.FencingNumber { return others[0].observation(vm).Report.Group }, eventualTimeout, checkInterval).Should(Equal(fleet.FencingNumber(9)))
		Expect(engines.pollsBy(others[0].id, string(vm))).To(Equal(polls), "it fetched the list from a peer and did not poll the member")
	})

	It("never date an observation later than the poll that made it", func() {
		start(4)
		for _, n := range nodes {
			n.messageDelay.Store(int64(testBound / 2))
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

	It("mark a member as failed after a failed request until its watchers have polled it", func() {
		start(5)
		_, others := watchersOf(nodes, vm)
		polls := engines.pollCount()
		changes := others[0].changes.Load()
		others[0].table.RecordRequestFailure(vm, time.Now())
		Eventually(others[0].changes.Load, eventualTimeout, checkInterval).Should(Equal(changes+2), "failed, then fresh")
		Expect(others[0].observation(vm).Failed).To(BeFalse())
		Expect(engines.pollCount()).To(BeNumerically(">", polls))
		Expect(others[1].observation(vm).Failed).To(BeFalse())

		engines.setUnreachable(others[0].id, string(vm), true)
		others[0].table.RecordRequestFailure(vm, time.Now())
		Consistently(func() bool { return others[0].observation(vm).Failed }, testBound/2, checkInterval).Should(BeTrue())
		Expect(others[1].observation(vm).Failed).To(BeFalse())
	})
})

var _ = Describe("A digest message", func() {
	It("updates the age of each observation by its own poll, and the load", func() {
		start := time.Now()
		timestampAt := func(at time.Time) peer.Timestamp { return peer.Timestamp(at.Sub(start) / time.Millisecond) }
		atOf := func(timestamp peer.Timestamp) time.Time {
			return start.Add(time.Duration(timestamp) * time.Millisecond)
		}
		seen := func(vm fleet.VMID, at time.Duration, running int) listItem {
			item := listItem{vm: vm}
			item.state.lastSuccess = group.Observation{Report: fleet.MemberReport{VM: vm, Running: running}, At: start.Add(at)}
			return item
		}
		published := newPollList([]listItem{seen("a", 100*time.Millisecond, 0), seen("b", 100*time.Millisecond, 0), seen("c", 100*time.Millisecond, 0)})
		var remote remoteList
		_, removed := remote.apply(published.changeFrom(pollList{}, 150, timestampAt), atOf)
		Expect(removed).To(BeEmpty())

		later := newPollList([]listItem{seen("a", 210*time.Millisecond, 0), seen("b", 130*time.Millisecond, 0), seen("c", 205*time.Millisecond, 3)})
		message := later.digestMessage(start.Add(200*time.Millisecond), 250, timestampAt)
		same := remote.refresh(message, atOf)
		items := remote.items
		Expect(same).To(BeTrue())
		Expect(items[0].state.lastSuccess.At).To(Equal(start.Add(205 * time.Millisecond)))
		Expect(items[1].state.lastSuccess.At).To(Equal(start.Add(130 * time.Millisecond)))
		Expect(items[2].state.lastSuccess.At).To(Equal(start.Add(205 * time.Millisecond)))
		Expect(items[2].state.lastSuccess.Report.Running).To(Equal(3))

		later.items[0].state.lastSuccess.Report.Boot = "another"
		same = remote.refresh(newPollList(later.items).digestMessage(start, 300, timestampAt), atOf)
		Expect(same).To(BeFalse())
	})
})

var _ = Describe("An observation", func() {
	It("is marked failed after a failed request of this daemon, until a later own poll or the bound", func() {
		table := NewTable("self", time.Second, func(fleet.VMID, group.Observation) {}, func(fleet.VMID) {})
		t0 := time.Now()
		seen := func(at time.Duration) group.Observation {
			return group.Observation{Report: fleet.MemberReport{VM: "vm"}, At: t0.Add(at)}
		}
		failed := func() bool { return table.All()["vm"].Failed }
		table.RecordSuccess("other", seen(0), t0)
		table.RecordRequestFailure("vm", t0.Add(100*time.Millisecond))
		Expect(failed()).To(BeTrue())
		table.RecordSuccess("other", seen(1099*time.Millisecond), t0)
		Expect(failed()).To(BeTrue(), "this daemon may be the one that cannot reach the member")
		table.RecordSuccess("other", seen(1100*time.Millisecond), t0)
		Expect(failed()).To(BeFalse())
		table.RecordRequestFailure("vm", t0.Add(1200*time.Millisecond))
		Expect(failed()).To(BeTrue())
		table.RecordSuccess("self", seen(1201*time.Millisecond), t0)
		Expect(failed()).To(BeFalse())
	})

	It("is invalidated by a later failed poll of the same observer, regardless of earlier successes of others", func() {
		table := NewTable("self", time.Second, func(fleet.VMID, group.Observation) {}, func(fleet.VMID) {})
		t0 := time.Now()
		seen := func(at time.Time) group.Observation {
			return group.Observation{Report: fleet.MemberReport{VM: "vm"}, At: at}
		}
		see := func() group.Observation { return table.All()["vm"] }
		table.RecordSuccess("one", seen(t0), t0)
		table.RecordSuccess("other", seen(t0.Add(400*time.Millisecond)), t0)
		table.RecordFailure("other", "vm", t0.Add(900*time.Millisecond), t0)
		Expect(see().Failed).To(BeFalse())
		Expect(see().At).To(Equal(t0), "only the success of the other observer still counts")
		table.RecordFailure("other", "vm", t0.Add(1100*time.Millisecond), t0)
		Expect(see().Failed).To(BeTrue(), "that success has expired")
		table.RecordSuccess("one", seen(t0.Add(1200*time.Millisecond)), t0)
		Expect(see().Failed).To(BeFalse())
		table.RecordFailure("one", "vm", t0.Add(1300*time.Millisecond), t0)
		Expect(see().Failed).To(BeTrue())
		table.RecordSuccess("other", seen(t0.Add(1250*time.Millisecond)), t0)
		Expect(see().Failed).To(BeFalse(), "the observers disagree")
	})
})
