package placement_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/registry"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

func target(key string, load int) *placement.Target {
	meter := targetstats.NewMeter()
	meter.SetRemoteInFlight(load)
	return &placement.Target{Key: key, ID: key, DataCentre: "z", Slots: 10, Meter: meter}
}

var _ = Describe("Placing", func() {
	now := time.Now()
	requirements := func(change func(*placement.Requirements)) placement.Requirements {
		d := placement.Requirements{DataCentre: "z", Grouped: true, Now: now, Daemons: 8}
		if change != nil {
			change(&d)
		}
		return d
	}

	It("chooses the least loaded target, and prefers its own data centre at equal load", func() {
		far := target("far", 3)
		far.DataCentre = "y"
		picked, reason := placement.Pick([]*placement.Target{target("full", 9), far, target("near", 3)}, requirements(nil))
		Expect(reason).To(Equal(placement.Placed))
		Expect(picked.Key).To(Equal("near"))
	})

	It("avoids targets that failed the request, failed recently, or are silent", func() {
		failed, suspected := target("failed", 0), target("suspected", 0)
		failed.Meter.ObserveFailure(now)
		suspected.Meter.Suspect(now, time.Second)
		targets := []*placement.Target{target("excluded", 0), failed, suspected, target("left", 8)}
		picked, _ := placement.Pick(targets, requirements(func(d *placement.Requirements) { d.Excluded = map[string]bool{"excluded": true} }))
		Expect(picked.Key).To(Equal("left"))
	})

	It("uses a suspect target when there is no other", func() {
		failed := target("failed", 0)
		failed.Meter.ObserveFailure(now)
		picked, _ := placement.Pick([]*placement.Target{failed}, requirements(nil))
		Expect(picked).To(Equal(failed))
	})

	It("avoids targets whose connections broke while others have capacity, and uses them when the others are full", func() {
		reset := []*placement.Target{target("a", 2), target("b", 3), target("c", 4)}
		for _, t := range reset {
			for range 4 { // streams of one daemon, reset at once
				t.Meter.ObserveStreamBreak(now)
			}
		}
		picked, _ := placement.Pick(append(reset, target("left", 9)), requirements(nil))
		Expect(picked.Key).To(Equal("left"))
		picked, reason := placement.Pick(append(reset, target("left", 12)), requirements(nil))
		Expect(reason).To(Equal(placement.Placed))
		Expect(picked.Key).To(Equal("a"))
	})

	It("uses a target whose connections broke again as soon as another daemon reports its events", func() {
		reset := target("reset", 2)
		reset.Meter.ObserveStreamBreak(now)
		reset.Meter.ObserveRemoteEvent(now.Add(10 * time.Millisecond))
		picked, _ := placement.Pick([]*placement.Target{reset, target("other", 9)}, requirements(func(d *placement.Requirements) { d.Now = now.Add(20 * time.Millisecond) }))
		Expect(picked.Key).To(Equal("reset"))
	})

	// A daemon that forwards has no share to spend: the one that sends takes the token.
	It("passes over a cold target without a token, unless another daemon sends, and for late requests always", func() {
		cold := target("cold", 0)
		cold.Limit = targetstats.NewLimits().GetOrCreate("cold", 1)
		cold.Limit.MarkCold(now.Add(3*time.Second), now)
		targets := []*placement.Target{cold}
		pick := func(forwarded, overdue bool) placement.Reason {
			_, reason := placement.Pick(targets, requirements(func(d *placement.Requirements) { d.Forwarded, d.Overdue = forwarded, overdue }))
			return reason
		}
		Expect(pick(false, false)).To(Equal(placement.HeldBack))
		Expect(placement.HeldFor(targets, now)).To(Equal(3 * time.Second))
		Expect(pick(true, false)).To(Equal(placement.Placed))
		Expect(pick(true, true)).To(Equal(placement.HeldBack))
		targets = append(targets, target("warm", 9))
		picked, _ := placement.Pick(targets, requirements(nil))
		Expect(picked.Key).To(Equal("warm"))
	})

	Describe("prompts that wait for prefill", func() {
		withPrefill := func(key string, load, tokens int) *placement.Target {
			t := target(key, load)
			t.MaxPrefillTokensPerPass = 10000
			t.Meter.SetRemotePrefillTokens(tokens)
			return t
		}
		long := func(d *placement.Requirements) { d.PromptTokens = 1500 }

		It("prefers a group with a short prefill queue, regardless of its load", func() {
			picked, _ := placement.Pick([]*placement.Target{withPrefill("opened", 0, 6000), withPrefill("busy", 8, 2000)}, requirements(long))
			Expect(picked.Key).To(Equal("busy"))
			picked, _ = placement.Pick([]*placement.Target{withPrefill("opened", 0, 6000), withPrefill("busy", 8, 4000)}, requirements(long))
			Expect(picked.Key).To(Equal("opened"), "neither has a short prefill queue")
		})

		It("refuses prompts that would wait for more than a pass, except resumed streams and prompts at an idle group", func() {
			targets := []*placement.Target{withPrefill("opened", 0, 9000)}
			_, reason := placement.Pick(targets, requirements(long))
			Expect(reason).To(Equal(placement.NoCapacity))
			_, reason = placement.Pick(targets, requirements(func(d *placement.Requirements) { d.PromptTokens, d.Resumed = 1500, true }))
			Expect(reason).To(Equal(placement.Placed))
			_, reason = placement.Pick([]*placement.Target{withPrefill("idle", 0, 0)}, requirements(func(d *placement.Requirements) { d.PromptTokens = 50000 }))
			Expect(reason).To(Equal(placement.Placed))
		})
	})

	It("passes over targets that want no requests for a time, and tells when the first of them takes requests again", func() {
		held := func(key string, hold time.Duration) *placement.Target {
			t := target(key, 1)
			t.Hold = &targetstats.Hold{}
			t.Hold.Extend(now, hold)
			return t
		}
		targets := []*placement.Target{held("a", 3*time.Second), held("b", 2*time.Second), target("c", 9)}
		picked, _ := placement.Pick(targets, requirements(nil))
		Expect(picked.Key).To(Equal("c"))
		_, reason := placement.Pick(targets[:2], requirements(nil))
		Expect(reason).To(Equal(placement.HeldBack))
		Expect(placement.HeldFor(targets, now)).To(Equal(2 * time.Second))
		_, reason = placement.Pick([]*placement.Target{targets[0], target("full", 12)}, requirements(nil))
		Expect(reason).To(Equal(placement.NoCapacity))
	})

	It("excludes a target that failed several times in a row, then retries it with one request at a time", func() {
		down := target("down", 0)
		for range 3 {
			down.Meter.ObserveFailure(now)
		}
		_, reason := placement.Pick([]*placement.Target{down}, requirements(nil))
		Expect(reason).To(Equal(placement.NoTarget))
		later := requirements(func(d *placement.Requirements) { d.Now = now.Add(5 * time.Second) })
		_, reason = placement.Pick([]*placement.Target{down}, later)
		Expect(reason).To(Equal(placement.Placed))
		down.Meter.Begin(later.Now)
		_, reason = placement.Pick([]*placement.Target{down}, later)
		Expect(reason).To(Equal(placement.NoTarget))
	})

	It("refuses requests when all targets are full, and late requests at a lower load", func() {
		_, reason := placement.Pick([]*placement.Target{target("full", 12)}, requirements(nil))
		Expect(reason).To(Equal(placement.NoCapacity))
		busy := []*placement.Target{target("busy", 9)}
		_, reason = placement.Pick(busy, requirements(func(d *placement.Requirements) { d.Late = true }))
		Expect(reason).To(Equal(placement.NoCapacity))
		_, reason = placement.Pick(busy, requirements(nil))
		Expect(reason).To(Equal(placement.Placed))
		_, reason = placement.Pick(nil, requirements(nil))
		Expect(reason).To(Equal(placement.NoTarget))
	})

	It("gives a resumed stream a place beyond the usual limit", func() {
		picked, _ := placement.Pick([]*placement.Target{target("full", 14)}, requirements(func(d *placement.Requirements) { d.Resumed = true }))
		Expect(picked).NotTo(BeNil())
	})

	// 64 daemons learn of each other's requests a second late, and each sends one request
	// by the same stale view. They must not all choose the same target.
	It("spreads the requests of many daemons with the same stale view", func() {
		random := rand.New(rand.NewPCG(1, 2))
		targets := []*placement.Target{target("a", 2), target("b", 3), target("c", 4), target("d", 3)}
		placed := map[string]int{}
		for range 64 {
			picked, _ := placement.Pick(targets, requirements(func(d *placement.Requirements) {
				d.Daemons = 64
				d.Random = random.Float64()
			}))
			placed[picked.Key]++
		}
		for _, target := range targets {
			Expect(placed[target.Key]).To(BeNumerically("<", 32), "half of all requests went to one target")
			Expect(placed[target.Key]).To(BeNumerically(">", 4))
		}
	})
})

