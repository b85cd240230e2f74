package test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const (
	balancerDelay      = 150 * time.Millisecond // until the load balancer notices a stopping daemon; the daemons of a test bed allow 300 ms
	rollingTokens      = 60
	rollingTokenDelay  = 10 * time.Millisecond // between two tokens of an answer
	rollingConcurrency = 8                     // concurrent requests
)

// balancer is a round-robin load balancer over the daemons that were ready at the
// last check.
type balancer struct {
	daemons atomic.Pointer[[]*testbed.Daemon]
	next    atomic.Int64
	client  *http.Client
}

func newBalancer() *balancer {
	return &balancer{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * rollingConcurrency}}}
}

// refreshReady checks the readiness of daemons, sends later requests to the ready
// ones only, and returns their number.
func (b *balancer) refreshReady(daemons []*testbed.Daemon) int {
	var ready []*testbed.Daemon
	for _, d := range daemons {
		response, err := http.Get("http://" + d.AdminAddress() + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, d)
		}
	}
	b.daemons.Store(&ready)
	return len(ready)
}

// send sends one streamed request and returns an error unless the answer is
// complete.
func (b *balancer) send(number int64) error {
	ready := *b.daemons.Load()
	daemon := ready[int(b.next.Add(1))%len(ready)]
	body := fmt.Sprintf(`{"model":"swatch-draft","prompt":"sample %d","max_tokens":%d,"stream":true}`, number, rollingTokens)
	request, err := http.NewRequest(http.MethodPost, "http://"+daemon.CallerAddress()+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+testbed.TeamKey)
	response, err := b.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	outcome := response.Trailer.Get(refusal.OutcomeHeader)
	if response.StatusCode != http.StatusOK || outcome != string(refusal.Done) || !strings.Contains(string(answer), "[DONE]") {
		return &incompleteAnswerError{status: response.StatusCode, outcome: outcome, answer: string(answer)}
	}
	return nil
}

// incompleteAnswerError reports a response that is not a complete answer.
type incompleteAnswerError struct {
	status  int
	outcome string
	answer  string
}

func (e *incompleteAnswerError) Error() string {
	return fmt.Sprintf("incomplete answer: status %d, outcome %q, body %q", e.status, e.outcome, e.answer)
}

var _ = Describe("A rolling restart of all daemons under load", func() {
	It("breaks and refuses no request when the load balancer notices in time that a daemon stops", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 4, fakes.EngineOptions{ChecksFencing: true, TokenDelay: rollingTokenDelay})
		daemons := bed.StartDaemons(nil, north, north, north)
		bed.Publish(0, testbed.SampleConfig(2, north))
		for _, d := range daemons {
			eventuallyComplete(d, 2)
			Eventually(peerCount(d), meshTimeout, pollInterval).Should(Equal(3))
		}

		b := newBalancer()
		b.refreshReady(daemons)
		var stop atomic.Bool
		var sent atomic.Int64
		var mu sync.Mutex
		var failures []error
		var callers sync.WaitGroup
		for range rollingConcurrency {
			callers.Go(func() {
				for !stop.Load() {
					if err := b.send(sent.Add(1)); err != nil {
						mu.Lock()
						failures = append(failures, err)
						mu.Unlock()
					}
				}
			})
		}
		for i, old := range daemons {
			stopped := old.Stop()
			time.Sleep(balancerDelay)
			b.refreshReady(daemons)
			Eventually(stopped, repairTimeout).Should(BeClosed())
			daemons[i] = bed.Replace(old)
			Eventually(func() int { return b.refreshReady(daemons) }, repairTimeout, pollInterval).Should(Equal(len(daemons)))
		}
		stop.Store(true)
		callers.Wait()
		GinkgoWriter.Printf("%d requests during the rolling restart of 3 daemons\n", sent.Load())
		Expect(failures).To(BeEmpty())
		Expect(sent.Load()).To(BeNumerically(">", 3*rollingConcurrency))
	})
})

var _ = Describe("A daemon that stops", func() {
	It("finishes a long answer, refuses new requests as not run, and is dropped by its peers before it exits", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, fakes.EngineOptions{ChecksFencing: true, TokenDelay: 20 * time.Millisecond})
		daemons := bed.StartDaemons(nil, north, north)
		bed.Publish(0, testbed.SampleConfig(1, north))
		for _, d := range daemons {
			eventuallyComplete(d, 1)
			Eventually(peerCount(d), meshTimeout, pollInterval).Should(Equal(2))
		}
		response, err := daemons[0].Post("/v1/completions", testbed.TeamKey, `{"model":"swatch-draft","prompt":"x","max_tokens":100,"stream":true}`, nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()

		stopped := daemons[0].Stop()
		Eventually(peerCount(daemons[1]), meshTimeout, pollInterval).Should(Equal(1))
		late, err := (&http.Client{Transport: &http.Transport{}}).Post("http://"+daemons[0].CallerAddress()+"/v1/completions", "application/json", strings.NewReader("{}"))
		Expect(err).NotTo(HaveOccurred(), "the listener must stay open while the daemon drains")
		defer func() { _ = late.Body.Close() }()
		Expect(late.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(late.Header.Get(refusal.OutcomeHeader)).To(Equal(string(refusal.NotRun)))
		Expect(late.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(late.Close).To(BeTrue())
		Expect(stopped).NotTo(BeClosed())

		answer, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(ContainSubstring("[DONE]"))
		Expect(response.Trailer.Get(refusal.OutcomeHeader)).To(Equal(string(refusal.Done)))
		Eventually(stopped, repairTimeout).Should(BeClosed())
	})
})
