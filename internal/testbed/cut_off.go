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

// The bounds on the callers of daemons whose endpoints accept connections and answer nothing.
const (
	silencePeriod    = 1500 * time.Millisecond // after the start of the silence, from which on they hold
	servedWithin     = 500 * time.Millisecond  // from the request to its complete answer; without a fault it takes some milliseconds
	leastInTimeShare = 0.95                    // of what the other daemons' callers get
)

// ExpectServedAlike cuts off the first daemons while requests are sent to all, and expects that from
// cutOffPeriod on their callers are served as those of the others are.
func ExpectServedAlike(daemons, cut int, cutOff func(daemon int), try func(daemon, round int) (served bool, seen string)) {
	GinkgoHelper()
	affected, others := sendAroundCut(daemons, cut, cutOffPeriod, cutOff, try)
	failed := affected.Sent - affected.Served
	if float64(failed) > allowedFailures+allowedFailedShare*float64(affected.Sent+others.Sent) {
		Expect(affected.share()).To(BeNumerically(">=", leastServedShare*others.share()), "cut off %+v, others %+v", affected, others)
	}
}

// ExpectServedAlikeInTime cuts off the first daemons while requests are sent to all, and expects that
// from silencePeriod on their callers are served within servedWithin as those of the others are.
func ExpectServedAlikeInTime(daemons, cut int, cutOff func(daemon int), try func(daemon, round int) (served bool, seen string)) {
	GinkgoHelper()
	affected, others := sendAroundCut(daemons, cut, silencePeriod, cutOff, func(daemon, round int) (bool, string) {
		began := time.Now()
		served, seen := try(daemon, round)
		return served && time.Since(began) <= servedWithin, seen
	})
	Expect(affected.share()).To(BeNumerically(">=", leastInTimeShare*others.share()), "cut off %+v, others %+v", affected, others)
}

// sendAroundCut cuts off the first daemons while requests are sent to all. It returns the requests
// sent later than a period after the cut.
func sendAroundCut(daemons, cut int, period time.Duration, cutOff func(daemon int), try func(daemon, round int) (served bool, seen string)) (affected, others FirstTries) {
	GinkgoHelper()
	timer := time.AfterFunc(cutOffDelay, func() {
		for daemon := range cut {
			cutOff(daemon)
		}
	})
	defer timer.Stop()
	from := time.Now().Add(cutOffDelay + period)
	counted := SendFirstTries(daemons, from, from.Add(cutOffMeasured), try)
	for daemon, tries := range counted {
		if daemon < cut {
			affected.add(tries)
		} else {
			others.add(tries)
		}
	}
	Expect(affected.Sent).To(BeNumerically(">", cutOffLeastTries))
	Expect(others.share()).To(BeNumerically(">", othersLeastShare), "%+v", others)
	return affected, others
}
