package demand_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/demand"
)

var _ = Describe("Smoothed demand", func() {
	start := time.Unix(1000, 0)
	observe := func(t *demand.Tracker, from, to time.Duration, perS func(at time.Duration) float64) {
		for at := from; at < to; at += 100 * time.Millisecond {
			t.Observe("s", map[string]demand.Total{"m": {RequestsPerS: perS(at), PromptTokensPerS: 700 * perS(at)}}, start.Add(at))
		}
	}
	steady := func(perS float64) func(time.Duration) float64 { return func(time.Duration) float64 { return perS } }

	It("is not known before it was observed for 4 s, and again after it was lost", func() {
		t := demand.NewTracker()
		observe(t, 0, 5*time.Second, steady(0))
		Expect(t.Smoothed("s")).To(BeNil(), "no request yet")
		observe(t, 5*time.Second, 8900*time.Millisecond, steady(10))
		Expect(t.Smoothed("s")).To(BeNil())
		observe(t, 8900*time.Millisecond, 9200*time.Millisecond, steady(10))
		Expect(t.Smoothed("s")["m"].RequestsPerS).To(BeNumerically("~", 10, 0.001), "the time before the first observation does not count as one without demand")
		Expect(t.Smoothed("s")["m"].PromptTokensPerS).To(BeNumerically("~", 7000, 1))
		Expect(t.Smoothed("other")).To(BeNil())
		t.Reset()
		observe(t, 10*time.Second, 12*time.Second, steady(10))
		Expect(t.Smoothed("s")).To(BeNil())
	})

	It("follows a step by two thirds in 8 s, and a wave of 15 s by less than a third", func() {
		t := demand.NewTracker()
		observe(t, 0, time.Minute, steady(10))
		observe(t, time.Minute, 68*time.Second, steady(20))
		Expect(t.Smoothed("s")["m"].RequestsPerS).To(BeNumerically("~", 16.3, 0.2))
		observe(t, 68*time.Second, 140*time.Second, steady(10))
		most := 0.0
		wave := func(at time.Duration) float64 { return 10 + 5.5*math.Sin(2*math.Pi*at.Seconds()/15) }
		for at := 140 * time.Second; at < 200*time.Second; at += time.Second {
			observe(t, at, at+time.Second, wave)
			most = max(most, t.Smoothed("s")["m"].RequestsPerS)
		}
		Expect(most).To(BeNumerically("<", 10+5.5*0.33))
	})
})
