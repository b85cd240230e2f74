package test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const callerPatience = 2 * time.Second

// sendWithPatience sends a request and returns an empty reply if none has come within
// callerPatience.
func sendWithPatience(d *testbed.Daemon, body string) reply {
	replies := make(chan reply, 1)
	go func() { replies <- sendCompletion(d, body) }()
	select {
	case answer := <-replies:
		return answer
	case <-time.After(callerPatience):
		return reply{}
	}
}

var _ = Describe("Daemons that are cut off from all endpoints", func() {
	var daemons []*testbed.Daemon
	try := func(i, round int) (served bool, seen string) {
		answer := sendWithPatience(daemons[i], completionBody(fmt.Sprintf("try %d at %d", round, i), 3, round%2 == 0))
		seen = fmt.Sprintf("%d %s %s %v", answer.status, answer.reason, answer.outcome, answer.err)
		return answer.status == 200 && answer.complete, seen
	}

	BeforeEach(func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 6, engineOptions(true))
		daemons = bed.StartDaemons(nil, north, north, north, north)
		bed.Publish(0, testbed.SampleConfig(3, north))
		for _, d := range daemons {
			eventuallyComplete(d, 3)
			Eventually(peerCount(d), meshTimeout, pollInterval).Should(Equal(4))
		}
	})

	DescribeTable("serve the first tries of their callers as the others do", func(fault fakes.LinkFault, cut int) {
		testbed.ExpectServedAlike(len(daemons), cut, func(i int) { daemons[i].Link.Set(fault) }, try)
	},
		Entry("when connections hang", fakes.LinkHangs, 1),
		Entry("when connections are reset", fakes.LinkResets, 1),
		Entry("when open connections live on and new ones are refused", fakes.LinkRefusesNew, 1),
		Entry("when three of four are cut off", fakes.LinkHangs, 3),
	)

	DescribeTable("serve their callers in time from 1.5 s on when connections are accepted and nothing is answered", func(cut int) {
		testbed.ExpectServedAlikeInTime(len(daemons), cut, func(i int) { daemons[i].Link.Set(fakes.LinkSilent) }, try)
	},
		Entry("at one of four daemons", 1),
		Entry("at three of four daemons", 3),
	)
})
