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
	balancerLag   = 150 * time.Millisecond // until the balancer of a test notices; a bed's daemons give it 300 ms
	rollingTokens = 60
	rollingGap    = 10 * time.Millisecond // between two tokens
	rollingCalls  = 8                     // requests at a time
)

// balancer sends each request to a daemon that was ready a moment ago.
type balancer struct {
	daemons atomic.Pointer[[]*testbed.Daemon]
	next    atomic.Int64
	client  *http.Client
}

func newBalancer() *balancer {
	return &balancer{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * rollingCalls}}}
}

// check looks which daemons are ready, and returns how many are.
func (b *balancer) check(daemons []*testbed.Daemon) int {
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

// ask sends one streamed request and returns what was wrong with its answer.
func (b *balancer) ask(number int64) error {
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
		return &cutAnswerError{status: response.StatusCode, outcome: outcome, answer: string(answer)}
	}
	return nil
}

// cutAnswerError is an answer that is not whole.
type cutAnswerError struct {
	status  int
	outcome string
	answer  string
}

func (e *cutAnswerError) Error() string {
	return fmt.Sprintf("status %d, outcome %q, %q", e.status, e.outcome, e.answer)
}

var _ = Describe("A stop of every daemon in turn, under load", func() {
	It("cuts off no request and refuses none that the balancer had time to send elsewhere", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 4, fakes.EngineOptions{ChecksFencing: true, TokenDelay: rollingGap})
		daemons := bed.StartDaemons(nil, north, north, north)
		bed.Publish(0, testbed.SampleConfig(2, north))
		for _, d := range daemons {
			eventuallyComplete(d, 2)
			Eventually(peersOf(d), waitMesh, tick).Should(Equal(3))
		}

		b := newBalancer()
		b.check(daemons)
		var stop atomic.Bool
		var asked atomic.Int64
		var mu sync.Mutex
		var failures []error
		var callers sync.WaitGroup
		for range rollingCalls {
			callers.Go(func() {
				for !stop.Load() {
					if err := b.ask(asked.Add(1)); err != nil {
						mu.Lock()
						failures = append(failures, err)
						mu.Unlock()
					}
				}
			})
		}
		for i, old := range daemons {
			stopped := old.Stop()
			time.Sleep(balancerLag)
			b.check(daemons)
			Eventually(stopped, waitRepair).Should(BeClosed())
			daemons[i] = bed.Replace(old)
			Eventually(func() int { return b.check(daemons) }, waitRepair, tick).Should(Equal(len(daemons)))
		}
		stop.Store(true)
		callers.Wait()
		GinkgoWriter.Printf("%d requests while 3 daemons were stopped in turn\n", asked.Load())
		Expect(failures).To(BeEmpty())
		Expect(asked.Load()).To(BeNumerically(">", 3*rollingCalls))
	})
})

var _ = Describe("A daemon that stops", func() {
	It("finishes a long answer, refuses late requests as not run, and is dropped by its peers at once", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, fakes.EngineOptions{ChecksFencing: true, TokenDelay: 20 * time.Millisecond})
		daemons := bed.StartDaemons(nil, north, north)
		bed.Publish(0, testbed.SampleConfig(1, north))
		for _, d := range daemons {
			eventuallyComplete(d, 1)
			Eventually(peersOf(d), waitMesh, tick).Should(Equal(2))
		}
		response, err := daemons[0].Post("/v1/completions", testbed.TeamKey, `{"model":"swatch-draft","prompt":"x","max_tokens":100,"stream":true}`, nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()

		stopped := daemons[0].Stop()
		Eventually(peersOf(daemons[1]), waitMesh, tick).Should(Equal(1))
		late, err := (&http.Client{Transport: &http.Transport{}}).Post("http://"+daemons[0].CallerAddress()+"/v1/completions", "application/json", strings.NewReader("{}"))
		Expect(err).NotTo(HaveOccurred(), "the listener is still open")
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
		Eventually(stopped, waitRepair).Should(BeClosed())
	})
})
