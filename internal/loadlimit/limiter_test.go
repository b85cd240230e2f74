package loadlimit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/loadlimit"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

var _ = Describe("The loads that planners begin without word of each other", func() {
	const rounds = 200 * time.Millisecond
	limit := targetstats.SharePolicy{PerS: 5.5, Window: 5 * time.Second, Overshoot: 1.1, Slack: 3}
	most := int(limit.PerS*limit.Window.Seconds()*limit.Overshoot + limit.Slack)

	// play lets planners begin as many loads as they may for a minute, by virtual time. planning says
	// whether one plans at a time, and how many planners it then knows. It returns when loads began.
	play := func(daemons int, planning func(daemon int, at time.Duration) (plans bool, known int)) []time.Duration {
		limiters := make([]loadlimit.Limiter, daemons)
		epoch := time.Unix(1_700_000_000, 0)
		var began []time.Duration
		for at := time.Duration(0); at < time.Minute; at += rounds {
			for daemon := range limiters {
				plans, known := planning(daemon, at)
				limiters[daemon].Update(limit, known, plans, epoch.Add(at))
				for limiters[daemon].Allow(epoch.Add(at)) {
					began = append(began, at)
				}
			}
		}
		return began
	}
	busiest := func(began []time.Duration) int {
		found, first := 0, 0
		for last := range began {
			for began[last]-began[first] > limit.Window {
				first++
			}
			found = max(found, last-first+1)
		}
		return found
	}

	// Guards against planners that each have a few loads at hand besides their share.
	DescribeTable("keep the limit in every window, and use it", func(planners int) {
		began := play(planners, func(int, time.Duration) (bool, int) { return true, planners })
		Expect(busiest(began)).To(BeNumerically("<=", most))
		Expect(len(began)).To(BeNumerically(">=", int(0.85*limit.PerS*60)))
	}, Entry("one planner", 1), Entry("two", 2), Entry("three", 3), Entry("six", 6))

	It("keep the limit when another daemon begins to plan in the place of one, again and again", func() {
		began := play(4, func(daemon int, at time.Duration) (bool, int) {
			third := 2 + int(at/(2*time.Second))%2
			return daemon < 2 || daemon == third, 3
		})
		Expect(busiest(began)).To(BeNumerically("<=", most))
	})

	It("keep the limit while daemons learn at different times that there are more planners or fewer", func() {
		began := play(3, func(daemon int, at time.Duration) (bool, int) {
			late := time.Duration(daemon) * 400 * time.Millisecond
			if (at-late)/(8*time.Second)%2 == 1 {
				return daemon < 2, 2
			}
			return true, 3
		})
		Expect(busiest(began)).To(BeNumerically("<=", most))
	})
})
