package group_test

import (
	"maps"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

// run advances the time by d in steps of 1 s, during which the silent VMs do not
// report, and applies the plan of each step.
func (w *world) run(d time.Duration, silent ...fleet.VMID) {
	for range int(d / time.Second) {
		w.advance(time.Second, silent...)
		w.apply(group.MakePlan(w.Input), false)
	}
}

var _ = Describe("The planner", func() {
	It("spreads a model over fabric domains", func() {
		w := newWorld([]config.Model{model("m", 2, 3, 1)}, map[fleet.FabricDomain]int{"a": 8, "b": 4, "c": 2})
		w.settle()
		domains := map[fleet.FabricDomain]int{}
		for _, record := range w.Fold.Groups() {
			domains[record.FabricDomain]++
		}
		Expect(domains).To(Equal(map[fleet.FabricDomain]int{"a": 1, "b": 1, "c": 1}))
	})

	It("loads a replacement for a suspended group and keeps whichever is complete first", func() {
		w := newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 4})
		w.settle()
		first := w.groupOf("m")
		w.run(4*time.Second, first.Members[1])
		Expect(w.Fold.Groups()).To(HaveLen(2))
		w.run(time.Second) // the member reports again
		Expect(w.Fold.Groups()).To(HaveLen(1))
		Expect(w.groupOf("m").Fencing).To(Equal(first.Fencing))
	})

	It("releases a suspended group after its grace period, and only if its VMs then form a group", func() {
		w := newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 2, "b": 1})
		w.settle()
		first := w.groupOf("m")
		w.run(time.Minute, first.Members[1])
		Expect(w.Fold.Groups()).To(HaveKey(first.Fencing)) // the spare is in another domain

		w = newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 3})
		w.settle()
		first = w.groupOf("m")
		w.run(5*time.Second, first.Members[1])
		Expect(w.Fold.Groups()).To(HaveKey(first.Fencing))
		w.run(4*time.Second, first.Members[1])
		Expect(w.Fold.Groups()).NotTo(HaveKey(first.Fencing))
		Expect(w.Fold.Groups()).To(HaveLen(1))
	})

	It("preempts a group of a lower cost rate for one of a higher rate, and never the reverse", func() {
		models := []config.Model{model("low", 2, 1, 1), model("high", 2, 1, 5)}
		w := newWorld(models, map[fleet.FabricDomain]int{"a": 4})
		w.settle()
		lost := w.groupOf("high").Members
		low := w.groupOf("low").Fencing
		w.run(150*time.Second, lost...)
		Expect(w.Fold.Groups()).NotTo(HaveKey(low))
		Expect(w.groupOf("low")).To(BeNil())

		w = newWorld(models, map[fleet.FabricDomain]int{"a": 4})
		w.settle()
		high := w.groupOf("high").Fencing
		w.run(5*time.Minute, w.groupOf("low").Members...)
		Expect(w.Fold.Groups()).To(HaveKey(high))
	})

	It("preempts no second group while the VMs of the first are about to become free", func() {
		models := []config.Model{model("low", 4, 3, 0.5), model("high", 4, 1, 5)}
		w := newWorld(models, map[fleet.FabricDomain]int{"a": 4, "b": 4, "c": 4, "d": 4})
		w.settle()
		before := maps.Clone(w.Fold.Groups())
		w.run(150*time.Second, w.groupOf("high").Members[1:]...)
		kept := 0
		for fencing, record := range before {
			if _, ok := w.Fold.Groups()[fencing]; ok && record.Model == "low" {
				kept++
			}
		}
		Expect(kept).To(Equal(2))
	})

	It("assigns the last VMs by the configured weights", func() {
		models := []config.Model{model("valued", 2, 1, 3), model("large", 4, 1, 1)}
		for _, c := range []struct {
			policy config.Policy
			want   fleet.ModelName
		}{
			{config.Policy{DowntimeWeight: 1, StrandedWeight: 0}, "valued"},
			{config.Policy{DowntimeWeight: 0.001, StrandedWeight: 1}, "large"},
		} {
			w := newWorld(models, map[fleet.FabricDomain]int{"a": 4})
			w.Config.Policy = c.policy
			w.settle()
			w.run(80 * time.Second)
			w.settle()
			Expect(w.groupOf(c.want)).NotTo(BeNil(), string(c.want))
		}
	})

	It("limits the VMs that load concurrently, and loads the model with the highest cost rate first", func() {
		w := newWorld([]config.Model{model("low", 2, 2, 1), model("high", 2, 2, 5)}, map[fleet.FabricDomain]int{"a": 8})
		w.Config.Policy.LoadingVMs = 4
		w.advance(time.Second)
		plan := group.MakePlan(w.Input)
		Expect(plan.Forms).To(HaveLen(2))
		Expect(plan.Forms).To(HaveEach(HaveField("Model", fleet.ModelName("high"))))
	})

	It("replaces a group with a flapping member only once the replacement serves", func() {
		w := newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 4})
		w.settle()
		first := w.groupOf("m")
		flapping := first.Members[1]
		for range 3 {
			w.run(4*time.Second, flapping)
			w.run(3 * time.Second)
		}
		Expect(w.complete()["v1"]).To(Equal(1))
		Expect(w.Fold.Groups()).To(HaveLen(2)) // the replacement is loading
		for range 10 {
			w.advance(time.Second)
			for id := range w.World.Observations {
				w.report(id, func(r *fleet.MemberReport) {
					if r.State == fleet.EngineLoading {
						r.State = fleet.EngineReady
					}
				})
			}
			w.apply(group.MakePlan(w.Input), true)
			Expect(w.complete()["v1"]).To(BeNumerically(">=", 1))
		}
		Expect(w.groupOf("m").Members).NotTo(ContainElement(flapping))
	})

	It("rolls out a version without dropping below the configured number of groups if there are spare VMs", func() {
		w := newWorld([]config.Model{model("m", 2, 3, 1)}, map[fleet.FabricDomain]int{"a": 8})
		w.settle()
		w.Config.Models[0].Version = "v2"
		for range 60 {
			w.advance(time.Second)
			w.apply(group.MakePlan(w.Input), true)
			complete := w.complete()
			Expect(complete["v1"] + complete["v2"]).To(BeNumerically(">=", 3))
		}
		Expect(w.complete()).To(Equal(map[string]int{"v2": 3}))
	})

	It("rolls out adapters one group at a time if there are no spare VMs", func() {
		w := newWorld([]config.Model{model("m", 2, 3, 1)}, map[fleet.FabricDomain]int{"a": 6})
		w.settle()
		w.Config.Models[0].Adapters = []string{"paper"}
		for range 90 {
			w.advance(time.Second)
			w.apply(group.MakePlan(w.Input), true)
			Expect(w.complete()["v1"]).To(BeNumerically(">=", 2))
		}
		for _, record := range w.Fold.Groups() {
			Expect(record.Adapters).To(ConsistOf("paper"))
		}
		Expect(w.complete()["v1"]).To(Equal(3))
	})

	It("assigns no VM that is leaving", func() {
		w := newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 2})
		vm := w.World.VMs["a-001"]
		vm.Leaving = true
		w.World.VMs["a-001"] = vm
		w.advance(time.Second)
		Expect(group.MakePlan(w.Input).Forms).To(BeEmpty())
	})

	It("assigns no VM that reports a group unknown to the fold", func() {
		w := newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 2})
		w.report("a-001", func(r *fleet.MemberReport) { r.Group, r.State = 77, fleet.EngineReady })
		w.advance(time.Second)
		Expect(group.MakePlan(w.Input).Forms).To(BeEmpty())
	})
})
