package test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// faultDelay is the time between the start of an answer on an engine and the
// injected fault.
const faultDelay = 200 * time.Millisecond

// requestBed is a test bed with one daemon and groups of two engines each.
type requestBed struct {
	*testbed.Bed
	daemon *testbed.Daemon
}

func newRequestBed(groups int, options fakes.EngineOptions, adjust func(*config.Configuration)) *requestBed {
	b := &requestBed{Bed: testbed.New()}
	options.ChecksFencing = true
	b.AddEngines("north", "north-a", 2*groups, options)
	b.daemon = b.StartDaemon("north", nil)
	configuration := testbed.SampleConfig(groups, "north")
	if adjust != nil {
		adjust(&configuration)
	}
	b.Publish(0, configuration)
	Eventually(b.complete, completeTimeout, pollInterval).Should(Equal(groups))
	return b
}

func (b *requestBed) complete() int { return len(b.daemon.CompleteGroups(testbed.SampleModel)) }

func (b *requestBed) eachEngine(do func(*testbed.Engine)) {
	for _, engine := range b.Engines {
		do(engine)
	}
}

// count returns how many events of a kind all engines recorded for a request
// body, for all requests if body is empty.
func (b *requestBed) count(kind, body string) int {
	total := 0
	b.eachEngine(func(engine *testbed.Engine) {
		for _, event := range engine.Events() {
			if event.Kind == kind && (body == "" || event.Body == body) {
				total++
			}
		}
	})
	return total
}

// engineRunning waits until an engine has started the request with a body and
// returns that engine.
func (b *requestBed) engineRunning(body string) *testbed.Engine {
	var found *testbed.Engine
	Eventually(func() *testbed.Engine {
		for _, engine := range b.Engines {
			for _, event := range engine.Events() {
				if event.Kind == fakes.EventStart && event.Body == body {
					found = engine
				}
			}
		}
		return found
	}, completeTimeout, pollInterval).ShouldNot(BeNil())
	return found
}

// sendCompletionWithFault sends a request, streamed or not, injects a fault into
// the engine that runs it once faultDelay has passed, and returns the reply.
func (b *requestBed) sendCompletionWithFault(body string, injectFault func(*testbed.Engine)) reply {
	replies := make(chan reply, 1)
	go func() { replies <- sendCompletion(b.daemon, body) }()
	engine := b.engineRunning(body)
	time.Sleep(faultDelay)
	injectFault(engine)
	return <-replies
}

// sendCompletionAndDisconnect sends a streamed request, disconnects once the
// response has begun, and waits until the engine has recorded the cancellation.
func (b *requestBed) sendCompletionAndDisconnect(body string) {
	ctx, disconnect := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.daemon.CallerAddress()+"/v1/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+testbed.TeamKey)
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	disconnect()
	_ = response.Body.Close()
	Eventually(func() int { return b.count(fakes.EventCancel, "") }, completeTimeout, pollInterval).Should(Equal(1))
}

func killServer(engine *testbed.Engine) { engine.Server.Kill() }

// reply is the response that a caller got.
type reply struct {
	status     int
	outcome    string
	reason     string
	text       string
	complete   bool // the end marker was received
	err        error
	retryAfter string
}

func completionBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"%s","prompt":"%s","max_tokens":%d,"stream":%t}`, testbed.SampleModel, prompt, tokens, stream)
}

func sendCompletion(d *testbed.Daemon, body string) reply {
	return sendCompletionAs(d, testbed.TeamKey, body, nil)
}

func sendCompletionAs(d *testbed.Daemon, key, body string, header http.Header) reply {
	response, err := d.Post("/v1/completions", key, body, header)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	r := reply{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After")}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		r.readStream(response)
		return r
	}
	r.outcome = response.Header.Get(refusal.OutcomeHeader)
	data, err := io.ReadAll(response.Body)
	r.err = err
	if err != nil {
		return r
	}
	r.decode(data)
	r.complete = err == nil && r.status == http.StatusOK
	return r
}

func (r *reply) readStream(response *http.Response) {
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		payload, ok := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case payload == "[DONE]":
			r.complete = true
		case ok:
			r.decode([]byte(payload))
		}
	}
	r.err = scanner.Err()
	r.outcome = response.Trailer.Get(refusal.OutcomeHeader)
}

func (r *reply) decode(data []byte) {
	var answer struct {
		Choices []struct{ Text string }
		Error   struct{ Type string }
	}
	Expect(json.Unmarshal(data, &answer)).To(Succeed())
	for _, choice := range answer.Choices {
		r.text += choice.Text
	}
	if answer.Error.Type != "" {
		r.reason = answer.Error.Type
	}
}

// expectCompleteAnswer checks that a reply is the complete answer to its own
// request and nothing else.
func expectCompleteAnswer(r reply, body string, tokens int) {
	ExpectWithOffset(1, r.err).NotTo(HaveOccurred())
	ExpectWithOffset(1, r.reason).To(BeEmpty())
	ExpectWithOffset(1, r.text).To(Equal(fakes.Answer([]byte(body), tokens)))
	ExpectWithOffset(1, r.complete).To(BeTrue())
	ExpectWithOffset(1, r.outcome).To(Equal(string(refusal.Done)))
}

func deterministic(c *config.Configuration) { c.Models[0].Deterministic = true }
