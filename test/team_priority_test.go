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
	It("overtakes the requests that wait in an engine's queue", func() {
		const urgentKey = "testbed-urgent-key"
		bed := newRequestBed(1, fakes.EngineOptions{TokenDelay: 20 * time.Millisecond, MaxRunning: 1}, func(c *config.Configuration) {
			c.Teams = append(c.Teams, config.Team{Name: "urgent", KeyHashes: []string{callerapi.HashKey(urgentKey)}, Share: 1, Priority: 10})
		})
		var all sync.WaitGroup
		for i := range 10 {
			all.Go(func() {
				defer GinkgoRecover()
				body := completionBody(fmt.Sprintf("patient %d", i), 10, false)
				expectCompleteAnswer(sendCompletion(bed.daemon, body), body, 10)
			})
		}
		Eventually(func() int { return bed.count(fakes.EventStart, "") }, completeTimeout, pollInterval).Should(Equal(10))
		urgent := completionBody("urgent", 10, false)
		expectCompleteAnswer(sendCompletionAs(bed.daemon, urgentKey, urgent, nil), urgent, 10)
		all.Wait()

		pending, finishedBefore, attempt := 0, 0, ""
		for _, event := range bed.engineRunning(urgent).Events() {
			switch {
			case event.Kind == fakes.EventStart && event.Body == urgent:
				attempt = event.Attempt
			case event.Kind == fakes.EventStart:
				pending++
			case event.Kind == fakes.EventFinish && attempt == "":
				pending--
			case event.Kind == fakes.EventFinish && event.Attempt == attempt:
				Expect(pending).To(BeNumerically(">=", 5))
				Expect(finishedBefore).To(BeNumerically("<=", 2)) // the running request, and one that was started while the urgent one was on its way
				return
			case event.Kind == fakes.EventFinish:
				finishedBefore++
			}
		}
		Fail("the engine did not finish the urgent request")
	})
})
