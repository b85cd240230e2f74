package daemon_test

import (
	"cmp"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/rendezvous"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const groupStream = 1 // index of the group stream in a status

func nextGroupOffset(d *testbed.Daemon) infra.Offset {
	streams := statusOf(d).Streams
	if len(streams) <= groupStream {
		return 0
	}
	return streams[groupStream].Next
}

func completeGroupsOf(d *testbed.Daemon) []fleet.Group { return d.CompleteGroups(testbed.SampleModel) }

// eventuallyOneGroup waits until a daemon sees exactly one complete group and
// returns it.
func eventuallyOneGroup(d *testbed.Daemon) fleet.Group {
	var groups []fleet.Group
	EventuallyWithOffset(1, func() []fleet.Group {
		groups = completeGroupsOf(d)
		return groups
	}, eventuallyTimeout, pollInterval).Should(HaveLen(1))
	return groups[0]
}

// plannerRank returns 1 for the daemon that plans the groups, which needs
// access to the log, and 0 for others.
func plannerRank(d *testbed.Daemon) int {
	if rendezvous.Chosen("planner", statusOf(d).Peers, 1, statusOf(d).Daemon) {
		return 1
	}
	return 0
}

func ready(d *testbed.Daemon) func() bool { return func() bool { return statusOf(d).Ready } }

var _ = Describe("The groups of a daemon that starts while the log is unreachable", func() {
	var bed *testbed.Bed
	var daemons []*testbed.Daemon
	var first fleet.Group

	BeforeEach(func() {
		bed = testbed.New()
		bed.AddEngines("north", "north-a", 3, fakes.EngineOptions{ChecksFencing: true})
		daemons = bed.StartDaemons(nil, "north", "north", "north")
		bed.Publish(0, testbed.SampleConfig(1, "north"))
		for _, d := range daemons {
			first = eventuallyOneGroup(d)
			Eventually(func() int { return len(statusOf(d).Peers) }, eventuallyTimeout, pollInterval).Should(Equal(3))
		}
	})

	It("are taken from the peer with the highest log offset", func() {
		slices.SortFunc(daemons, func(a, b *testbed.Daemon) int { return cmp.Compare(plannerRank(b), plannerRank(a)) })
		ahead, behind := daemons[0], daemons[1]
		behind.Latch.Cut(testbed.SideLog)
		bed.Engines[first.Members[1]].Kill()
		before := nextGroupOffset(behind)
		Eventually(func() []fleet.Group { return completeGroupsOf(ahead) }, eventuallyTimeout, pollInterval).Should(BeEmpty())
		second := eventuallyOneGroup(ahead)
		bed.Log.Set(fakes.Faults{Down: true})
		daemons[2].Kill()
		started := bed.Replace(daemons[2])
		Eventually(ready(started), eventuallyTimeout, pollInterval).Should(BeTrue())
		Expect(nextGroupOffset(started)).To(Equal(nextGroupOffset(ahead)))
		Expect(nextGroupOffset(started)).To(BeNumerically(">", before))
		Expect(eventuallyOneGroup(started)).To(Equal(second))
	})

	It("are kept when the log comes back without them, but are no longer passed to other daemons", func() {
		bed.Log.Set(fakes.Faults{Down: true})
		daemons[2].Kill()
		started := bed.Replace(daemons[2])
		Eventually(ready(started), eventuallyTimeout, pollInterval).Should(BeTrue())
		Expect(eventuallyOneGroup(started)).To(Equal(first))
		bed.Log.Truncate(group.StreamName("north"), nextGroupOffset(started)-1)
		bed.Log.Set(fakes.Faults{})
		for _, d := range []*testbed.Daemon{daemons[0], daemons[1], started} {
			Eventually(func() []string { return statusOf(d).RefusedStreams }, eventuallyTimeout, pollInterval).ShouldNot(BeEmpty())
		}
		Expect(eventuallyOneGroup(started)).To(Equal(first))
		bed.Log.Set(fakes.Faults{Down: true})
		daemons[1].Kill()
		last := bed.Replace(daemons[1])
		Eventually(func() int { return len(statusOf(last).Peers) }, eventuallyTimeout, pollInterval).Should(Equal(3))
		Consistently(ready(last), 2*consistentlyPeriod, pollInterval).Should(BeFalse())
	})
})
