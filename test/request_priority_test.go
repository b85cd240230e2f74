package test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/callerapi"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fakes"
)

var _ = Describe("A request of a team with a higher priority", func() {
	It("overtakes those that wait in an engine's queue", func() {
		const urgentKey = "testbed-urgent-key"
		bed := newRequestBed(1, fakes.EngineOptions{TokenDelay: 20 * time.Millisecond, MaxRunning: 1}, func(c *config.Configuration) {
			c.Teams = append(c.Teams, config.Team{Name: "urgent", KeyHashes: []string{callerapi.HashKey(urgentKey)}, Share: 1, Priority: 10})
		})
		var all sync.WaitGroup
		for i := range 10 {
			all.Go(func() {
				defer GinkgoRecover()
				body := completionBody(fmt.Sprintf("patient %d", i), 10, false)
				expectWhole(ask(bed.daemon, body), body, 10)
			})
		}
		Eventually(func() int { return bed.count(fakes.EventStart, "") }, waitComplete, tick).Should(Equal(10))
		urgent := completionBody("urgent", 10, false)
		expectWhole(askAs(bed.daemon, urgentKey, urgent, nil), urgent, 10)
		all.Wait()

		waiting, before, attempt := 0, 0, ""
		for _, event := range bed.serving(urgent).Events() {
			switch {
			case event.Kind == fakes.EventStart && event.Body == urgent:
				attempt = event.Attempt
			case event.Kind == fakes.EventStart:
				waiting++
			case event.Kind == fakes.EventFinish && attempt == "":
				waiting--
			case event.Kind == fakes.EventFinish && event.Attempt == attempt:
				Expect(waiting).To(BeNumerically(">=", 5))
				Expect(before).To(BeNumerically("<=", 2)) // what ran, and what entered while it came
				return
			case event.Kind == fakes.EventFinish:
				before++
			}
		}
		Fail("the engine did not finish the urgent request")
	})
})
