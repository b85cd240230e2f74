package forward_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/outbound"
)

var _ = Describe("An exchange that is forwarded", func() {
	var r *rig
	BeforeEach(func() { r = newRig() })

	send := func(ctx context.Context) (*outbound.Response, error) {
		return r.client.Send(ctx, "helper", r.exchange())
	}
	// begun returns a response whose first event has been read.
	begun := func(ctx context.Context) *outbound.Response {
		GinkgoHelper()
		r.answers(2)
		response, err := send(ctx)
		Expect(err).NotTo(HaveOccurred())
		buffer := make([]byte, 64)
		n, err := response.Body.Read(buffer)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(buffer[:n])).To(Equal("event 1\n"))
		return response
	}
	// sending sends in the background and returns once the endpoint has the request.
	sending := func(ctx context.Context) <-chan error {
		GinkgoHelper()
		failed := make(chan error, 1)
		go func() {
			_, err := send(ctx)
			failed <- err
		}()
		Eventually(r.arrived.Load, linkTimeout, "5ms").Should(BeEquivalentTo(1))
		return failed
	}
	expectPathLost := func(err error) {
		GinkgoHelper()
		var lost *outbound.PathLostError
		Expect(errors.As(err, &lost)).To(BeTrue(), "%v", err)
		Expect(r.arrived.Load()).To(BeEquivalentTo(1), "it is sent once")
	}
	expectNotSent := func(err error, blame outbound.Blame) {
		GinkgoHelper()
		var notSent *outbound.NotSentError
		Expect(errors.As(err, &notSent)).To(BeTrue(), "%v", err)
		Expect(notSent.Blame).To(Equal(blame))
		Consistently(r.arrived.Load, "200ms", "20ms").Should(BeZero(), "it does not run later")
	}

	It("reaches the endpoint unchanged, and its answer comes back as it is written", func() {
		response := begun(context.Background())
		Expect(response.Status).To(Equal(http.StatusAccepted))
		Expect(response.Header.Get("X-Answer")).To(Equal("yes"))
		Expect(response.Via).To(Equal("helper"))
		r.answers(2)
		rest, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(Equal("event 2\nevent 3\n"))
		Expect(response.Body.Close()).To(Succeed())
		Expect(r.requests).To(Equal([]string{"POST /x?y=1 t body"}))
	})

	It("has not been sent if the helper does not reach the endpoint", func() {
		r.endpointLink.Set(fakes.LinkRefusesNew)
		_, err := send(context.Background())
		expectNotSent(err, outbound.BlameEndpoint)
	})

	It("has not been sent if the helper declines it, and says whose affair that is", func() {
		r.declined.Store(forward.Decline(forward.DeclinedHeld))
		_, err := send(context.Background())
		expectNotSent(err, outbound.BlameHold)
		r.declined.Store(forward.Decline(forward.DeclinedCutOff))
		_, err = send(context.Background())
		expectNotSent(err, outbound.BlamePath)
	})

	It("has not been sent if there is no link to the helper", func() {
		_, err := r.client.Send(context.Background(), "nobody", r.exchange())
		expectNotSent(err, outbound.BlamePath)
	})

	It("may have run if the helper is lost before the answer", func() {
		failed := sending(context.Background())
		r.helper.Close()
		Eventually(failed, linkTimeout).Should(Receive(Satisfy(func(err error) bool { expectPathLost(err); return true })))
		Eventually(r.gone.Load, linkTimeout, "5ms").Should(BeEquivalentTo(1), "the endpoint stops work on it")
	})

	It("may have run if the link to the helper hangs before the answer", func() {
		failed := sending(context.Background())
		r.meshLink.Set(fakes.LinkHangs)
		Eventually(failed, linkTimeout).Should(Receive(Satisfy(func(err error) bool { expectPathLost(err); return true })))
		Eventually(r.gone.Load, linkTimeout, "5ms").Should(BeEquivalentTo(1))
	})

	It("does not look complete if the helper is lost midway", func() {
		response := begun(context.Background())
		r.helper.Close()
		_, err := io.ReadAll(response.Body)
		expectPathLost(err)
	})

	It("does not look complete if the link to the helper hangs midway", func() {
		response := begun(context.Background())
		r.meshLink.Set(fakes.LinkHangs)
		_, err := io.ReadAll(response.Body)
		expectPathLost(err)
		Eventually(r.gone.Load, linkTimeout, "5ms").Should(BeEquivalentTo(1))
	})

	It("ends at the endpoint if the daemon that forwards it is lost midway", func() {
		begun(context.Background())
		r.entry.Close()
		Eventually(r.gone.Load, linkTimeout, "5ms").Should(BeEquivalentTo(1))
	})

	It("fails as the endpoint's failure if the endpoint breaks off", func() {
		response := begun(context.Background())
		r.endpoint.CloseClientConnections()
		_, err := io.ReadAll(response.Body)
		var remote *outbound.RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue(), "%v", err)
	})

	It("ends at the endpoint when its caller leaves, before and in its answer", func() {
		ctx, leave := context.WithCancel(context.Background())
		failed := sending(ctx)
		leave()
		Eventually(failed, linkTimeout).Should(Receive(HaveOccurred()))
		Eventually(r.gone.Load, cancelBound, "5ms").Should(BeEquivalentTo(1))
		response := begun(context.Background())
		Expect(response.Body.Close()).To(Succeed())
		Eventually(r.gone.Load, cancelBound, "5ms").Should(BeEquivalentTo(2))
	})

	It("ends at the endpoint at its deadline", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		failed := sending(ctx)
		Eventually(failed, linkTimeout).Should(Receive(HaveOccurred()))
		Eventually(r.gone.Load, cancelBound, "5ms").Should(BeEquivalentTo(1))
	})
})
