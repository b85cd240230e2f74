package hedge_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/hedge"
)

var _ = Describe("An attempt in progress", func() {
	// quiet is a stream whose group has sent nothing for longer than its timeout.
	quiet := func() hedge.State {
		return hedge.State{
			Repeatable: true, Begun: true, Ran: 1, MaxAttempts: 2, Sent: 1, MaxSent: 4, Remaining: time.Second,
			Silence: 300 * time.Millisecond, SilenceTimeout: 250 * time.Millisecond, TargetSilent: true, Busy: 4, BusySilent: 2, SlowAfter: 1500 * time.Millisecond,
		}
	}
	DescribeTable("gets another one beside it, is ended, or goes on alone",
		func(change func(s *hedge.State), want hedge.Action) {
			s := quiet()
			change(&s)
			Expect(hedge.Decide(s)).To(Equal(want))
		},
		Entry("silent", func(*hedge.State) {}, hedge.Silent),
		Entry("not repeatable", func(s *hedge.State) { s.Repeatable = false }, hedge.Wait),
		Entry("all attempts that may run are in progress", func(s *hedge.State) { s.Ran = 2 }, hedge.Wait),
		Entry("more were rejected than may be sent", func(s *hedge.State) { s.Sent = 4 }, hedge.Wait),
		Entry("no time for another one", func(s *hedge.State) { s.Remaining = hedge.MinRemaining - 1 }, hedge.Wait),
		Entry("the caller keeps it from being read", func(s *hedge.State) { s.HeldBack = true }, hedge.Wait),
		Entry("other streams of the target go on", func(s *hedge.State) { s.TargetSilent = false }, hedge.Wait),
		Entry("others do not, but this one did just now", func(s *hedge.State) { s.Silence = 250 * time.Millisecond }, hedge.Wait),
		Entry("it alone, for long", func(s *hedge.State) { s.TargetSilent, s.Silence = false, 1501*time.Millisecond }, hedge.Slow),
		Entry("never slow", func(s *hedge.State) { s.TargetSilent, s.Silence, s.SlowAfter = false, time.Hour, 0 }, hedge.Wait),
		Entry("superseded", func(s *hedge.State) { s.TargetSilent, s.Superseded, s.Silence = false, true, 126*time.Millisecond }, hedge.Silent),
		Entry("superseded, and still writing", func(s *hedge.State) { s.TargetSilent, s.Superseded, s.Silence = false, true, 125*time.Millisecond }, hedge.Wait),
		Entry("withdrawn without output", func(s *hedge.State) { s.Begun, s.Withdrawn = false, true }, hedge.Withdraw),
		Entry("withdrawn without output, and may not run again", func(s *hedge.State) { s.Begun, s.Withdrawn, s.Repeatable = false, true, false }, hedge.Withdraw),
		Entry("withdrawn with output", func(s *hedge.State) { s.Withdrawn, s.TargetSilent = true, false }, hedge.Wait),
	)

	DescribeTable("is followed at a target that is alive, or idle unless the cause of the silence is common to most",
		func(busy, silent int, action hedge.Action, live, want bool) {
			Expect(hedge.Promising(hedge.State{Busy: busy, BusySilent: silent}, action, live)).To(Equal(want))
		},
		Entry("one of one silent, idle", 1, 1, hedge.Silent, false, true),
		Entry("one of three, idle", 3, 1, hedge.Silent, false, true),
		Entry("half, idle", 4, 2, hedge.Silent, false, true),
		Entry("two of two, idle", 2, 2, hedge.Silent, false, false),
		Entry("three of four, idle", 4, 3, hedge.Silent, false, false),
		Entry("three of four, alive", 4, 3, hedge.Silent, true, true),
		Entry("all for long, idle", 4, 4, hedge.Slow, false, true),
	)
})
