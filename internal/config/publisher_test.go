package config

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/platform"
)

// publishThrough publishes on top of nothing with a publisher of its own.
func publishThrough(log platform.Log, writer string, share int, timeout time.Duration) (Versioned, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	publisher := NewPublisher(log, writer)
	go publisher.Run(ctx)
	return publisher.Publish(ctx, 0, Configuration{Teams: []Team{{Name: "merchants", Share: share}}})
}

var _ = Describe("A publisher", func() {
	It("settles a lost answer by reading back, and counts the publication once", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		published, err := publishThrough(fakes.NewFaultyLog(log, 1, fakes.LogFaults{LoseAnswer: 1}), "a", 1, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(published.Version).To(BeEquivalentTo(1))
		again, err := publishThrough(fakes.NewFaultyLog(log, 1, fakes.LogFaults{}), "b", 1, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Version).To(BeEquivalentTo(1))
	})

	It("says that the outcome is unknown when a request may be on its way", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		_, err := publishThrough(fakes.NewFaultyLog(log, 1, fakes.LogFaults{LoseRequest: 1}), "a", 1, 300*time.Millisecond)
		Expect(err).To(BeAssignableToTypeOf(&OutcomeUnknownError{}))
	})

	It("says that nothing was published while the log proves that", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		_, err := publishThrough(fakes.NewFaultyLog(log, 1, fakes.LogFaults{Limited: 1}), "a", 1, 300*time.Millisecond)
		Expect(err).To(BeAssignableToTypeOf(&LogAwayError{}))
		Expect(log.Appends()).To(BeZero())
	})
})
