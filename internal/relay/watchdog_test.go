package relay

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/view"
)

var _ = Describe("The watchdog", func() {
	var given error
	// guard returns a watchdog whose checks the spec makes itself.
	guard := func(fencing fleet.FencingNumber, condition group.Condition) *watchdog {
		given = nil
		views := view.NewStore()
		views.Publish(&view.View{Status: []view.GroupStatus{{Group: fleet.Group{Fencing: 1}, Condition: condition}}})
		w := &watchdog{attempt: "a.1", group: fencing, views: views, giveUp: func(cause error) { given = cause }}
		w.timer = time.AfterFunc(time.Hour, func() {})
		DeferCleanup(w.stop)
		return w
	}
	silent := func(w *watchdog) time.Duration {
		w.await()
		w.check()
		for given == nil && w.quiet < time.Minute {
			w.check()
		}
		return w.quiet
	}

	DescribeTable("gives up",
		func(fencing fleet.FencingNumber, condition group.Condition, limit time.Duration) {
			Expect(silent(guard(fencing, condition))).To(Equal(limit + watchPeriod))
			var stalled *StalledError
			Expect(given).To(BeAssignableToTypeOf(stalled))
		},
		Entry("a complete group late", fleet.FencingNumber(1), group.Complete, silenceAlive),
		Entry("a draining group late", fleet.FencingNumber(1), group.Draining, silenceAlive),
		Entry("a group with a silent member early", fleet.FencingNumber(1), group.MemberSilent, silenceIncomplete),
		Entry("a group with a restarted member early", fleet.FencingNumber(1), group.MemberBooted, silenceIncomplete),
		Entry("a released group early", fleet.FencingNumber(2), group.Complete, silenceIncomplete),
		Entry("another data centre late", fleet.NoGroup, group.Complete, silenceAlive),
	)

	It("counts neither the time in which a frame is passed on nor that before the frame", func() {
		w := guard(1, group.MemberSilent)
		for range 20 {
			w.await()
			w.check()
			w.check()
			w.rest()
			for range 10 {
				w.check()
			}
		}
		for range 40 { // frames come between two checks
			w.rest()
			w.await()
			w.check()
		}
		Expect(given).To(BeNil())
	})
})
