package testbed

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The users' bounds on the callers of daemons that are cut off from all endpoints.
const (
	cutOffDelay        = time.Second     // of requests before the cut
	cutOffPeriod       = 3 * time.Second // after the cut, from which on they hold (stability_window_ms)
	cutOffMeasured     = 3 * time.Second
	cutOffLeastTries   = 40       // that the measured time must hold, at the daemons that are cut off
	othersLeastShare   = 0.9      // served by the other daemons, which have all that they need
	leastServedShare   = 2.0 / 3  // of what the other daemons' callers get
	allowedFailures    = 10       // below this and the next, the share does not count
	allowedFailedShare = 1.0 / 50 // of all first tries
)

// ExpectServedAlike cuts off the first daemons while requests are sent to all, and expects that from
// cutOffPeriod on their callers are served as those of the others are.
func ExpectServedAlike(daemons, cut int, cutOff func(daemon int), try func(daemon, round int) (served bool, seen string)) {
	GinkgoHelper()
	timer := time.AfterFunc(cutOffDelay, func() {
		for daemon := range cut {
			cutOff(daemon)
		}
	})
	defer timer.Stop()
	from := time.Now().Add(cutOffDelay + cutOffPeriod)
	counted := SendFirstTries(daemons, from, from.Add(cutOffMeasured), try)
	var affected, others FirstTries
	for daemon, tries := range counted {
		if daemon < cut {
			affected.add(tries)
		} else {
			others.add(tries)
		}
	}
	Expect(affected.Sent).To(BeNumerically(">", cutOffLeastTries))
	Expect(others.share()).To(BeNumerically(">", othersLeastShare), "%+v", others)
	failed := affected.Sent - affected.Served
	if float64(failed) > allowedFailures+allowedFailedShare*float64(affected.Sent+others.Sent) {
		Expect(affected.share()).To(BeNumerically(">=", leastServedShare*others.share()), "cut off %+v, others %+v", affected, others)
	}
}