var _ = Describe("Building the view", func() {
	service := catalog.Service{Name: "s", Models: []catalog.Model{{Name: "m", GroupSize: 2}}, Performance: &catalog.PerformanceModel{Slots: 4}}
	current := catalog.New(1, nil, []catalog.Service{service, {Name: "plain"}}, nil, catalog.Limits{})
	record := &ledger.Record{Group: "g", Epoch: 9, Service: "s", Model: "m", Members: []ledger.Member{{ID: "h"}, {ID: "w"}}}
	head := func(change func(*registry.Endpoint)) *registry.Snapshot {
		e := &registry.Endpoint{ID: "h", Service: "s", Slots: 4, Group: registry.Membership{Group: "g", Epoch: 9, State: registry.Open}}
		change(e)
		return &registry.Snapshot{ByID: map[string]*registry.Endpoint{"h": e}, ByService: map[string][]*registry.Endpoint{"s": {e}}}
	}
	build := func(record *ledger.Record, change func(*registry.Endpoint)) []*placement.Target {
		groups := &ledger.State{Groups: map[string]*ledger.Record{"g": record}}
		return placement.Build(current, head(change), groups, targetstats.NewMeters(), placement.Announced{Holds: targetstats.NewHolds(), Limits: targetstats.NewLimits()}, func(string) bool { return false }).Targets("s", "m")
	}

	It("includes the head of a group that is open under its newest record", func() {
		Expect(build(record, func(*registry.Endpoint) {})).To(HaveLen(1))
	})

	It("excludes groups that are closed, of another epoch, dissolving, or whose head is draining", func() {
		Expect(build(record, func(e *registry.Endpoint) { e.Group.State = registry.Ready })).To(BeEmpty())
		Expect(build(record, func(e *registry.Endpoint) { e.Group.Epoch = 8 })).To(BeEmpty())
		Expect(build(record, func(e *registry.Endpoint) { e.Draining = true })).To(BeEmpty())
		dissolving := *record
		dissolving.Dissolving = true
		Expect(build(&dissolving, func(*registry.Endpoint) {})).To(BeEmpty())
	})

	// Guards against slow groups that are not noticed because only the head was asked, and against
	// reports that would shut out a group.
	DescribeTable("takes the greatest slowdown that the members of a group report", func(head, worker, expected float64) {
		leader := &registry.Endpoint{ID: "h", Service: "s", Slots: 4, Slowdown: head, Group: registry.Membership{Group: "g", Epoch: 9, State: registry.Open}}
		snapshot := &registry.Snapshot{ByID: map[string]*registry.Endpoint{"h": leader, "w": {ID: "w", Slowdown: worker}}}
		groups := &ledger.State{Groups: map[string]*ledger.Record{"g": {Group: "g", Epoch: 9, Service: "s", Model: "m", Members: []ledger.Member{{ID: "h"}, {ID: "w"}, {ID: "no entry"}}}}}
		view := placement.Build(current, snapshot, groups, targetstats.NewMeters(), placement.Announced{Holds: targetstats.NewHolds(), Limits: targetstats.NewLimits()}, func(string) bool { return false })
		Expect(view.Targets("s", "m")).To(ConsistOf(HaveField("Slowdown", expected)))
	},
		Entry("of the head", 3.0, 1.1, 3.0),
		Entry("of another member", 1.0, 4.0, 4.0),
		Entry("none reported", 0.0, 0.0, 1.0),
		Entry("below 1", 0.2, -3.0, 1.0),
		Entry("not finite", math.NaN(), math.Inf(1), 1.0),
		Entry("not finite and slow", 2.0, math.NaN(), 2.0),
		Entry("far above what is of use", 1e9, 1.0, 100.0),
	)

	// Guards against requests to an evacuated data centre, and against refusals that do not say so.
	It("leaves out targets of evacuated data centres, of groups and plain services, and tells them from none", func() {
		snapshot := &registry.Snapshot{ByID: map[string]*registry.Endpoint{}, ByService: map[string][]*registry.Endpoint{}}
		groups := &ledger.State{Groups: map[string]*ledger.Record{}}
		for i, dataCentre := range []string{"x", "y"} {
			epoch := uint64(i)
			plain := &registry.Endpoint{ID: "p" + dataCentre, Service: "plain", DataCentre: dataCentre}
			leader := &registry.Endpoint{ID: "h" + dataCentre, Service: "s", DataCentre: dataCentre, Group: registry.Membership{Group: dataCentre, Epoch: epoch, State: registry.Open}}
			snapshot.ByService["plain"] = append(snapshot.ByService["plain"], plain)
			snapshot.ByID[plain.ID], snapshot.ByID[leader.ID] = plain, leader
			groups.Groups[dataCentre] = &ledger.Record{Group: dataCentre, Epoch: epoch, Service: "s", Model: "m", Members: []ledger.Member{{ID: leader.ID}}}
		}
		view := func(evacuated ...string) *placement.View {
			return placement.Build(current, snapshot, groups, targetstats.NewMeters(), placement.Announced{Holds: targetstats.NewHolds(), Limits: targetstats.NewLimits()},
				func(dataCentre string) bool { return slices.Contains(evacuated, dataCentre) })
		}
		for _, service := range []string{"s", "plain"} {
			Expect(view().Targets(service, "m")).To(HaveLen(2))
			Expect(view().Evacuates(service, "m")).To(BeFalse())
			one := view("x")
			Expect(one.Targets(service, "m")).To(ConsistOf(HaveField("DataCentre", "y")))
			Expect(one.Evacuated.Targets(service, "m")).To(ConsistOf(HaveField("DataCentre", "x")))
			all := view("x", "y")
			Expect(all.Targets(service, "m")).To(BeEmpty())
			Expect(all.Evacuates(service, "m")).To(BeTrue())
			Expect(all.Evacuates(service, "other")).To(Equal(service == "plain"), "a plain service has no models")
		}
		now := time.Now()
		_, reason := placement.Pick(nil, placement.Requirements{Evacuated: true, Now: now})
		Expect(reason).To(Equal(placement.Evacuated))
		_, reason = placement.Pick([]*placement.Target{target("failed", 0)}, placement.Requirements{Evacuated: true, Excluded: map[string]bool{"failed": true}, Now: now})
		Expect(reason).To(Equal(placement.NoTarget))
	})
})
