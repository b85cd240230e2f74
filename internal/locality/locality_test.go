package locality_test

import (
	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/locality"
)

var _ = Describe("The regions of a request", func() {
	regions := locality.Regions{"north-1": "north", "north-2": "north", "south-1": "south", "odd": ""}

	// Guards against a body that runs at, or passes through, a region that the route or the team excludes.
	DescribeTable("are those that route and team both allow", func(route, team []string, north, south bool) {
		allowed := locality.Both(route, team)
		Expect(regions.AllowsTarget(allowed, "north-1")).To(Equal(north))
		Expect(regions.AllowsTarget(allowed, "south-1")).To(Equal(south))
	},
		Entry("neither names any", nil, nil, true, true),
		Entry("empty lists", []string{}, []string{}, true, true),
		Entry("the route alone", []string{"north"}, nil, true, false),
		Entry("the team alone", nil, []string{"south"}, false, true),
		Entry("both, with one in common", []string{"north", "south"}, []string{"south", "west"}, false, true),
		Entry("both, with none in common", []string{"north"}, []string{"south"}, false, false),
		Entry("a region that no data centre has", []string{"west"}, nil, false, false),
	)

	// Guards against a missing or empty setting that would let a restricted request go anywhere.
	It("exclude data centres whose region is not known", func() {
		for _, allowed := range []*locality.Allowed{locality.Both([]string{""}, nil), locality.Both([]string{"north", ""}, nil)} {
			Expect(regions.AllowsTarget(allowed, "odd")).To(BeFalse())
			Expect(regions.AllowsTarget(allowed, "missing")).To(BeFalse())
			Expect(locality.Regions(nil).AllowsTarget(allowed, "north-1")).To(BeFalse())
		}
		Expect(locality.Regions(nil).AllowsTarget(nil, "north-1")).To(BeTrue())
	})

	DescribeTable("and that of the caller's daemon admit the daemons that pass the body on", func(route []string, entry, forwarder string, passes bool) {
		Expect(regions.AllowsForwarder(locality.Both(route, nil), entry, forwarder)).To(Equal(passes))
	},
		Entry("no restriction", nil, "north-1", "south-1", true),
		Entry("an allowed region", []string{"south"}, "north-1", "south-1", true),
		Entry("the region of the caller's daemon", []string{"south"}, "north-1", "north-2", true),
		Entry("the data centre of the caller's daemon, without a region", []string{"south"}, "missing", "missing", true),
		Entry("another region that is not allowed", []string{"north"}, "north-1", "south-1", false),
		Entry("two data centres without a region", []string{"north"}, "missing", "odd", false),
	)

	// Guards against a request that may run nowhere and is taken for one that may run anywhere
	// after it was passed to another daemon.
	It("stay the same on the way to another daemon", func() {
		for _, allowed := range []*locality.Allowed{nil, {}, {Regions: []string{"north", "south"}}} {
			data, err := cbor.Marshal(allowed)
			Expect(err).NotTo(HaveOccurred())
			var read *locality.Allowed
			Expect(cbor.Unmarshal(data, &read)).To(Succeed())
			Expect(read).To(Equal(allowed))
		}
	})
})
