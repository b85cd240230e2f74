package gateway

import (
	"os"
	"path/filepath"
	"regexp"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/targetstats"
)

var _ = Describe("The settings that the platform's template renders", func() {
	// render fills in the template as a platform does that knows some of its bounds: what it does not
	// know is rendered as nothing.
	render := func(bounds map[string]string) string {
		template, err := os.ReadFile("../../deploy/settings.yaml.tmpl")
		Expect(err).NotTo(HaveOccurred())
		withoutZones := regexp.MustCompile(`(?s)\{\{#zones\}\}.*?\{\{/zones\}\}`).ReplaceAllString(string(template), "")
		text := regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(withoutZones, func(field string) string {
			switch field {
			case "{{bounds.cold_overshoot}}", "{{bounds.cold_slack}}", "{{bounds.evacuation_ms}}", "{{bounds.ceiling_window_s}}", "{{bounds.ceiling_overshoot}}":
				return bounds[field]
			case "{{bootstrap|json}}":
				return "false"
			default:
				return "1"
			}
		})
		path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}

	It("limit the requests to cold endpoints by its bounds", func() {
		s, err := Load(render(map[string]string{"{{bounds.cold_overshoot}}": "1.5", "{{bounds.cold_slack}}": "5"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Bounds.limitsCold()).To(BeTrue())
		Expect(s.Bounds.coldPolicy(23)).To(Equal(targetstats.SharePolicy{PerS: 23, Window: time.Second, Overshoot: 1.5, Slack: 5}))
	})

	It("limit the loads from the weight store by its bounds, and to its rate without them", func() {
		s, err := Load(render(map[string]string{"{{bounds.ceiling_window_s}}": "4", "{{bounds.ceiling_overshoot}}": "1.1"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Bounds.loadLimit()).To(Equal(targetstats.SharePolicy{Window: 4 * time.Second, Overshoot: 1.1, Slack: 3}))
		s, err = Load(render(nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Bounds.loadLimit().Overshoot).To(Equal(1.0))
	})

	// A daemon of a deployment without these bounds must start, and serve as before.
	It("limit nothing on a platform without them", func() {
		s, err := Load(render(nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Bounds.limitsCold()).To(BeFalse())
		Expect(s.Bounds.EvacuationMS).To(BeNil())
	})

	It("are refused if a bound is no number", func() {
		_, err := Load(render(map[string]string{"{{bounds.cold_overshoot}}": "many"}))
		Expect(err).To(MatchError(ContainSubstring("bounds.cold_overshoot")))
	})
})
