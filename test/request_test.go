package test

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const (
	completeTimeout = 15 * time.Second
)

var _ = Describe("A request", func() {
	It("gets the complete answer of a complete group", func() {
		bed := testbed.New()
		bed.AddEngines("north", "north-a", 2, fakes.EngineOptions{ChecksFencing: true})
		daemon := bed.StartDaemon("north", nil)
		bed.Publish(0, testbed.SampleConfig(1, "north"))
		Eventually(func() int { return len(daemon.CompleteGroups(testbed.SampleModel)) }, completeTimeout, 50*time.Millisecond).Should(Equal(1))

		body := `{"model":"swatch-draft","prompt":"laid cream","max_tokens":5}`
		response, err := daemon.Post("/v1/completions", testbed.TeamKey, body, nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Header.Get(refusal.OutcomeHeader)).To(Equal(string(refusal.Done)))
		var answer struct {
			Choices []struct{ Text string }
		}
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(data, &answer)).To(Succeed())
		Expect(answer.Choices[0].Text).To(Equal(fakes.Answer([]byte(body), 5)))
	})
})
