package grace_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/grace"
)

// Guards against requests that are cut off, while they run, by the end of a process that is stopped.
var _ = DescribeTable("A request that has been read whole begins or not",
	func(stoppingMS, remainingMS int, want bool) {
		const admission, serving = 2900 * time.Millisecond, 7400 * time.Millisecond
		stopping := time.Duration(stoppingMS) * time.Millisecond
		Expect(grace.Begins(grace.State{
			Stopping: stopping, Admission: admission, Left: serving - stopping, Remaining: time.Duration(remainingMS) * time.Millisecond,
		})).To(Equal(want))
	},
	Entry("not stopping", 0, 60_000, true),
	Entry("stopping since just now, a long one", 1, 60_000, true),
	Entry("the last one of the admission", 2900, 60_000, true),
	Entry("later, and not answered before the end", 2901, 4501, false),
	Entry("later, and answered before the end in any case", 2901, 4499, true),
	Entry("its body took 2.5 s", 5010, 2500, false),
	Entry("short, near the end", 7000, 300, true),
	Entry("at the end", 7400, 1, false),
)
