package test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

var _ = Describe("A message of a chat that crashes each engine, whatever follows it", func() {
	It("is refused by all daemons after at most five crashes, and chats without it are served", func() {
		bed := &requestBed{Bed: testbed.New()}
		bed.AddEngines("north", "north-a", 24, fakes.EngineOptions{ChecksFencing: true, TokenDelay: 5 * time.Millisecond, CrashOn: crashText})
		daemons := bed.StartDaemons(nil, "north", "north")
		bed.Publish(0, testbed.SampleConfig(10, "north"))
		for _, d := range daemons {
			Eventually(func() int { return len(d.CompleteGroups(testbed.SampleModel)) }, completeTimeout, pollInterval).Should(Equal(10))
		}
		chat := func(daemon *testbed.Daemon, system, question string) int {
			body := fmt.Sprintf(`{"model":%q,"max_tokens":3,"messages":[{"role":"system","content":"sheets"},{"role":"system","content":%q},{"role":"user","content":%q}]}`,
				testbed.SampleModel, system, question)
			request, err := http.NewRequest(http.MethodPost, "http://"+daemon.CallerAddress()+"/v1/chat/completions", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Authorization", "Bearer "+testbed.TeamKey)
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			return response.StatusCode
		}
		for i := range 12 {
			daemon := daemons[i%2]
			Expect(chat(daemon, crashText, fmt.Sprint("crashing question ", i))).NotTo(Equal(http.StatusOK))
			Eventually(func() int { return chat(daemon, "sound", fmt.Sprint("question ", i)) }, completeTimeout, pollInterval).Should(Equal(http.StatusOK))
		}
		Expect(len(bed.crashed())).To(BeNumerically(">", 0))
		Expect(len(bed.crashed())).To(BeNumerically("<=", 5))
		for _, daemon := range daemons {
			Expect(chat(daemon, crashText, "another question")).To(Equal(http.StatusUnprocessableEntity))
		}
	})
})
