package trace_test

import (
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/group/trace"
)

var _ = Describe("The planner on a held-out trace", func() {
	for _, t := range trace.HeldOut() {
		for _, u := range users {
			It(fmt.Sprintf("costs %s no more than either baseline: %s", u.name, t.Name), func() {
				policies := []trace.Policy{group.MakePlan, trace.ReplaceAtOnce, trace.WaitAlways}
				costs := make([]trace.Cost, len(policies))
				var runs sync.WaitGroup
				for i, policy := range policies {
					runs.Go(func() { costs[i] = trace.Run(t, u.weights, policy) })
				}
				runs.Wait()
				planner, replace, wait := costs[0].Weighted(u.weights), costs[1].Weighted(u.weights), costs[2].Weighted(u.weights)
				AddReportEntry("weighted cost", fmt.Sprintf("planner %.0f %+v, replace at once %.0f %+v, wait always %.0f %+v",
					planner, costs[0], replace, costs[1], wait, costs[2]))
				Expect(planner).To(BeNumerically("<=", worstRatio*min(replace, wait)))
			})
		}
	}
})
