package apportion_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/apportion"
)

var _ = Describe("The next change of groups", func() {
	models := func(largeGroups int, largeNeed float64, smallGroups int, smallNeed float64) []apportion.Model {
		return []apportion.Model{
			{Name: "large", GroupSize: 12, Groups: largeGroups, Need: largeNeed}, {Name: "small", GroupSize: 6, Groups: smallGroups, Need: smallNeed},
		}
	}
	group := func(name, model string, inProgress int) apportion.Group {
		size := map[string]int{"large": 12, "small": 6}[model]
		return apportion.Group{Name: name, Model: model, InProgress: inProgress, Fit: map[string]int{"large": size, "small": size}}
	}
	mixed := apportion.Domain{
		Name: "mixed", Groups: []apportion.Group{group("m.0", "large", 5), group("m.1", "small", 9), group("m.2", "small", 2)},
		Free: 3, FreeFit: map[string]int{"large": 3, "small": 3}, Reserved: 2,
	}
	smalls := apportion.Domain{
		Name: "smalls", Groups: []apportion.Group{group("s.0", "small", 4), group("s.1", "small", 3), group("s.2", "small", 2), group("s.3", "small", 1)},
	}
	domains := []apportion.Domain{mixed, smalls}

	It("replaces one larger group by as many smaller ones as its members make", func() {
		change, ok := apportion.Next(models(6, 2.5, 12, 9), domains)
		Expect(ok).To(BeTrue())
		Expect(change).To(And(HaveField("Domain", "mixed"), HaveField("Close", []string{"m.0"}), HaveField("Form", 2)))
		Expect(change.ToBefore).To(BeNumerically("~", 9.0/11, 0.001), "after the loss of one of twelve groups")
		Expect(change.ToAfter).To(BeNumerically("~", 9.0/13, 0.001))
		Expect(change.FromAfter).To(BeNumerically("~", 2.5/4, 0.001))
	})

	It("closes smaller groups for a larger one together, those with the fewest requests in progress", func() {
		change, ok := apportion.Next(models(6, 5.5, 12, 5), domains)
		Expect(ok).To(BeTrue())
		Expect(change).To(And(HaveField("Domain", "smalls"), HaveField("Close", []string{"s.3", "s.2"}), HaveField("Form", 1), HaveField("InProgress", 3)))
	})

	DescribeTable("is none", func(given []apportion.Model, domains []apportion.Domain) {
		_, ok := apportion.Next(given, domains)
		Expect(ok).To(BeFalse())
	},
		Entry("if the busier model gains too little", models(6, 2.5, 12, 6.5), domains),
		Entry("if the model that gives up a group would be too busy", models(6, 3.8, 12, 11.5), domains),
		Entry("if all are busy", models(6, 8, 12, 16), domains),
		Entry("if it only exchanged which of the models is the busier one", models(2, 0.75, 12, 6), domains),
		Entry("if it closed the last group of a model without demand", models(1, 0, 12, 11), domains),
		Entry("if it closed both groups of a model that has two", models(2, 2, 2, 0.1), []apportion.Domain{{Groups: smalls.Groups[:2]}}),
		Entry("if a group of either model is unsettled", models(6, 2.5, 12, 9), []apportion.Domain{{Groups: mixed.Groups, Unsettled: []string{"small"}}}),
		Entry("if the members would have to load the model from the shared store", models(6, 2.5, 12, 9), []apportion.Domain{
			{Groups: []apportion.Group{{Name: "g", Model: "large", Fit: map[string]int{"small": 5}}}},
		}),
		Entry("if only reserved endpoints would complete the new group", models(6, 2.5, 12, 9), []apportion.Domain{
			{Groups: []apportion.Group{{Name: "g", Model: "large", Fit: map[string]int{"small": 5}}}, Free: 2, FreeFit: map[string]int{"small": 2}, Reserved: 2},
		}),
		Entry("without demand", models(6, 0, 12, 0), domains),
		Entry("without domains", models(6, 2.5, 12, 9), nil),
	)

	It("is the one that the build farm needs when it loses a third of its groups, only while a data centre is evacuated", func() {
		given := models(4, 2.8, 8, 9) // 48 and 315 requests per second at 17 and 35 for each group
		_, ok := apportion.Next(given, domains)
		Expect(ok).To(BeFalse(), "no rest for waves and lost groups")
		evacuated := apportion.Evacuation{InForce: true, Age: time.Hour}
		change, ok := evacuated.Next(given, domains)
		Expect(ok).To(BeTrue())
		Expect(change).To(And(HaveField("From", "large"), HaveField("Form", 2), HaveField("FromAfter", BeNumerically("<", 1))))
		_, ok = evacuated.Next(models(4, 3.01, 8, 11), domains)
		Expect(ok).To(BeTrue(), "both models are short of capacity and share what there is")
		_, ok = evacuated.Next(models(4, 3.3, 8, 10), domains)
		Expect(ok).To(BeFalse(), "the larger model would be refused more than the smaller one")
	})

	// With both models short of capacity, the larger one stayed at 1.7 times its capacity and the
	// smaller one at 0.9, as that may not exceed 0.75.
	It("takes groups from a busy model for one that is short of capacity, until they are equally busy", func() {
		large, small := 3, 18
		for {
			change, ok := apportion.Next(models(large, 5, small, 17), domains)
			if !ok {
				break
			}
			Expect(change.To).To(Equal("large"))
			large, small = large+change.Form, small-len(change.Close)
		}
		Expect([]int{large, small}).To(Equal([]int{4, 16}))
	})

	// The build farm at 1.0 to 1.6 times its mean demand, groups lost in pairs. A larger group breaks
	// twice as often as a smaller one: counted by groups alone, the larger model had capacity to give
	// when it had none.
	It("leaves the models no further apart while endpoints are lost, by what is expected to serve", func() {
		changes := 0
		for _, groups := range [][2]int{{6, 12}, {5, 13}, {5, 14}, {4, 15}, {4, 16}, {3, 17}, {3, 18}} {
			for step := range 7 * 7 * 3 {
				needLarge, needSmall, out := 2.86*(1+0.1*float64(step%7)), 9*(1+0.1*float64(step/7%7)), step/49*2
				given := models(groups[0], needLarge, groups[1], needSmall)
				given[0].Serving, given[1].Serving = groups[0]-out/2, groups[1]-out/2
				change, ok := apportion.Next(given, domains)
				if !ok {
					continue
				}
				changes++
				large, small := groups[0]+change.Form, groups[1]-len(change.Close)
				if change.To == "small" {
					large, small = groups[0]-len(change.Close), groups[1]+change.Form
				}
				lost := float64(out) / float64(12*groups[0]+6*groups[1])
				apart := func(large, small int) float64 {
					return math.Abs(needLarge/(float64(large-1)*(1-12*lost)) - needSmall/(float64(small-1)*(1-6*lost))) // after the loss of one more group
				}
				Expect(apart(large, small)).To(BeNumerically("<=", apart(groups[0], groups[1])+1e-9), "groups %v need %.2f and %.2f, %d out", groups, needLarge, needSmall, out)
			}
		}
		Expect(changes).To(BeNumerically(">", 20))
	})

	// On the calm day of the build farm both models were at 0.69 of their groups, three and thirteen. Two
	// lost groups left the larger model at twice its capacity.
	It("gives a model with few groups the capacity to lose one of them", func() {
		change, ok := apportion.Next(models(3, 2.06, 13, 8.7), domains)
		Expect(ok).To(BeTrue())
		Expect(change).To(And(HaveField("To", "large"), HaveField("Form", 1)))
		_, ok = apportion.Next(models(4, 2.06, 11, 8.7), domains)
		Expect(ok).To(BeFalse())
	})

	It("serves a model that has no group", func() {
		change, ok := apportion.Next(models(6, 1, 0, 3), domains)
		Expect(ok).To(BeTrue())
		Expect(change.Close).To(Equal([]string{"m.0"}))
		Expect(math.IsInf(change.ToBefore, 1)).To(BeTrue())
	})

	It("never pays off to undo at the same demand, whatever that is", func() {
		for largeNeed := 0.0; largeNeed < 8; largeNeed += 0.1 {
			for smallNeed := 0.0; smallNeed < 16; smallNeed += 0.1 {
				change, ok := apportion.Next(models(6, largeNeed, 12, smallNeed), domains)
				if !ok {
					continue
				}
				large, small := 6+change.Form, 12-len(change.Close)
				if change.To == "small" {
					large, small = 6-len(change.Close), 12+change.Form
				}
				next, again := apportion.Next(models(large, largeNeed, small, smallNeed), domains)
				Expect(again && next.To == change.From).To(BeFalse(), "demand %.1f and %.1f groups", largeNeed, smallNeed)
			}
		}
	})
})

