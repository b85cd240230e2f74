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

// struckAfter is how long an engine works on an answer before it is struck.
const struckAfter = 200 * time.Millisecond

// requestBed is one daemon before groups of two engines each.
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
	Eventually(b.complete, waitComplete, tick).Should(Equal(groups))
	return b
}

func (b *requestBed) complete() int { return len(b.daemon.CompleteGroups(testbed.SampleModel)) }

func (b *requestBed) eachEngine(do func(*testbed.Engine)) {
	for _, engine := range b.Engines {
		do(engine)
	}
}

// count returns how many events of a kind all engines recorded for a body.
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

// serving returns the engine that runs a body.
func (b *requestBed) serving(body string) *testbed.Engine {
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
	}, waitComplete, tick).ShouldNot(BeNil())
	return found
}

// askStruck asks for a streamed or whole answer and strikes the engine that runs
// it in its midst.
func (b *requestBed) askStruck(body string, strike func(*testbed.Engine)) reply {
	answer := make(chan reply, 1)
	go func() { answer <- ask(b.daemon, body) }()
	engine := b.serving(body)
	time.Sleep(struckAfter)
	strike(engine)
	return <-answer
}

// askAndLeave asks for a streamed answer and leaves once it has begun.
func (b *requestBed) askAndLeave(body string) {
	ctx, leave := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.daemon.CallerAddress()+"/v1/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+testbed.TeamKey)
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	leave()
	_ = response.Body.Close()
	Eventually(func() int { return b.count(fakes.EventCancel, "") }, waitComplete, tick).Should(Equal(1))
}

func killServer(engine *testbed.Engine) { engine.Server.Kill() }

// reply is what a caller got.
type reply struct {
	status  int
	outcome string
	reason  string
	text    string
	whole   bool // the end marker came
	broken  error
	after   string
}

func completionBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"%s","prompt":"%s","max_tokens":%d,"stream":%t}`, testbed.SampleModel, prompt, tokens, stream)
}

func ask(d *testbed.Daemon, body string) reply {
	return askAs(d, testbed.TeamKey, body, nil)
}

func askAs(d *testbed.Daemon, key, body string, header http.Header) reply {
	response, err := d.Post("/v1/completions", key, body, header)
	if err != nil {
		return reply{broken: err}
	}
	defer func() { _ = response.Body.Close() }()
	r := reply{status: response.StatusCode, after: response.Header.Get("Retry-After")}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		r.readStream(response)
		return r
	}
	r.outcome = response.Header.Get(refusal.OutcomeHeader)
	data, err := io.ReadAll(response.Body)
	r.broken = err
	if err != nil {
		return r
	}
	r.read(data)
	r.whole = err == nil && r.status == http.StatusOK
	return r
}

func (r *reply) readStream(response *http.Response) {
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		payload, ok := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case payload == "[DONE]":
			r.whole = true
		case ok:
			r.read([]byte(payload))
		}
	}
	r.broken = scanner.Err()
	r.outcome = response.Trailer.Get(refusal.OutcomeHeader)
}

func (r *reply) read(data []byte) {
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

// expectWhole checks that a caller got its whole own answer and nothing else.
func expectWhole(r reply, body string, tokens int) {
	ExpectWithOffset(1, r.broken).NotTo(HaveOccurred())
	ExpectWithOffset(1, r.reason).To(BeEmpty())
	ExpectWithOffset(1, r.text).To(Equal(fakes.Answer([]byte(body), tokens)))
	ExpectWithOffset(1, r.whole).To(BeTrue())
	ExpectWithOffset(1, r.outcome).To(Equal(string(refusal.Done)))
}

func deterministic(c *config.Configuration) { c.Models[0].Deterministic = true }
