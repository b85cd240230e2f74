package test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

var _ = Describe("Prompt cache events of engines", func() {
	It("let a daemon find the blocks of a repeated prompt, and change no answer when they are late or have gaps", func() {
		bed := newRequestBed(2, fakes.EngineOptions{CacheBlocks: 40}, nil)
		sendSix := func(name string) {
			for i := range 6 {
				body := completionBody(fmt.Sprintf("%s %d ", name, i)+strings.Repeat("x", 1600), 3, i%2 == 0)
				expectCompleteAnswer(sendCompletion(bed.daemon, body), body, 3)
			}
		}
		sendSix("plain")
		Expect(metricValue(bed.daemon, "plantainmux_cache_events_total")).To(BeNumerically(">=", 18))
		Expect(metricValue(bed.daemon, "plantainmux_cache_event_gaps_total")).To(BeZero())
		Expect(metricValue(bed.daemon, "plantainmux_prompt_blocks_total")).To(Equal(18))
		sendSix("plain")
		Expect(metricValue(bed.daemon, "plantainmux_prompt_blocks_held_total")).To(BeNumerically(">", 0))

		bed.eachEngine(func(e *testbed.Engine) {
			e.SetStreamFaults(fakes.StreamFaults{CacheLag: 20 * time.Millisecond, CacheGap: true})
		})
		for round := range 4 {
			sendSix(fmt.Sprintf("lossy %d", round))
			time.Sleep(30 * time.Millisecond)
		}
		Expect(metricValue(bed.daemon, "plantainmux_cache_event_gaps_total")).To(BeNumerically(">", 0))
	})
})
