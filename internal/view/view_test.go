package view_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/view"
)

func TestView(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "view")
}

var _ = Describe("A view", func() {
	It("gives no group whose reports have grown old since it was published", func() {
		now := time.Now()
		v := &view.View{Groups: []*view.Serving{{Group: fleet.Group{Model: "m"}, ValidUntil: now.Add(time.Second)}}}
		Expect(v.ForModelAt("m", "", now)).To(HaveLen(1))
		Expect(v.ForModelAt("m", "", now.Add(time.Second))).To(BeEmpty())
		v.Groups[0].ValidUntil = now.Add(-time.Second)
		Expect(v.ForModel("m", "")).To(BeEmpty())
	})
})
