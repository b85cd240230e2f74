package suspect_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

var _ = Describe("A prompt part", func() {
	const first, cause, rare = 1, 2, 3
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	parts := func(ids ...uint64) suspect.Subject { return suspect.Subject{Parts: ids} }
	var table *suspect.Table
	var request uint64
	// crash records the crash of a group on a request of its own with prompt parts.
	crash := func(ms int, group fleet.FencingNumber, ids ...uint64) {
		request++
		table.Add(suspect.Crash{Subject: suspect.Subject{Fingerprint: 1000 + request, Parts: ids}, Group: group, At: at(ms)}, at(ms))
	}
	standings := func(ms int, ids ...uint64) []suspect.Standing {
		table.Review(at(ms))
		var all []suspect.Standing
		for _, id := range ids {
			all = append(all, table.Standing(parts(id), at(ms)))
		}
		return all
	}
	BeforeEach(func() {
		request = 0
		table = suspect.NewTable(suspect.Policy{ConfirmAfter: func() time.Duration { return 500 * time.Millisecond }})
	})

	It("is refused once three groups have crashed on it, whatever else the request holds", func() {
		for i := range 3 {
			Expect(standings(100*i+599, cause)).To(Equal([]suspect.Standing{suspect.Clear}))
			crash(100*i, fleet.FencingNumber(i), uint64(10+i), cause)
		}
		Expect(standings(699, cause)).To(Equal([]suspect.Standing{suspect.Clear}), "the third crash is not confirmed")
		Expect(standings(700, cause, 10, 11)).To(Equal([]suspect.Standing{suspect.Refused, suspect.Clear, suspect.Clear}))
		Expect(table.Standing(suspect.Subject{Fingerprint: 7, Parts: []uint64{99, cause, 98}}, at(700))).To(Equal(suspect.Refused))
	})

	// Guards against requests that are refused on waking, while the news that the groups go on waits unread.
	It("is not refused before the process has run for the time in which crashes are confirmed", func() {
		standstills := &awake.Standstills{Interval: 100 * time.Millisecond}
		table = suspect.NewTable(suspect.Policy{ConfirmAfter: func() time.Duration { return 500 * time.Millisecond }, Standstills: standstills})
		for i := range 3 {
			crash(0, fleet.FencingNumber(i), cause)
		}
		standstills.Look(at(0))
		Expect(standings(3000, cause)).To(Equal([]suspect.Standing{suspect.Clear}))
		for ms := 3000; ms <= 3400; ms += 100 {
			standstills.Look(at(ms))
		}
		Expect(standings(3400, cause)).To(Equal([]suspect.Standing{suspect.Refused}))
	})

	It("counts the crash of a group once, however many requests were on it", func() {
		for range 5 {
			crash(0, 1, cause)
			crash(100, 2, cause)
		}
		Expect(standings(2000, cause)).To(Equal([]suspect.Standing{suspect.Clear}))
	})

	It("is cleared by each request with it that is answered", func() {
		for i := range 12 {
			crash(300*i, fleet.FencingNumber(i), first)
			if i%3 == 1 {
				Expect(table.Clear(parts(first), at(300*i+10))).To(BeTrue())
			}
			Expect(standings(300*i+20, first)).To(Equal([]suspect.Standing{suspect.Clear}))
		}
	})

	It("is not refused for crashes that another part explains, though it was in more of them", func() {
		table.Clear(parts(first), now) // requests with it were answered before
		for i := range 6 {
			crash(100*i, fleet.FencingNumber(i), first, cause)
		}
		crash(650, 50, first)
		crash(100, 1, rare)
		crash(300, 3, rare)
		crash(500, 5, rare)
		Expect(standings(2000, first, cause, rare)).To(Equal([]suspect.Standing{suspect.Clear, suspect.Refused, suspect.Clear}))
	})

	It("is refused beside another one that crashes groups as well", func() {
		const second = 4
		table.Clear(parts(first), now)
		for i := range 4 {
			crash(100*i, fleet.FencingNumber(i), first, cause)
			crash(100*i, fleet.FencingNumber(20+i), first, second)
		}
		Expect(standings(2000, cause, second)).To(Equal([]suspect.Standing{suspect.Refused, suspect.Refused}))
	})

	It("is not refused if one request, repeated, was in all of its crashes", func() {
		repeated := suspect.Subject{Fingerprint: 7, Parts: []uint64{first, rare}}
		for i := range 4 {
			table.Add(suspect.Crash{Subject: repeated, Group: fleet.FencingNumber(i), At: at(i)}, at(i))
		}
		Expect(standings(2000, first, rare)).To(Equal([]suspect.Standing{suspect.Clear, suspect.Clear}))
		Expect(table.Standing(repeated, at(2000))).To(Equal(suspect.Refused))
	})

	It("is not held against groups that go on", func() {
		for i := range 6 {
			crash(0, fleet.FencingNumber(i), cause)
		}
		Expect(table.Crashed(at(-100))).To(HaveLen(6))
		for i := range 4 {
			table.ClearGroup(suspect.GroupKey{Group: fleet.FencingNumber(i)}, at(300))
		}
		Expect(table.Crashed(at(-100))).To(HaveLen(2))
		Expect(standings(2000, cause)).To(Equal([]suspect.Standing{suspect.Clear}))
	})

	It("is tried by its owner alone, ever later, and not together with another refused part", func() {
		for i := range 3 {
			crash(0, fleet.FencingNumber(i), cause)
			crash(0, fleet.FencingNumber(10+i), rare)
		}
		Expect(standings(1000, cause, rare)).To(Equal([]suspect.Standing{suspect.Refused, suspect.Refused}))
		owns := func(suspect.Trait) bool { return true }
		notOwner := func(suspect.Trait) bool { return false }
		Expect(table.TakeTrial(parts(cause), at(59_000), owns)).To(BeFalse())
		Expect(table.TakeTrial(parts(cause), at(61_000), notOwner)).To(BeFalse())
		Expect(table.TakeTrial(parts(cause, rare), at(61_000), owns)).To(BeFalse())
		Expect(table.TakeTrial(parts(cause, 99), at(61_000), owns)).To(BeTrue())
		Expect(table.TakeTrial(parts(cause), at(61_000), owns)).To(BeFalse())
		Expect(table.TakeTrial(parts(cause), at(61_000+239_000), owns)).To(BeFalse())
		Expect(table.TakeTrial(parts(cause), at(61_000+241_000), owns)).To(BeTrue())
		Expect(table.RetryAfter(parts(cause), at(61_000+241_000))).To(Equal(16 * time.Minute))
		table.Clear(parts(cause), at(303_000))
		Expect(standings(303_000, cause)).To(Equal([]suspect.Standing{suspect.Clear}))
	})

	It("is tried soon if requests with it were answered before, since others of it may be sound", func() {
		table.Clear(parts(first), now)
		for i := range 4 {
			crash(0, fleet.FencingNumber(i), first)
		}
		Expect(standings(1000, first)).To(Equal([]suspect.Standing{suspect.Clear}))
		crash(1000, 9, first)
		Expect(standings(1500, first)).To(Equal([]suspect.Standing{suspect.Refused}))
		owns := func(suspect.Trait) bool { return true }
		Expect(table.TakeTrial(parts(first), at(2900), owns)).To(BeFalse())
		Expect(table.TakeTrial(parts(first), at(3000), owns)).To(BeTrue())
		table.Clear(parts(first), at(3300))
		Expect(standings(3300, first)).To(Equal([]suspect.Standing{suspect.Clear}))
	})

	It("is tried soon if others were in all of its crashes, which then are refused in its place", func() {
		const second = 4
		for i := range 4 {
			crash(100*i, fleet.FencingNumber(i), first, cause)
			crash(100*i, fleet.FencingNumber(20+i), first, second)
		}
		Expect(standings(2000, first, cause, second)).To(Equal([]suspect.Standing{suspect.Refused, suspect.Clear, suspect.Clear}))
		Expect(table.TakeTrial(parts(first), at(2300), func(suspect.Trait) bool { return true })).To(BeTrue())
		table.Clear(parts(first), at(2600))
		Expect(standings(2600, first, cause, second)).To(Equal([]suspect.Standing{suspect.Clear, suspect.Refused, suspect.Refused}))
	})

	It("stays refused while requests with it come, and is forgotten after them", func() {
		for i := range 3 {
			crash(0, fleet.FencingNumber(i), cause)
		}
		ttl := int(suspect.CrashTTL.Milliseconds())
		Expect(standings(ttl-1000, cause)).To(Equal([]suspect.Standing{suspect.Refused}))
		table.Extend(parts(cause), at(ttl-1000))
		Expect(standings(2*ttl-2000, cause)).To(Equal([]suspect.Standing{suspect.Refused}))
		Expect(standings(2*ttl, cause)).To(Equal([]suspect.Standing{suspect.Clear}))
	})

	It("is refused by a daemon that starts long after the crashes, as long as requests with it come", func() {
		for i := range 3 {
			crash(0, fleet.FencingNumber(i), cause)
		}
		ttl := int(suspect.CrashTTL.Milliseconds())
		for minute := 1; minute <= 30; minute++ {
			table.Extend(parts(cause), at(minute*60_000))
			Expect(standings(minute*60_000, cause)).To(Equal([]suspect.Standing{suspect.Refused}))
		}
		started := suspect.NewTable(suspect.Policy{})
		started.Merge(table.Reports(at(31*60_000)), at(31*60_000))
		Expect(started.Standing(parts(cause), at(31*60_000))).To(Equal(suspect.Refused))
		Expect(started.Standing(parts(cause), at(31*60_000+ttl))).To(Equal(suspect.Clear), "no daemon gives back what has expired")
		table.Merge(started.Reports(at(31*60_000+ttl-60_000)), at(31*60_000+ttl))
		Expect(standings(31*60_000+ttl, cause)).To(Equal([]suspect.Standing{suspect.Clear}))
	})

	It("is told before requests that are refused, however many there are", func() {
		for i := range 3 {
			for request := range uint64(200) {
				table.Add(suspect.Crash{Subject: suspect.Subject{Fingerprint: 5000 + request}, Group: fleet.FencingNumber(100 + i), At: at(0)}, at(0))
			}
			crash(0, fleet.FencingNumber(i), cause)
		}
		table.Review(at(5000))
		Expect(len(table.Reports(at(5000)))).To(BeNumerically("<=", 64))
		started := suspect.NewTable(suspect.Policy{})
		started.Merge(table.Reports(at(5000)), at(5000))
		Expect(started.Standing(parts(cause), at(5000))).To(Equal(suspect.Refused))
	})
})
