package view_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/view"
)

func TestView(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "view")
}

var _ = Describe("A group of a view", func() {
	It("is proven until its reports expire, regardless of when the view was published", func() {
		now := time.Now()
		group := &view.Serving{ValidUntil: now.Add(time.Second)}
		Expect(group.Proven(now)).To(BeTrue())
		Expect(group.Proven(now.Add(time.Second))).To(BeFalse())
	})
})
