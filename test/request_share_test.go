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
		length   = 4 * time.Second
	)

	It("is kept over two daemons while another team floods", func() {
		bed := &requestBed{Bed: testbed.New()}
		bed.AddEngines("north", "north-a", 2, fakes.EngineOptions{ChecksFencing: true, TokenDelay: 10 * time.Millisecond})
		daemons := bed.StartDaemons(nil, "north", "north")
		configuration := testbed.SampleConfig(1, "north")
		configuration.Models[0].Requests = slots
		configuration.Teams = append(configuration.Teams, config.Team{Name: "flood", KeyHashes: []string{callerapi.HashKey(floodKey)}, Share: 1})
		bed.Publish(0, configuration)
		for _, d := range daemons {
			Eventually(func() int { return len(d.CompleteGroups(testbed.SampleModel)) }, waitComplete, tick).Should(Equal(1))
			expectWhole(ask(d, completionBody("warm up", tokens, false)), completionBody("warm up", tokens, false), tokens)
		}

		var all sync.WaitGroup
		var flooded, refused atomic.Int64
		end := time.Now().Add(length)
		for i := range 40 {
			all.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					if askAs(daemons[i%2], floodKey, completionBody(fmt.Sprintf("flood %d %d", i, n), tokens, false), nil).whole {
						flooded.Add(1)
						continue
					}
					refused.Add(1)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		// Half the slots serve 40 requests a second; the quiet team asks for 25.
		var asked, whole atomic.Int64
		for i := 0; time.Now().Before(end); i++ {
			time.Sleep(40 * time.Millisecond)
			asked.Add(1)
			all.Go(func() {
				if ask(daemons[i%2], completionBody(fmt.Sprintf("quiet %d", i), tokens, false)).whole {
					whole.Add(1)
				}
			})
		}
		all.Wait()
		GinkgoWriter.Printf("quiet %d of %d, flood %d and %d refused, most at once %d\n", whole.Load(), asked.Load(), flooded.Load(), refused.Load(), bed.mostAtOnce())
		Expect(float64(whole.Load())).To(BeNumerically(">=", 0.95*float64(asked.Load())))
		Expect(refused.Load()).To(BeNumerically(">", 0))
		Expect(float64(bed.mostAtOnce())).To(BeNumerically("<=", 1.5*slots))
	})
})

// mostAtOnce returns the most requests that ran on one engine at once.
func (b *requestBed) mostAtOnce() int {
	most := 0
	b.eachEngine(func(engine *testbed.Engine) {
		running := 0
		for _, event := range engine.Events() {
			switch event.Kind {
			case fakes.EventStart:
				running++
			case fakes.EventFinish, fakes.EventCancel:
				running--
			}
			most = max(most, running)
		}
	})
	return most
}
