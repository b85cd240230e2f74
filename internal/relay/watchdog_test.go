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
	var stopCause error
	// newUnscheduled returns a watchdog whose checks are run by the spec itself.
	newUnscheduled := func(fencing fleet.FencingNumber, condition group.Condition) *watchdog {
		stopCause = nil
		views := view.NewStore()
		views.Publish(&view.View{Status: []view.GroupStatus{{Group: fleet.Group{Fencing: 1}, Condition: condition}}})
		w := &watchdog{attempt: "a.1", group: fencing, views: views, cancel: func(cause error) { stopCause = cause }}
		w.timer = time.AfterFunc(time.Hour, func() {})
		DeferCleanup(w.stop)
		return w
	}
	silenceAtCancel := func(w *watchdog) time.Duration {
		w.startWaiting()
		w.check()
		for stopCause == nil && w.silence < time.Minute {
			w.check()
		}
		return w.silence
	}

	DescribeTable("cancels an attempt",
		func(fencing fleet.FencingNumber, condition group.Condition, timeout time.Duration) {
			Expect(silenceAtCancel(newUnscheduled(fencing, condition))).To(Equal(timeout + checkInterval))
			var stalled *StalledError
			Expect(stopCause).To(BeAssignableToTypeOf(stalled))
		},
		Entry("on a complete group after the long timeout", fleet.FencingNumber(1), group.Complete, completeGroupTimeout),
		Entry("on a draining group after the long timeout", fleet.FencingNumber(1), group.Draining, completeGroupTimeout),
		Entry("on a group with a silent member after the short timeout", fleet.FencingNumber(1), group.MemberSilent, incompleteGroupTimeout),
		Entry("on a group with a restarted member after the short timeout", fleet.FencingNumber(1), group.MemberBooted, incompleteGroupTimeout),
		Entry("on a released group after the short timeout", fleet.FencingNumber(2), group.Complete, incompleteGroupTimeout),
		Entry("in another data centre after the long timeout", fleet.NoGroup, group.Complete, completeGroupTimeout),
	)

	It("counts neither the time spent forwarding a frame nor the time before its arrival", func() {
		w := newUnscheduled(1, group.MemberSilent)
		for range 20 {
			w.startWaiting()
			w.check()
			w.check()
			w.recordFrame()
			for range 10 {
				w.check()
			}
		}
		for range 40 { // a frame arrives between two checks
			w.recordFrame()
			w.startWaiting()
			w.check()
		}
		Expect(stopCause).To(BeNil())
	})
})
