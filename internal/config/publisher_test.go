package config

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// publishThrough publishes a configuration on version 0 with a new publisher.
func publishThrough(log infra.Log, writer string, share int, timeout time.Duration) (Versioned, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	publisher := NewPublisher(log, writer)
	go publisher.Run(ctx)
	return publisher.Publish(ctx, 0, Configuration{Teams: []Team{{Name: "merchants", Share: share}}})
}

// gatedLog blocks every append until all publishers have called Append.
type gatedLog struct {
	infra.Log
	gate *sync.WaitGroup
}

func (l *gatedLog) Append(ctx context.Context, stream string, records [][]byte) (infra.Offset, error) {
	l.gate.Done()
	l.gate.Wait()
	return l.Log.Append(ctx, stream, records)
}

var _ = Describe("Concurrent publishers", func() {
	It("have exactly one publication accepted, and the others fail with the changes", func() {
		const racers = 6
		log := fakes.NewLog(fakes.DefaultAppendRate)
		var gate sync.WaitGroup
		gate.Add(racers)
		failures := make(chan error, racers)
		for racer := range racers {
			client := &gatedLog{Log: fakes.NewFaultyLog(log, 1, fakes.LogFaults{}), gate: &gate}
			go func() {
				_, err := publishThrough(client, fmt.Sprint("racer-", racer), racer+1, 10*time.Second)
				failures <- err
			}()
		}
		accepted := 0
		for range racers {
			err := <-failures
			if err == nil {
				accepted++
				continue
			}
			Expect(err).To(BeAssignableToTypeOf(&ConflictError{}))
			Expect(err.(*ConflictError).Changes).To(HaveLen(1))
			Expect(err.(*ConflictError).Changes[0].Field).To(Equal("teams[merchants].share"))
		}
		Expect(accepted).To(Equal(1))
		Expect(log.Appends()).To(Equal(racers))
	})
})

var _ = Describe("A publisher", func() {
	It("determines the outcome by reading the stream after a lost response, and publishes only once", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		published, err := publishThrough(fakes.NewFaultyLog(log, 1, fakes.LogFaults{LoseAnswer: 1}), "a", 1, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(published.Version).To(BeEquivalentTo(1))
		again, err := publishThrough(fakes.NewFaultyLog(log, 1, fakes.LogFaults{}), "b", 1, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Version).To(BeEquivalentTo(1))
	})

	It("reports an unknown outcome if the append request may still arrive", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		_, err := publishThrough(fakes.NewFaultyLog(log, 1, fakes.LogFaults{LoseRequest: 1}), "a", 1, 300*time.Millisecond)
		Expect(err).To(BeAssignableToTypeOf(&OutcomeUnknownError{}))
	})

	It("reports that nothing was published if the log rejected every append", func() {
		log := fakes.NewLog(fakes.DefaultAppendRate)
		_, err := publishThrough(fakes.NewFaultyLog(log, 1, fakes.LogFaults{Limited: 1}), "a", 1, 300*time.Millisecond)
		Expect(err).To(BeAssignableToTypeOf(&LogAwayError{}))
		Expect(log.Appends()).To(BeZero())
	})
})
