package config

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/infra"
)

const (
	storeOfferers = 8
	storeOffers   = 20000 // of each
	storeHighest  = storeOfferers * storeOffers
)

var _ = Describe("The configuration in force", func() {
	It("never steps back, whatever log and peers offer at the same time", func() {
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
						Fail("the version stepped back")
					}
					last = seen
				}
			})
		}
		for offerer := range storeOfferers {
			offers.Go(func() {
				for i := range storeOffers {
					offered := Versioned{Version: infra.Offset(i*storeOfferers + offerer)}
					store.Offer(offered, FromPeer, time.Now())
				}
			})
		}
		offers.Wait()
		close(stop)
		readers.Wait()
		Expect(store.Offer(Versioned{Version: storeHighest}, FromLog, time.Now())).To(BeTrue())
		Expect(store.Offer(Versioned{Version: storeHighest}, FromPeer, time.Now())).To(BeFalse())
		Expect(store.Offer(Versioned{Version: storeHighest - 1}, FromLog, time.Now())).To(BeFalse())
		Expect(store.Load().Source).To(Equal(FromLog))
	})

	It("accepts a publication only on top of the version in force, and none of another kind", func() {
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
