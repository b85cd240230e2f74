package forward_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/outbound"
)

var _ = Describe("An exchange through another daemon over a link that stalls", func() {
	const (
		slowHeartbeat = 400 * time.Millisecond // a link is lost after three of them
		stall         = 700 * time.Millisecond
	)
	var r *rig
	BeforeEach(func() {
		r = newRigWith(slowHeartbeat)
		time.Sleep(slowHeartbeat / 4) // the daemons have read each other's clock
	})
	// send sends an exchange as the link stops, and returns its outcome.
	send := func() error {
		outcome := make(chan error, 1)
		r.meshLink.Set(fakes.LinkSilent)
		go func() {
			_, err := r.client.Send(context.Background(), "helper", r.exchange())
			outcome <- err
		}()
		time.Sleep(stall)
		r.meshLink.Set(fakes.LinkSound)
		var err error
		Eventually(outcome).Should(Receive(&err))
		return err
	}

	// Guards against requests that an endpoint gets with the time that was left when they were written.
	It("is refused as not sent, so that its daemon sends it on with the time that is left", func() {
		err := send()
		var notSent *outbound.NotSentError
		Expect(errors.As(err, &notSent)).To(BeTrue(), "%v", err)
		Expect(notSent.Blame).To(Equal(outbound.BlamePath))
		Consistently(r.arrived.Load, "300ms").Should(BeZero())
	})
})
