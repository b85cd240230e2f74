package test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/callerapi"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

var _ = Describe("A team's share", func() {
	const (
		floodKey = "testbed-flood-key"
		slots    = 16
		tokens   = 20
		duration = 4 * time.Second
	)

	It("is available across two daemons while another team overloads the model", func() {
		bed := &requestBed{Bed: testbed.New()}
		bed.AddEngines("north", "north-a", 2, fakes.EngineOptions{ChecksFencing: true, TokenDelay: 10 * time.Millisecond})
		daemons := bed.StartDaemons(nil, "north", "north")
		configuration := testbed.SampleConfig(1, "north")
		configuration.Models[0].Requests = slots
		configuration.Teams = append(configuration.Teams, config.Team{Name: "flood", KeyHashes: []string{callerapi.HashKey(floodKey)}, Share: 1})
		bed.Publish(0, configuration)
		for _, d := range daemons {
			Eventually(func() int { return len(d.CompleteGroups(testbed.SampleModel)) }, completeTimeout, pollInterval).Should(Equal(1))
			expectCompleteAnswer(sendCompletion(d, completionBody("warm up", tokens, false)), completionBody("warm up", tokens, false), tokens)
		}

		var all sync.WaitGroup
		var floodAnswered, floodRefused atomic.Int64
		end := time.Now().Add(duration)
		for i := range 40 {
			all.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					if sendCompletionAs(daemons[i%2], floodKey, completionBody(fmt.Sprintf("flood %d %d", i, n), tokens, false), nil).complete {
						floodAnswered.Add(1)
						continue
					}
					floodRefused.Add(1)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		// Half of the slots serve 40 requests/s; the quiet team sends 25 requests/s.
		var quietSent, quietAnswered atomic.Int64
		for i := 0; time.Now().Before(end); i++ {
			time.Sleep(40 * time.Millisecond)
			quietSent.Add(1)
			all.Go(func() {
				if sendCompletion(daemons[i%2], completionBody(fmt.Sprintf("quiet %d", i), tokens, false)).complete {
					quietAnswered.Add(1)
				}
			})
		}
		all.Wait()
		GinkgoWriter.Printf("quiet team: %d of %d answered; flooding team: %d answered and %d refused; at most %d concurrent requests\n", quietAnswered.Load(), quietSent.Load(), floodAnswered.Load(), floodRefused.Load(), bed.maxConcurrent())
		Expect(float64(quietAnswered.Load())).To(BeNumerically(">=", 0.95*float64(quietSent.Load())))
		Expect(floodRefused.Load()).To(BeNumerically(">", 0))
		Expect(float64(bed.maxConcurrent())).To(BeNumerically("<=", 1.5*slots))
	})
})

// maxConcurrent returns the highest number of requests that ran concurrently on
// one engine.
func (b *requestBed) maxConcurrent() int {
	highest := 0
	b.eachEngine(func(engine *testbed.Engine) {
		running := 0
		for _, event := range engine.Events() {
			switch event.Kind {
			case fakes.EventStart:
				running++
			case fakes.EventFinish, fakes.EventCancel:
				running--
			}
			highest = max(highest, running)
		}
	})
	return highest
}
