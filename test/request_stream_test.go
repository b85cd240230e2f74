package test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

var _ = Describe("The stream of an answer", func() {
	const tokens = 6

	It("is complete when its frames are duplicated, reordered, mixed with those of another attempt, or sent over connections that break", func() {
		bed := newRequestBed(1, fakes.EngineOptions{}, nil)
		for name, faults := range map[string]fakes.StreamFaults{
			"crossed":    {Cross: true},
			"duplicated": {Duplicate: true},
			"reordered":  {Reorder: true},
			"cut":        {CutEach: true},
			"all":        {Cross: true, Duplicate: true, Reorder: true, CutEach: true},
		} {
			By(name)
			bed.eachEngine(func(e *testbed.Engine) { e.SetStreamFaults(faults) })
			for _, stream := range []bool{true, false} {
				body := completionBody(name, tokens, stream)
				expectCompleteAnswer(sendCompletion(bed.daemon, body), body, tokens)
				Expect(bed.count(fakes.EventStart, body)).To(Equal(1))
			}
		}
		page := bed.daemon.Metrics()
		Expect(page).NotTo(ContainSubstring(`plantainmux_frames_faulty_total{fault="other_attempt"} 0`))
		Expect(page).NotTo(ContainSubstring(`plantainmux_frames_faulty_total{fault="duplicate"} 0`))
		Expect(page).NotTo(ContainSubstring(`plantainmux_frames_faulty_total{fault="gap"} 0`))
	})

	It("is resumed on the same attempt whichever frame its connection breaks before", func() {
		bed := newRequestBed(1, fakes.EngineOptions{}, nil)
		for cut := -1; cut <= tokens; cut++ {
			bed.eachEngine(func(e *testbed.Engine) { e.SetStreamFaults(fakes.StreamFaults{CutBefore: cut}) })
			body := completionBody(fmt.Sprintf("cut %d", cut), tokens, true)
			expectCompleteAnswer(sendCompletion(bed.daemon, body), body, tokens)
			Expect(bed.count(fakes.EventStart, body)).To(Equal(1))
		}
	})

	It("ends in an explicit error when its engine is killed and the model is not deterministic", func() {
		bed := newRequestBed(2, fakes.EngineOptions{TokenDelay: 30 * time.Millisecond}, nil)
		body := completionBody("killed", 40, true)
		got := bed.sendCompletionWithFault(body, killServer)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.complete).To(BeFalse())
		Expect(got.reason).To(Equal(string(refusal.EndpointBroke)))
		Expect(got.outcome).To(Equal(string(refusal.Unknown)))
	})

	It("is continued by another group when the model is deterministic", func() {
		bed := newRequestBed(2, fakes.EngineOptions{TokenDelay: 30 * time.Millisecond}, deterministic)
		body := completionBody("continued", 40, true)
		expectCompleteAnswer(bed.sendCompletionWithFault(body, killServer), body, 40)
		Expect(bed.count(fakes.EventStart, body)).To(Equal(2))
	})

	It("is restarted on another group when nothing was sent to the caller yet", func() {
		bed := newRequestBed(2, fakes.EngineOptions{TokenDelay: 30 * time.Millisecond}, nil)
		body := completionBody("buffered", 40, false)
		expectCompleteAnswer(bed.sendCompletionWithFault(body, killServer), body, 40)
	})

	It("is continued by another group when its engine freezes", func() {
		bed := newRequestBed(2, fakes.EngineOptions{TokenDelay: 30 * time.Millisecond}, deterministic)
		body := completionBody("frozen", 40, true)
		answer := make(chan reply, 1)
		go func() { answer <- sendCompletion(bed.daemon, body) }()
		engine := bed.engineRunning(body)
		engine.Set(fakes.Faults{Frozen: true})
		expectCompleteAnswer(<-answer, body, 40)
		engine.Set(fakes.Faults{})
	})

	It("is cancelled on its engine when the caller disconnects", func() {
		bed := newRequestBed(1, fakes.EngineOptions{TokenDelay: 50 * time.Millisecond}, nil)
		bed.sendCompletionAndDisconnect(completionBody("gone", 400, true))
		Expect(bed.count(fakes.EventFinish, "")).To(BeZero())
	})
})
