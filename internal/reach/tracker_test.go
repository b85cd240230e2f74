package reach_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/reach"
)

var _ = Describe("The state of a daemon's links to the endpoints", func() {
	var tracker *reach.Tracker
	var now time.Time
	const known = 12
	all := func(string, time.Time) bool { return true }
	none := func(string, time.Time) bool { return false }
	failConnects := func(endpoints int) {
		for i := range endpoints {
			tracker.ObserveConnectFailure(fmt.Sprintf("e%d", i), now)
		}
	}
	lost := func(vouch reach.Vouch) bool {
		_, lost := tracker.Review(now, known, vouch)
		return lost
	}

	BeforeEach(func() {
		tracker = reach.NewTracker()
		now = time.Unix(1_700_000_000, 0)
	})

	It("is lost once three endpoints in a row fail that other daemons reach", func() {
		failConnects(2)
		Expect(lost(all)).To(BeFalse())
		failConnects(3)
		Expect(lost(all)).To(BeTrue())
		Expect(tracker.State()).To(Equal(reach.CutOff))
		Expect(lost(all)).To(BeFalse(), "it is reported once")
	})

	// Guards against a cut that is never noticed, as each failure expires in the pause before the next one.
	It("is lost when endpoints that are down are tried by turns, with the longest pause between two attempts", func() {
		const pause = 3001 * time.Millisecond // 34.837 s and 37.838 s of a run that failed
		isLost := false
		for turn := range 4 {
			tracker.ObserveConnectFailure(fmt.Sprintf("e%d", turn%2), now)
			for until := now.Add(pause); now.Before(until); now = now.Add(100 * time.Millisecond) {
				_, lost := tracker.Review(now, 2, all)
				isLost = isLost || lost
			}
		}
		Expect(isLost).To(BeTrue())
	})

	It("is not lost by failures that are as far apart once an endpoint has answered between them", func() {
		tracker.ObserveConnectFailure("e0", now)
		now = now.Add(1500 * time.Millisecond)
		tracker.ObserveAnswer(true)
		now = now.Add(1501 * time.Millisecond)
		tracker.ObserveConnectFailure("e1", now)
		_, isLost := tracker.Review(now, 2, all)
		Expect(isLost).To(BeFalse())
	})

	It("is lost when the only endpoints fail that there are", func() {
		failConnects(1)
		_, isLost := tracker.Review(now, 1, all)
		Expect(isLost).To(BeTrue())
	})

	It("is not lost while nobody reaches these endpoints, as when a fabric domain is dark or all daemons are cut off", func() {
		failConnects(known)
		Expect(lost(none)).To(BeFalse())
	})

	It("is not lost when one or two endpoints are busy, silent for a second or gone", func() {
		for range 20 {
			failConnects(2)
			tracker.ObserveSilence("e0", now)
			now = now.Add(100 * time.Millisecond)
			Expect(lost(all)).To(BeFalse())
		}
	})

	It("is not lost on a lossy link, where some new connections succeed", func() {
		for range 50 {
			failConnects(2)
			tracker.ObserveAnswer(true)
			now = now.Add(100 * time.Millisecond)
			Expect(lost(all)).To(BeFalse())
		}
	})

	It("is lost although connections that are open already live on", func() {
		failConnects(3)
		tracker.ObserveAnswer(false)
		Expect(lost(all)).To(BeTrue())
	})

	It("is lost when endpoints accept connections and answer nothing", func() {
		for i := range 3 {
			tracker.ObserveSilence(fmt.Sprintf("e%d", i), now)
		}
		Expect(lost(all)).To(BeTrue())
	})

	It("is not lost by silence while any endpoint answers", func() {
		for i := range 3 {
			tracker.ObserveSilence(fmt.Sprintf("e%d", i), now)
			tracker.ObserveAnswer(false)
		}
		Expect(lost(all)).To(BeFalse())
	})

	silence := func(endpoints int) {
		for i := range endpoints {
			tracker.ObserveSilence(fmt.Sprintf("e%d", i), now)
		}
	}

	It("is not lost by silence while events of streams in progress arrive", func() {
		silence(known)
		tracker.ObserveEvent()
		Expect(lost(all)).To(BeFalse())
	})

	It("is lost by silence that follows the last event", func() {
		tracker.ObserveEvent()
		silence(3)
		Expect(lost(all)).To(BeTrue())
	})

	It("is lost although events arrive on open connections, if no new ones are made", func() {
		failConnects(3)
		tracker.ObserveEvent()
		Expect(lost(all)).To(BeTrue())
	})

	It("remembers an event that arrived before there was any failure", func() {
		began := now
		tracker.ObserveEvent()
		now = now.Add(100 * time.Millisecond)
		tracker.ReviewAnswers(now)
		Expect(tracker.AnsweredSince(began)).To(BeTrue())
		Expect(tracker.AnsweredSince(now.Add(time.Millisecond))).To(BeFalse())
	})

	It("forgets failures that are old", func() {
		failConnects(2)
		now = now.Add(4 * time.Second)
		failConnects(3)
		tracker.ObserveAnswer(true)
		failConnects(1)
		Expect(lost(all)).To(BeFalse())
	})

	It("is back after an answered probe and an answered request, which are tried one at a time", func() {
		failConnects(3)
		lost(all)
		Expect(tracker.BeginTrial()).To(BeFalse())
		tracker.ObserveProbe(now)
		Expect(tracker.BeginTrial()).To(BeTrue())
		Expect(tracker.BeginTrial()).To(BeFalse())
		tracker.EndTrial(true, now)
		Expect(tracker.State()).To(Equal(reach.Connected))
		Expect(lost(all)).To(BeFalse())
	})

	It("loses few requests to endpoints that answer probes and no request", func() {
		failConnects(3)
		lost(all)
		trials := 0
		for range 120 {
			now = now.Add(100 * time.Millisecond)
			tracker.ObserveProbe(now)
			if tracker.BeginTrial() {
				trials++
				tracker.EndTrial(false, now)
			}
		}
		Expect(trials).To(BeNumerically("<=", 8), "in 12 s")
		Expect(tracker.State()).NotTo(Equal(reach.Connected))
	})
})
