package suspect_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

var _ = Describe("A suspect", func() {
	now := time.Unix(1000, 0)
	seven, eight := suspect.Subject{Fingerprint: 7}, suspect.Subject{Fingerprint: 8}
	crash := func(group fleet.FencingNumber, alone bool) suspect.Crash {
		return suspect.Crash{Subject: seven, DataCentre: "north", Group: group, Alone: alone, At: now}
	}

	It("is refused after two crashes, one of them alone, until they expire", func() {
		table := suspect.NewTable(suspect.Policy{Isolates: true})
		table.Add(crash(1, false), now)
		Expect(table.Standing(seven, now)).To(Equal(suspect.Isolated))
		Expect(table.Standing(eight, now)).To(Equal(suspect.Clear))
		table.Add(crash(2, true), now)
		Expect(table.Standing(seven, now)).To(Equal(suspect.Refused))
		Expect(table.Standing(seven, now.Add(suspect.CrashTTL+time.Second))).To(Equal(suspect.Clear))
	})

	It("counts a crash once when several daemons report it", func() {
		table := suspect.NewTable(suspect.Policy{Isolates: true})
		table.Add(crash(1, true), now)
		table.Add(crash(1, true), now)
		Expect(table.Standing(seven, now)).To(Equal(suspect.Isolated))
	})

	It("is not refused for crashes of groups that it shared with other suspects", func() {
		table := suspect.NewTable(suspect.Policy{Isolates: true})
		table.Add(crash(1, false), now)
		table.Add(crash(2, false), now)
		Expect(table.Standing(seven, now)).To(Equal(suspect.Isolated))
		table.Clear(seven, now)
		Expect(table.Standing(seven, now)).To(Equal(suspect.Clear))
	})

	It("has at most one group, which no other suspect can claim", func() {
		claims := suspect.NewClaims("b")
		until := now.Add(time.Minute)
		claim, ok := claims.Take(1, 7, now, until)
		Expect(ok).To(BeTrue())
		_, ok = claims.Take(1, 8, now, until)
		Expect(ok).To(BeFalse())
		_, ok = claims.Take(2, 7, now, until)
		Expect(ok).To(BeFalse())
		claims.Apply(suspect.Claim{Holder: "c", Group: 1, Fingerprint: 9, Until: until}, now)
		Expect(claims.Holds(claim)).To(BeTrue())
		claims.Apply(suspect.Claim{Holder: "a", Group: 1, Fingerprint: 9, Until: until}, now)
		Expect(claims.Holds(claim)).To(BeFalse())
	})
})
