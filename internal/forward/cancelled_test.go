package forward_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
)

var _ = Describe("An exchange through another daemon whose caller has left", func() {
	It("is not handed over", func() {
		r := newRig()
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		for range 200 {
			_, err := r.client.Send(ended, "helper", r.exchange())
			Expect(err).To(HaveOccurred())
		}
		Consistently(r.arrived.Load, "300ms").Should(BeZero())
	})

	// Guards against exchanges in the queue of a link that begin before the other daemon reads that they are cancelled.
	It("is not sent after it has waited at a silent link", func() {
		r := newRig()
		r.meshLink.Set(fakes.LinkSilent)
		go func() { _, _ = r.client.Send(context.Background(), "helper", r.exchange()) }() // blocks the link
		time.Sleep(20 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		var wait sync.WaitGroup
		for range 100 {
			wait.Go(func() { _, _ = r.client.Send(ctx, "helper", r.exchange()) })
		}
		time.Sleep(20 * time.Millisecond)
		cancel()
		wait.Wait()
		r.meshLink.Set(fakes.LinkSound)
		Eventually(r.arrived.Load).Should(BeEquivalentTo(1))
		Consistently(r.arrived.Load, "300ms").Should(BeEquivalentTo(1))
	})
})
