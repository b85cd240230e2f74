package placement_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// simSlowdown makes some groups slower for a time.
type simSlowdown struct {
	groups      []int
	factor      float64
	from, until time.Duration
	reportDelay time.Duration // from a change of the pace until dispatchers have the report
	reported    bool          // dispatchers have the reports
	measured    bool          // dispatchers measure the gaps of the streams of their own callers
}

// at returns the factor on the time of a group.
func (s *simSlowdown) at(group int, now time.Duration) float64 {
	if s == nil || now < s.from || now >= s.until || !slices.Contains(s.groups, group) {
		return 1
	}
	return s.factor
}

// knownPace returns what a dispatcher knows of the pace of a group. It is the daemon with the number of
// its data centre.
func (f *simulation) knownPace(d *simDispatcher, group int) (gap time.Duration, slowdown float64) {
	if f.slow == nil {
		return 0, 0
	}
	if f.slow.measured {
		gap = f.views[d.dataCentre][group].Meter.RecentGap(time.Unix(0, 0).Add(f.now))
	}
	if f.slow.reported {
		slowdown = f.slow.at(group, f.now-f.slow.reportDelay)
	}
	return gap, slowdown
}

const (
	simSlowFrom  = 4 * time.Second
	simSlowUntil = 12 * time.Second
)

// slowed makes groups of a load take 4 times as long for 8 s. The requests are counted that are sent
// from 1 s after the start of the slowdown on, until 2 s after its end.
func slowed(f *simulation, slow simSlowdown, groups ...int) *simulation {
	slow.groups, slow.factor, slow.from, slow.until = groups, 4, simSlowFrom, simSlowUntil
	f.slow, f.lost = &slow, nil
	f.measureFrom, f.measureUntil, f.duration = simSlowFrom+time.Second, simSlowUntil+2*time.Second, simSlowUntil+5*time.Second
	return f
}

var _ = Describe("Dispatchers of a model of which some groups become slow", func() {
	// Guards against requests that wait at slow groups of which the dispatchers have measured no stream.
	// Without reports, 0.96 and 0.92 of the requests are in time, all of them if dispatchers know at once.
	DescribeTable("answer as many requests in time by reports that come 0.6 s late as if they knew at once", func(load func(simSlowdown) *simulation) {
		inTime := func(name string, slow simSlowdown) float64 {
			return dispatchedSum(name, true, 1, func() *simulation { return load(slow) }).inTimeShare()
		}
		known := inTime("slowdown known at once", simSlowdown{reported: true})
		Expect(inTime("slowdown reported", simSlowdown{reported: true, measured: true, reportDelay: 600 * time.Millisecond})).To(BeNumerically(">", 0.99*known))
		Expect(inTime("slowdown measured only", simSlowdown{measured: true})).To(BeNumerically("<", 0.98*known), "the load tells the two apart")
	},
		Entry("two of twelve, the build farm's smaller model", func(slow simSlowdown) *simulation { return slowed(lostDataCentre(315), slow, 1, 6) }),
		Entry("one of six, the build farm's larger model", func(slow simSlowdown) *simulation { return slowed(twoPriorities(1), slow, 1) }),
	)
})
