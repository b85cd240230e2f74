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

// silence lets some members be silent, carrying out what is planned meanwhile.
func (w *world) silence(d time.Duration, silent ...fleet.VMID) {
	for range int(d / time.Second) {
		w.pass(time.Second, silent...)
		w.carryOut(group.MakePlan(w.Input), false)
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

	It("loads a successor beside a silent group and keeps whichever is complete first", func() {
		w := newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 4})
		w.settle()
		first := w.groupOf("m")
		w.silence(4*time.Second, first.Members[1])
		Expect(w.Fold.Groups()).To(HaveLen(2))
		w.silence(time.Second) // the member is back
		Expect(w.Fold.Groups()).To(HaveLen(1))
		Expect(w.groupOf("m").Fencing).To(Equal(first.Fencing))
	})

	It("takes a silent group apart after its patience, and only if that makes a group", func() {
		w := newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 2, "b": 1})
		w.settle()
		first := w.groupOf("m")
		w.silence(time.Minute, first.Members[1])
		Expect(w.Fold.Groups()).To(HaveKey(first.Fencing)) // the spare is in another domain

		w = newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 3})
		w.settle()
		first = w.groupOf("m")
		w.silence(5*time.Second, first.Members[1])
		Expect(w.Fold.Groups()).To(HaveKey(first.Fencing))
		w.silence(4*time.Second, first.Members[1])
		Expect(w.Fold.Groups()).NotTo(HaveKey(first.Fencing))
		Expect(w.Fold.Groups()).To(HaveLen(1))
	})

	It("takes a group of a lower cost rate apart for one of a higher rate, never the other way", func() {
		models := []config.Model{model("low", 2, 1, 1), model("high", 2, 1, 5)}
		w := newWorld(models, map[fleet.FabricDomain]int{"a": 4})
		w.settle()
		lost := w.groupOf("high").Members
		low := w.groupOf("low").Fencing
		w.silence(150*time.Second, lost...)
		Expect(w.Fold.Groups()).NotTo(HaveKey(low))
		Expect(w.groupOf("low")).To(BeNil())

		w = newWorld(models, map[fleet.FabricDomain]int{"a": 4})
		w.settle()
		high := w.groupOf("high").Fencing
		w.silence(5*time.Minute, w.groupOf("low").Members...)
		Expect(w.Fold.Groups()).To(HaveKey(high))
	})

	It("takes no second group apart while the VMs of the first are about to be free", func() {
		models := []config.Model{model("low", 4, 3, 0.5), model("high", 4, 1, 5)}
		w := newWorld(models, map[fleet.FabricDomain]int{"a": 4, "b": 4, "c": 4, "d": 4})
		w.settle()
		before := maps.Clone(w.Fold.Groups())
		w.silence(150*time.Second, w.groupOf("high").Members[1:]...)
		kept := 0
		for fencing, record := range before {
			if _, ok := w.Fold.Groups()[fencing]; ok && record.Model == "low" {
				kept++
			}
		}
		Expect(kept).To(Equal(2))
	})

	It("weighs by the user's weights which group gets the last VMs", func() {
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
			w.silence(80 * time.Second)
			w.settle()
			Expect(w.groupOf(c.want)).NotTo(BeNil(), string(c.want))
		}
	})

	It("starts no more loads than the weight store takes, the costliest first", func() {
		w := newWorld([]config.Model{model("low", 2, 2, 1), model("high", 2, 2, 5)}, map[fleet.FabricDomain]int{"a": 8})
		w.Config.Policy.LoadingVMs = 4
		w.pass(time.Second)
		plan := group.MakePlan(w.Input)
		Expect(plan.Forms).To(HaveLen(2))
		Expect(plan.Forms).To(HaveEach(HaveField("Model", fleet.ModelName("high"))))
	})

	It("replaces a group whose member keeps failing only once its successor serves", func() {
		w := newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 4})
		w.settle()
		first := w.groupOf("m")
		flapping := first.Members[1]
		for range 3 {
			w.silence(4*time.Second, flapping)
			w.silence(3 * time.Second)
		}
		Expect(w.complete()["v1"]).To(Equal(1))
		Expect(w.Fold.Groups()).To(HaveLen(2)) // the successor loads beside it
		for range 10 {
			w.pass(time.Second)
			for id := range w.World.Observations {
				w.report(id, func(r *fleet.MemberReport) {
					if r.State == fleet.EngineLoading {
						r.State = fleet.EngineReady
					}
				})
			}
			w.carryOut(group.MakePlan(w.Input), true)
			Expect(w.complete()["v1"]).To(BeNumerically(">=", 1))
		}
		Expect(w.groupOf("m").Members).NotTo(ContainElement(flapping))
	})

	It("rolls a version out without ever dropping below the declared number when VMs allow", func() {
		w := newWorld([]config.Model{model("m", 2, 3, 1)}, map[fleet.FabricDomain]int{"a": 8})
		w.settle()
		w.Config.Models[0].Version = "v2"
		for range 60 {
			w.pass(time.Second)
			w.carryOut(group.MakePlan(w.Input), true)
			complete := w.complete()
			Expect(complete["v1"] + complete["v2"]).To(BeNumerically(">=", 3))
		}
		Expect(w.complete()).To(Equal(map[string]int{"v2": 3}))
	})

	It("rolls adapters out one group at a time when no VMs are spare", func() {
		w := newWorld([]config.Model{model("m", 2, 3, 1)}, map[fleet.FabricDomain]int{"a": 6})
		w.settle()
		w.Config.Models[0].Adapters = []string{"paper"}
		for range 90 {
			w.pass(time.Second)
			w.carryOut(group.MakePlan(w.Input), true)
			Expect(w.complete()["v1"]).To(BeNumerically(">=", 2))
		}
		for _, record := range w.Fold.Groups() {
			Expect(record.Adapters).To(ConsistOf("paper"))
		}
		Expect(w.complete()["v1"]).To(Equal(3))
	})

	It("takes no VM that is leaving", func() {
		w := newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 2})
		vm := w.World.VMs["a-001"]
		vm.Leaving = true
		w.World.VMs["a-001"] = vm
		w.pass(time.Second)
		Expect(group.MakePlan(w.Input).Forms).To(BeEmpty())
	})

	It("takes no VM that works for a group unknown to it", func() {
		w := newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 2})
		w.report("a-001", func(r *fleet.MemberReport) { r.Group, r.State = 77, fleet.EngineReady })
		w.pass(time.Second)
		Expect(group.MakePlan(w.Input).Forms).To(BeEmpty())
	})
})
