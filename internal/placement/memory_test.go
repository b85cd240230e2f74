package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// Guards against requests at a group whose memory is full while it has slots, which it then evicts
// or refuses.
var _ = DescribeTable("A group with memory for 10,000 tokens and free slots takes a request", func(memory, local, remote, prompt, output int, expected placement.Reason) {
	target := &placement.Target{Key: "a", Slots: 48, Meter: targetstats.NewMeter(), MemoryTokens: memory, MeanPromptTokens: 800, MeanOutputTokens: 200}
	target.Meter.BeginTokens(local)
	target.Meter.SetRemoteInFlight(remote)
	for _, resumed := range []bool{false, true} {
		_, reason := placement.Pick([]*placement.Target{target}, placement.Requirements{Grouped: true, Resumed: resumed, PromptTokens: prompt, OutputTokens: output, Daemons: 1, Now: time.Now()})
		Expect(reason).To(Equal(expected))
	}
},
	Entry("if it is idle", 10000, 0, 0, 9000, 1000, placement.Placed),
	Entry("but none that it cannot hold", 10000, 0, 0, 9000, 1001, placement.NoCapacity),
	Entry("besides this daemon's requests up to 0.95", 10000, 5000, 0, 4000, 500, placement.Placed),
	Entry("but not beyond them", 10000, 5000, 0, 4000, 501, placement.NoCapacity),
	Entry("besides other daemons' requests of mean length", 10000, 0, 5, 4000, 500, placement.Placed),
	Entry("but not beyond those", 10000, 0, 5, 4000, 501, placement.NoCapacity),
	Entry("of unknown length as one of mean length", 10000, 8500, 0, 0, 0, placement.Placed),
	Entry("but not beyond that", 10000, 8501, 0, 0, 0, placement.NoCapacity),
	Entry("of any length if it publishes no memory", 0, 1<<30, 40, 1<<30, 0, placement.Placed),
)
