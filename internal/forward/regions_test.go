package forward_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/locality"
)

// openLinks has a link to every daemon. It implements forward.Links.
type openLinks struct{}

func (openLinks) Address(string) string                             { return "" }
func (openLinks) Connect(string, string) func()                     { return func() {} }
func (openLinks) Await(context.Context, string, time.Duration) bool { return true }
func (openLinks) Idle(string) bool                                  { return true }

var _ = Describe("A request that may be handled in some regions", func() {
	regions := locality.Regions{"n": "north", "s": "south", "w": "west"}
	candidates := []forward.Candidate{{Daemon: "n1", DataCentre: "n"}, {Daemon: "s1", DataCentre: "s"}, {Daemon: "w1", DataCentre: "w"}, {Daemon: "u1", DataCentre: "unknown"}}
	// poolOf returns the pool of a daemon in a data centre.
	poolOf := func(entry string) *forward.LinkPool {
		return forward.NewLinkPool(openLinks{}, func(allowed *locality.Allowed) []string {
			return forward.Choose("self", entry, forward.Permitted(allowed, regions, entry, candidates), 100)
		}, time.Now)
	}
	picks := func(entry string, allowed *locality.Allowed) []string {
		pool := poolOf(entry)
		picked := map[string]bool{}
		for range 12 { // each pick adds load, so that all paths have their turn
			if daemon, ok := pool.Pick(context.Background(), allowed); ok {
				picked[daemon] = true
			}
		}
		var names []string
		for _, c := range candidates {
			if picked[c.Daemon] {
				names = append(names, c.Daemon)
			}
		}
		Expect(pool.Any(allowed)).To(Equal(len(names) > 0))
		return names
	}

	// Guards against a pool that keeps the choice for one request for all others.
	DescribeTable("is passed on through daemons of these regions and of the caller's daemon", func(entry string, allowed []string, expected []string) {
		Expect(picks(entry, locality.Both(allowed, nil))).To(Equal(expected))
	},
		Entry("an allowed region", "n", []string{"north"}, []string{"n1"}),
		Entry("an allowed region and the entry's", "s", []string{"north"}, []string{"n1", "s1"}),
		Entry("the entry's region, which has no other daemon", "unknown-too", []string{"east"}, []string(nil)),
		Entry("the entry's data centre, which has no region", "unknown", []string{"west"}, []string{"w1", "u1"}),
	)

	It("does not change through whom other requests of the same daemon go", func() {
		pool := poolOf("n")
		daemon, ok := pool.Pick(context.Background(), &locality.Allowed{Regions: []string{"north"}})
		Expect([]any{daemon, ok}).To(Equal([]any{"n1", true}))
		others := map[string]bool{}
		for range 12 {
			other, ok := pool.Pick(context.Background(), nil)
			Expect(ok).To(BeTrue())
			others[other] = true
		}
		Expect(len(others)).To(Equal(3), "as many as daemons forward through")
	})

	It("counts what is declined for an endpoint's region against the endpoint's choice, not against the way", func() {
		Expect(forward.Decline(forward.DeclinedEndpointRegion).Blame.String()).To(Equal("hold"))
		Expect(forward.Decline(forward.DeclinedRegion).Blame.String()).To(Equal("path"))
	})
})
