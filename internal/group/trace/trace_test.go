package trace_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/group/trace"
)

// worstRatio is the maximum ratio of the planner's weighted cost to that of the
// cheaper baseline.
const worstRatio = 1.0

// user is one user with its weights per group second of downtime and per stranded
// accelerator second.
type user struct {
	name    string
	weights config.Policy
}

var users = []user{
	{"authority", config.Policy{DowntimeWeight: 1, StrandedWeight: 0.01}},
	{"muestrario", config.Policy{DowntimeWeight: 0.25, StrandedWeight: 0.05}},
}

var _ = Describe("The planner", func() {
	for _, t := range trace.Traces() {
		for _, u := range users {
			It(fmt.Sprintf("costs %s no more than either baseline: %s", u.name, t.Name), func() {
				planner := trace.Run(t, u.weights, group.MakePlan)
				replace := trace.Run(t, u.weights, trace.ReplaceAtOnce)
				wait := trace.Run(t, u.weights, trace.WaitAlways)
				AddReportEntry("weighted cost", fmt.Sprintf("planner %.0f %+v, replace at once %.0f %+v, wait always %.0f %+v",
					planner.Weighted(u.weights), planner, replace.Weighted(u.weights), replace, wait.Weighted(u.weights), wait))
				best := min(replace.Weighted(u.weights), wait.Weighted(u.weights))
				Expect(planner.Weighted(u.weights)).To(BeNumerically("<=", worstRatio*best))
			})
		}
	}

	// The same fault with the log available is the upper limit of what forming groups
	// without the log could gain.
	for _, t := range trace.LogOutages(30 * time.Minute) {
		It("adds no more downtime than the outage by waiting for the log: "+t.Name, func() {
			waiting := trace.Run(t, users[0].weights, group.MakePlan)
			outage := t.LogOutage.To - t.LogOutage.From
			t.LogOutage = trace.Span{}
			forming := trace.Run(t, users[0].weights, group.MakePlan)
			AddReportEntry("cost", fmt.Sprintf("%s: waiting %+v, forming at once %+v", t.Name, waiting, forming))
			Expect(waiting.Downtime - forming.Downtime).To(BeNumerically("<=", outage.Seconds()))
		})
	}

	It("has the same cost in each run", func() {
		for _, t := range trace.Traces()[:1] {
			Expect(trace.Run(t, users[0].weights, group.MakePlan)).To(Equal(trace.Run(t, users[0].weights, group.MakePlan)))
		}
	})
})
