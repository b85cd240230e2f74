package group_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

// dataCentreOf returns a settled data centre of count VMs in fabric domains of 16:
// groups of four members, and a few spare VMs.
func dataCentreOf(count int) *world {
	domains := map[fleet.FabricDomain]int{}
	for i := 0; i < count; i += 16 {
		domains[fleet.FabricDomain(fmt.Sprintf("d%02d", i/16))] = min(16, count-i)
	}
	models := make([]config.Model, 0, 10)
	for i := range 10 {
		models = append(models, model(fleet.ModelName(fmt.Sprintf("m%d", i)), 4, count/4/10, float64(i+1)))
	}
	w := newWorld(models, domains)
	w.settle()
	return w
}

// BenchmarkMakePlan measures planning for a healthy data centre, and for one in
// which a fabric domain does not report.
func BenchmarkMakePlan(b *testing.B) {
	RegisterTestingT(b)
	for _, count := range []int{109, 217, 434} {
		w := dataCentreOf(count)
		b.Run(fmt.Sprintf("vms=%d/healthy", count), func(b *testing.B) { benchmarkPlan(b, w) })
		var silent []fleet.VMID
		for id, vm := range w.World.VMs {
			if vm.FabricDomain == "d00" {
				silent = append(silent, id)
			}
		}
		w.advance(5*time.Second, silent...)
		b.Run(fmt.Sprintf("vms=%d/domain-dark", count), func(b *testing.B) { benchmarkPlan(b, w) })
	}
}

func benchmarkPlan(b *testing.B, w *world) {
	b.ReportAllocs()
	for b.Loop() {
		w.History.Update(w.Input)
		group.MakePlan(w.Input)
	}
}
