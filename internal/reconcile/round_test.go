package reconcile

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
)

const (
	roundLimit = 10 * time.Second      // a round that waits for itself never ends
	writerWait = 50 * time.Millisecond // for a writer to stand before the lock
)

var _ = Describe("A round", func() {
	It("does not ask the stream again while it reads it, before a waiting writer", func() {
		l := newTestLoop(awayLog{}, nil)
		state, err := l.Groups.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		var once sync.Once
		var writing sync.WaitGroup
		l.Config = func() config.Versioned {
			once.Do(func() { // within the reading, as every later use of the configuration
				writing.Go(func() { _, _ = l.Groups.Adopt(state) })
				time.Sleep(writerWait)
			})
			return config.Versioned{}
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			l.round(context.Background())
			writing.Wait()
		}()
		Eventually(done, roundLimit).Should(BeClosed())
		Expect(l.Groups.Known()).To(BeTrue())
	})
})
