package admit

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

var _ = Describe("Pool", func() {
	now := time.Unix(1000, 0)
	var pool *Pool
	arrive := func(team fleet.TeamName, timeout time.Duration) (*Ticket, refusal.Reason) {
		ticket := &Ticket{Team: team, Deadline: now.Add(timeout)}
		_, refused := pool.Arrive(ticket, now)
		if refused != nil {
			Expect(refused.Outcome).To(Equal(refusal.NotRun))
			return nil, refused.Reason
		}
		return ticket, ""
	}
	BeforeEach(func() {
		pool = NewPool(Bounds{QueueLength: 10, QueueWait: time.Second})
		pool.SetAllotment(Allotment{Slots: 1, Teams: map[fleet.TeamName]int{"a": 1, "b": 1}})
		pool.SetQueueShare("a", 0.5)
	})

	It("starts the earliest deadline first and drops requests that are too late", func() {
		first, _ := arrive("a", time.Minute)
		late, _ := arrive("a", 30*time.Second)
		early, _ := arrive("a", 10*time.Second)
		Expect(pool.Next(now)).To(BeNil())
		pool.Depart(first, time.Second, true)
		Expect(pool.Next(now)).To(BeIdenticalTo(early))
		pool.Depart(early, time.Second, true)
		Expect(pool.Next(now.Add(2 * time.Second))).To(BeNil())
		pool.Abandon(late)
		running, waiting := pool.Demand("a")
		Expect(running + waiting).To(BeZero())
	})

	It("refuses requests that cannot finish in time or would wait too long", func() {
		first, _ := arrive("a", time.Minute)
		pool.Depart(first, 3*time.Second, true)
		_, reason := arrive("a", time.Second)
		Expect(reason).To(Equal(refusal.DeadlineTooShort))
		pool.SetAllotment(Allotment{Slots: 0, Backlog: map[fleet.TeamName]float64{"a": 2}})
		_, reason = arrive("a", time.Minute)
		Expect(reason).To(Equal(refusal.Overloaded))
	})

	It("limits the queue of each team and the total queue", func() {
		var reason refusal.Reason
		for range 7 {
			_, reason = arrive("a", time.Minute)
		}
		Expect(reason).To(Equal(refusal.TeamOverShare))
		readmitted := &Ticket{Team: "a", Deadline: now.Add(time.Minute), Readmitted: true}
		_, refused := pool.Arrive(readmitted, now)
		Expect(refused).To(BeNil())
		for range 8 {
			_, reason = arrive("b", time.Minute)
		}
		Expect(reason).To(Equal(refusal.Overloaded))
		Expect(pool.waiting).To(Equal(10))
	})
})
