package gateway_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/gateway"
	"github.com/plantainmux/plantainmux/internal/locality"
)

var (
	zonesSection = regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`)
	placeholder  = regexp.MustCompile(`\{\{[^}]*\}\}`)
	textField    = regexp.MustCompile(`\{\{[^}]*\|json\}\}`)
)

// rendered fills in the template of the settings. Blank lines that a renderer leaves around a section stay.
func rendered(zones ...[2]string) string {
	template, err := os.ReadFile("../../deploy/settings.yaml.tmpl")
	Expect(err).NotTo(HaveOccurred())
	text := zonesSection.ReplaceAllStringFunc(string(template), func(section string) string {
		entry := zonesSection.FindStringSubmatch(section)[1]
		var entries strings.Builder
		for _, zone := range zones {
			entries.WriteString(strings.NewReplacer("{{@}}", zone[0], "{{.|json}}", `"`+zone[1]+`"`).Replace(entry))
		}
		return entries.String()
	})
	text = strings.ReplaceAll(text, "{{bootstrap|json}}", "true")
	return placeholder.ReplaceAllString(textField.ReplaceAllString(text, `"x"`), "7")
}

var _ = Describe("The settings from the template", func() {
	// Guards against a template that gives no valid settings with few data centres.
	DescribeTable("hold the region of each data centre", func(regions locality.Regions, zones ...[2]string) {
		path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		Expect(os.WriteFile(path, []byte(rendered(zones...)), 0o600)).To(Succeed())
		s, err := gateway.Load(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Regions).To(Equal(regions))
	},
		Entry("none", locality.Regions(nil)),
		Entry("one", locality.Regions{"a": "north"}, [2]string{"a", "north"}),
		Entry("three", locality.Regions{"a": "north", "b": "north", "c.1": "south"}, [2]string{"a", "north"}, [2]string{"b", "north"}, [2]string{"c.1", "south"}),
	)

	DescribeTable("accept no regions in another form", func(zones, reason string) {
		path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		Expect(os.WriteFile(path, []byte(strings.Replace(rendered(), "zones:\n", zones+"\n", 1)), 0o600)).To(Succeed())
		_, err := gateway.Load(path)
		Expect(err).To(MatchError(ContainSubstring(reason)))
	},
		Entry("a list", "zones: [a, b]", "want a mapping"),
		Entry("a data centre twice", "zones: {a: north, a: south}", "also at line"),
		Entry("a data centre without a region", "zones: {a: }", "no value"),
		Entry("a list of regions", "zones: {a: [north]}", "want a string"),
	)

	It("may name an empty map, or none", func() {
		for _, zones := range []string{"zones: {}", ""} {
			path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
			Expect(os.WriteFile(path, []byte(strings.Replace(rendered(), "zones:\n", zones+"\n", 1)), 0o600)).To(Succeed())
			s, err := gateway.Load(path)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Regions).To(BeEmpty())
		}
	})
})