var _ = Describe("The pace of changes", func() {
	DescribeTable("permits one", func(sinceChange, paying time.Duration, permitted bool) {
		Expect(apportion.Pace{SinceChange: sinceChange, Paying: paying}.Permits()).To(Equal(permitted))
	},
		Entry("that has paid off for some time after the last one", 10*time.Second, 8*time.Second, true),
		Entry("but none soon after another one in the fleet", 9900*time.Millisecond, time.Minute, false),
		Entry("but none for a burst", time.Minute, 7900*time.Millisecond, false),
	)

	DescribeTable("permits one at once after an evacuation", func(sinceChange, age time.Duration, incomplete, permitted bool) {
		evacuation := apportion.Evacuation{InForce: true, Age: age}
		Expect(apportion.Pace{SinceChange: sinceChange, Evacuation: evacuation, Incomplete: incomplete}.Permits()).To(Equal(permitted))
	},
		Entry("that is recent", 2*time.Second, 15*time.Second, false, true),
		Entry("but none within 2 s of another one", 1900*time.Millisecond, time.Second, false, false),
		Entry("but none beside another one that is not complete", time.Minute, time.Second, true, false),
		Entry("but not after an old one, as demand is smoothed by then", time.Minute, 15100*time.Millisecond, false, false),
	)
})
