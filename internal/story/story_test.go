package story_test

import (
	"errors"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/story"
)

// recorded holds log lines of two daemons, one with a prefix of the log
// collector.
const recorded = `  35.52 vm-2 {"time":"2026-03-11T14:36:21.516Z","level":"INFO","msg":"attempt failed","node":"vm-2","request":"c166","attempt":3,"endpoint":"i-96","group":"c-d1.1","epoch":11,"reason":"not_sent"}
{"time":"2026-03-11T14:36:21.478Z","level":"INFO","msg":"group probed","node":"vm-3","group":"c-d1.1","epoch":11,"answered":0}
{"time":"2026-03-11T14:36:21.479Z","level":"INFO","msg":"group probed","node":"vm-3","group":"a-d0.0","epoch":4,"answered":6}
{"time":"2026-03-11T14:30:00.000Z","level":"INFO","msg":"group granted","node":"vm-3","group":"c-d1.1","epoch":11}
not a log line
{"time":"2026-03-11T14:36:21.517Z","level":"INFO","msg":"request finished","node":"vm-2","request":"c166","outcome":"not_run","reason":"no_target"}
{"time":"2026-03-11T14:36:21.516Z","level":"INFO","msg":"request finished","node":"vm-2","request":"other","outcome":"done"}
`

var _ = Describe("The log lines of a request", func() {
	lines := func() []story.Line {
		found, err := story.Read(strings.NewReader(recorded))
		Expect(err).NotTo(HaveOccurred())
		return found
	}

	It("include concurrent lines about its group and are sorted by time", func() {
		selected, err := story.Tell(lines(), "c166")
		Expect(err).NotTo(HaveOccurred())
		var text []string
		for _, line := range selected {
			text = append(text, line.String())
		}
		Expect(text).To(Equal([]string{
			"14:36:21.478 vm-3 group probed answered=0 epoch=11 group=c-d1.1",
			"14:36:21.516 vm-2 attempt failed attempt=3 endpoint=i-96 epoch=11 group=c-d1.1 reason=not_sent request=c166",
			"14:36:21.517 vm-2 request finished outcome=not_run reason=no_target request=c166",
		}))
	})

	It("are reported as missing if no line has the request", func() {
		_, err := story.Tell(lines(), "nobody")
		var none *story.NoSuchRequestError
		Expect(errors.As(err, &none)).To(BeTrue())
	})
})
