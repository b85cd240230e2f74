package config

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/infra"
)

const (
	offerGoroutines    = 8
	offersPerGoroutine = 20000 // per goroutine
	highestVersion     = offerGoroutines * offersPerGoroutine
)

var _ = Describe("The configuration in force", func() {
	It("never goes back to a lower version under concurrent offers", func() {
		store := NewStore()
		var offers, readers sync.WaitGroup
		stop := make(chan struct{})
		for range 4 {
			readers.Go(func() {
				var last infra.Offset
				for {
					select {
					case <-stop:
						return
					default:
					}
					seen := store.Load().Version
					if seen < last {
						defer GinkgoRecover()
						Fail("the version decreased")
					}
					last = seen
				}
			})
		}
		for offerer := range offerGoroutines {
			offers.Go(func() {
				for i := range offersPerGoroutine {
					offered := Versioned{Version: infra.Offset(i*offerGoroutines + offerer)}
					store.Offer(offered, FromPeer, time.Now())
				}
			})
		}
		offers.Wait()
		close(stop)
		readers.Wait()
		Expect(store.Offer(Versioned{Version: highestVersion}, FromLog, time.Now())).To(BeTrue())
		Expect(store.Offer(Versioned{Version: highestVersion}, FromPeer, time.Now())).To(BeFalse())
		Expect(store.Offer(Versioned{Version: highestVersion - 1}, FromLog, time.Now())).To(BeFalse())
		Expect(store.Load().Source).To(Equal(FromLog))
	})

	It("is replaced only by a publication based on the version in force", func() {
		fold := NewFold()
		apply := func(offset, base infra.Offset) error {
			return applyPublish(fold, offset, base)
		}
		Expect(apply(3, 0)).To(Succeed())
		Expect(apply(5, 0)).To(MatchError("configuration is based on version 0, but version 3 is in force"))
		Expect(apply(6, 3)).To(Succeed())
		Expect(fold.Current().Version).To(BeEquivalentTo(6))

		data, err := fold.Encode()
		Expect(err).NotTo(HaveOccurred())
		fold = NewFold()
		Expect(fold.Decode(data)).To(Succeed())
		Expect(apply(7, 3)).NotTo(Succeed(), "after a snapshot")
		Expect(apply(8, 6)).To(Succeed())
	})
})
