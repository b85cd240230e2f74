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
	roundTimeout = 10 * time.Second      // a round that deadlocks never ends
	lockWait     = 50 * time.Millisecond // for a writer to wait for the lock
)

var _ = Describe("A round", func() {
	It("does not deadlock with a waiting writer by calling the stream again while reading it", func() {
		l := newTestLoop(unreachableLog{}, nil)
		state, err := l.Groups.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		var once sync.Once
		var writing sync.WaitGroup
		l.Config = func() config.Versioned {
			once.Do(func() { // called while the stream is being read, as are all later uses of the configuration
				writing.Go(func() { _, _ = l.Groups.Adopt(state) })
				time.Sleep(lockWait)
			})
			return config.Versioned{}
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			l.round(context.Background())
			writing.Wait()
		}()
		Eventually(done, roundTimeout).Should(BeClosed())
		Expect(l.Groups.Known()).To(BeTrue())
	})
})
