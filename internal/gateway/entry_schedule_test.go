package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

var _ = Describe("The schedule of reads of the endpoint entries", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var converging bool
	var schedule *entrySchedule
	// reads returns the milliseconds of the reads until a time, the first one at 0 left out.
	reads := func(until int) []int {
		var found []int
		for previous := start; ; {
			previous = schedule.next(previous)
			if previous.After(at(until)) {
				return found
			}
			found = append(found, int(previous.Sub(start).Milliseconds()))
		}
	}
	BeforeEach(func() {
		converging = false
		schedule = &entrySchedule{converging: func() bool { return converging }}
	})

	It("reads at long intervals while nothing is expected", func() {
		Expect(reads(2200)).To(Equal([]int{700, 1400, 2100}))
	})

	It("reads once when all members of a group are due, and not before", func() {
		converging = true
		Expect(schedule.expect(at(200))).To(BeTrue())
		for i := range 15 {
			Expect(schedule.expect(at(200+i))).To(BeFalse(), "seen by the same read")
		}
		first := schedule.next(start)
		Expect(first).To(BeTemporally(">=", at(200)))
		Expect(first).To(BeTemporally("<=", at(200).Add(effectMargin+effectGrid)))
	})

	It("reads at growing intervals what is overdue", func() {
		converging = true
		schedule.expect(at(20))
		made := reads(4000)
		Expect(made[0]).To(BeNumerically("<=", 80))
		Expect(made[1] - made[0]).To(Equal(100))
		Expect(len(made)).To(BeNumerically("<=", 13), "a load of 4 s")
		Expect(made[len(made)-1] - made[len(made)-2]).To(BeNumerically("<=", 700))
	})

	It("does not wait for a late effect beyond the usual interval", func() {
		schedule.expect(at(5000))
		Expect(reads(1500)).To(Equal([]int{700, 1400}))
	})

	It("reads earlier for an effect that is due before the others", func() {
		schedule.expect(at(600))
		Expect(schedule.expect(at(200))).To(BeTrue())
		Expect(schedule.expect(at(400))).To(BeFalse())
		Expect(reads(650)).To(HaveLen(3))
	})
})
