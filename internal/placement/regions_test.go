package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/locality"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

var _ = Describe("Placing a request that is restricted to regions", func() {
	now := time.Now()
	in := func(dataCentre, key string, load int) *placement.Target {
		t := target(key, load)
		t.DataCentre = dataCentre
		return t
	}
	requirements := func(daemons int, allowed ...string) placement.Requirements {
		return placement.Requirements{
			DataCentre: "s", Grouped: true, Now: now, Daemons: daemons, Random: rand.Float64(),
			Allowed: &locality.Allowed{Regions: allowed}, Regions: locality.Regions{"n": "north", "s": "south"},
		}
	}

	// Guards against load, health or weights that let a target of another region in, for few and many daemons.
	It("chooses among the targets of these regions, however loaded and ill they are", func() {
		ill := in("n", "ill", 8)
		ill.Meter.ObserveFailure(now)
		for _, daemons := range []int{8, 86} {
			for _, targets := range [][]*placement.Target{{in("s", "near", 0), in("n", "far", 9)}, {in("s", "near", 0), ill}, {in("s", "near", 0), in("elsewhere", "unknown", 0), in("n", "far", 9)}} {
				for range 50 {
					picked, reason := placement.Pick(targets, requirements(daemons, "north"))
					Expect(reason).To(Equal(placement.Placed))
					Expect(picked.DataCentre).To(Equal("n"))
				}
			}
		}
	})

	It("has none if the targets of these regions are full, failed it, or want none", func() {
		held := in("n", "held", 0)
		held.Hold = &targetstats.Hold{}
		held.Hold.Extend(now, time.Second)
		failed := requirements(8, "north")
		failed.Excluded = map[string]bool{"far": true}
		_, full := placement.Pick([]*placement.Target{in("s", "near", 0), in("n", "far", 30)}, requirements(8, "north"))
		_, excluded := placement.Pick([]*placement.Target{in("s", "near", 0), in("n", "far", 0)}, failed)
		_, unwilling := placement.Pick([]*placement.Target{in("s", "near", 0), held}, requirements(8, "north"))
		Expect([]placement.Reason{full, excluded, unwilling}).To(Equal([]placement.Reason{placement.NoCapacity, placement.NoTarget, placement.HeldBack}))
	})

	It("is refused for its regions only if targets serve elsewhere", func() {
		_, elsewhere := placement.Pick([]*placement.Target{in("s", "near", 0)}, requirements(8, "north"))
		_, nowhere := placement.Pick([]*placement.Target{in("s", "near", 0)}, requirements(8))
		_, none := placement.Pick(nil, requirements(8, "north"))
		Expect([]placement.Reason{elsewhere, nowhere, none}).To(Equal([]placement.Reason{placement.NoAllowedRegion, placement.NoAllowedRegion, placement.NoTarget}))
	})
})
