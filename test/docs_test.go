package test

import (
	"fmt"
	"os"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/retry"
	"github.com/plantainmux/plantainmux/internal/settings"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

func operationsPage() string {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	Expect(err).NotTo(HaveOccurred())
	return string(page)
}

var _ = Describe("The operations page", func() {
	It("lists every field of settings and configuration as the code documents it", func() {
		page := operationsPage()
		fields := append(settings.Reference(), config.Reference()...)
		Expect(len(fields)).To(BeNumerically(">", 40))
		for _, f := range fields {
			row := fmt.Sprintf("| `%s` | %s | %s | %s | %s |", f.Path, f.Doc, f.Bounds, f.Unit, f.Default)
			Expect(page).To(ContainSubstring(row))
		}
	})

	It("lists every metric, and every refusal and retry reason that the metrics output has", func() {
		bed := testbed.New()
		daemon := bed.StartDaemon("north", nil)
		page := operationsPage()
		metrics := daemon.Metrics()
		for _, name := range regexp.MustCompile(`plantainmux_[a-z_]+`).FindAllString(metrics, -1) {
			name = regexp.MustCompile(`_(bucket|sum|count)$`).ReplaceAllString(name, "")
			Expect(page).To(ContainSubstring("| `" + name + "` |"))
		}
		for _, reason := range refusal.Reasons {
			Expect(metrics).To(ContainSubstring(fmt.Sprintf(`plantainmux_refusals_total{reason=%q}`, reason)))
			Expect(page).To(ContainSubstring(fmt.Sprintf("| `%s` |", reason)))
		}
		for _, reason := range retry.Reasons {
			Expect(metrics).To(ContainSubstring(fmt.Sprintf(`plantainmux_retries_total{reason=%q}`, reason)))
			Expect(page).To(ContainSubstring(fmt.Sprintf("| `%s` |", reason)))
		}
		for _, denial := range retry.Denials {
			Expect(metrics).To(ContainSubstring(fmt.Sprintf(`plantainmux_retries_denied_total{reason=%q}`, denial)))
			Expect(page).To(ContainSubstring(fmt.Sprintf("| `%s` |", denial)))
		}
	})
})
